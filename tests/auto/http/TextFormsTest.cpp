/// \file
/// Tests the parsers of events, targets and addresses, and the assembly of
/// streams.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "base/Error.h"
#include "http/AddressText.h"
#include "http/EventParser.h"
#include "http/HttpTarget.h"
#include "native/StreamAssembler.h"

using namespace banyanpick;

namespace {

RC_GTEST_PROP(EventParser, ParsesTheSameForAnySplit, ()) {
  const auto Line = rc::gen::container<std::string>(rc::gen::inRange('a', 'f'));
  std::vector<ServerEvent> Sent;
  std::string Text;
  for (int I = *rc::gen::inRange(0, 5); I > 0; --I) {
    Sent.push_back({*Line, *Line});
    Text += formatEvent(Sent.back().Type, Sent.back().Data);
  }
  EventParser Parser(10'000);
  std::vector<ServerEvent> Received;
  while (!Text.empty()) {
    const auto Count = *rc::gen::inRange<std::size_t>(1, Text.size() + 1);
    Parser.feed(Text.substr(0, Count), Received);
    Text.erase(0, Count);
  }
  RC_ASSERT(Received == Sent);
}

TEST(EventParser, AnOverlongEventIsRefused) {
  EventParser Parser(100);
  std::vector<ServerEvent> Received;
  EXPECT_THROW(Parser.feed("data: " + std::string(200, 'x'), Received), Error);
}

RC_GTEST_PROP(HttpTarget, AnyTextIsReadOrRefused, (const std::string &Text)) {
  try {
    parseTarget(Text);
  } catch (const Error &Problem) {
    RC_ASSERT(Problem.kind() == ErrorKind::BadInput);
  }
}

TEST(HttpTarget, PartsAreDecoded) {
  const HttpTarget Target = parseTarget("/v1/a%2Fb?x=1&y=%41&z");
  EXPECT_EQ(Target.Path, "/v1/a/b");
  EXPECT_EQ(Target.number("x", 0), 1U);
  EXPECT_EQ(Target.value("y"), "A");
  EXPECT_EQ(Target.value("z"), "");
  EXPECT_THROW(Target.number("y", 0), Error);
}

TEST(AddressText, RoundTrip) {
  EXPECT_EQ(text(addressFromText("127.0.0.1:80")), "127.0.0.1:80");
  EXPECT_EQ(text(addressFromText("[::1]:80")), "[::1]:80");
  for (const char *Malformed : {"host:80", "127.0.0.1", "1.2.3.4:99999", ":1"})
    EXPECT_THROW(addressFromText(Malformed), Error) << Malformed;
}

/// For any sequence of chunks and end marks, the delivered chunks are those
/// with the indices 0, 1, 2... of the own attempt, and the stream is complete
/// only if the count of the end mark equals the number of delivered chunks.
RC_GTEST_PROP(StreamAssembler, DeliversInOrderWithoutGapOrRepeat, ()) {
  using Verdict = StreamAssembler::Verdict;
  StreamAssembler Stream("mine", 0);
  std::uint64_t Delivered = 0;
  for (int I = 0; I < 30; ++I) {
    const std::string From = *rc::gen::element<std::string>("mine", "other");
    const auto Index = Delivered + *rc::gen::inRange<std::uint64_t>(0, 3);
    if (*rc::gen::inRange(0, 8) == 0) {
      const Verdict End = Stream.acceptEnd(From, Index);
      RC_ASSERT((End == Verdict::Complete) <= (Index == Delivered));
      RC_ASSERT(From == "mine" || End == Verdict::Drop);
      if (End != Verdict::Drop)
        break;
    }
    const Verdict Decision = Stream.acceptChunk(From, Index);
    RC_ASSERT((Decision == Verdict::Deliver) ==
              (From == "mine" && Index == Delivered));
    if (Decision == Verdict::Broken)
      break;
    Delivered += Decision == Verdict::Deliver;
  }
  RC_ASSERT(Stream.nextIndex() == Delivered);
}

} // namespace
