/// \file
/// Guards against broken answers of hosts that the command line took for
/// answers: it reported a change as accepted.
#include "tools/BeastTransport.h"
#include "auto/http/BrokenAnswers.h"

#include <gtest/gtest.h>

namespace banyanpick::tools {
namespace {

HostReply ask(const RawAnswer &Answer) {
  const RawServer Host(Answer);
  BeastTransport Transport("");
  HostRequest Req;
  Req.Target = "/x";
  return Transport.ask(Host.at(), Req, seconds(5));
}

class BrokenReplies : public testing::TestWithParam<BrokenAnswer> {};

TEST_P(BrokenReplies, AreLost) {
  const HostReply Reply = ask(GetParam().bytes());
  EXPECT_EQ(Reply.State, HostReply::ReplyState::Lost);
  EXPECT_FALSE(Reply.Problem.empty());
}

INSTANTIATE_TEST_SUITE_P(Status, BrokenReplies,
                         testing::ValuesIn(brokenStatuses()));
INSTANTIATE_TEST_SUITE_P(Coding, BrokenReplies,
                         testing::ValuesIn(brokenCodings()));
INSTANTIATE_TEST_SUITE_P(Folded, BrokenReplies,
                         testing::ValuesIn(foldedLines()));
INSTANTIATE_TEST_SUITE_P(Name, BrokenReplies, testing::ValuesIn(brokenNames()));
INSTANTIATE_TEST_SUITE_P(Cut, BrokenReplies, testing::ValuesIn(cutHeads()));

TEST(Reply, IsTheFinalAnswer) {
  RawAnswer Answer;
  Answer.First = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
                 "HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\nno";
  const HostReply Reply = ask(Answer);
  EXPECT_EQ(Reply.State, HostReply::ReplyState::Complete);
  EXPECT_EQ(Reply.Status, 409U);
  EXPECT_EQ(Reply.Body, "no");
}

/// The answer of a host to a large catalogue is larger than what is read and
/// not parsed yet.
TEST(Reply, MayBeLong) {
  constexpr std::size_t Length = 1024ULL * 1024;
  RawAnswer Answer;
  Answer.First = answerWith("Content-Length: " + std::to_string(Length),
                            std::string(Length, 'x'));
  const HostReply Reply = ask(Answer);
  EXPECT_EQ(Reply.State, HostReply::ReplyState::Complete);
  EXPECT_EQ(Reply.Body.size(), Length);
}

} // namespace
} // namespace banyanpick::tools
