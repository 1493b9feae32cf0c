/// \file
/// Tests the headers of requests that hosts forward to each other, and how the
/// other host's answers are read.
#include "platform/PlatformCallers.h"
#include "platform/PlatformHosts.h"

#include <gtest/gtest.h>

namespace banyanpick::platform {
namespace {

HttpExchange::Request callerRequest() {
  HttpExchange::Request Result(http::verb::post, "/a/", 11);
  Result.set(http::field::host, "a.example");
  Result.set(http::field::authorization, "Bearer secret");
  Result.set("X-Attempt-Id", "9c41");
  Result.set("X-Remaining-Milliseconds", "9000");
  return Result;
}

http::response_header<> answer(unsigned Status, bool IsSealed) {
  http::response_header<> Result;
  Result.result(Status);
  if (IsSealed) {
    Result.set("X-Server-Seal", "s");
    Result.set("X-Attempt-Id", "9c41");
  }
  return Result;
}

AnswerClass classOf(unsigned Status, bool IsSealed) {
  return PlatformHosts().classifyAnswer(answer(Status, IsSealed),
                                        callerRequest());
}

TEST(ForwardedHeaders, KeepTheCallersAndCarryTheRemainingTime) {
  HttpExchange::Request Sent = callerRequest();
  PlatformHosts().writeHeaders(Sent, DispatchRelay(), milliseconds(700));
  EXPECT_EQ(Sent[http::field::authorization], "Bearer secret");
  EXPECT_EQ(Sent["X-Attempt-Id"], "9c41");
  EXPECT_EQ(Sent["X-Remaining-Milliseconds"], "700");
  EXPECT_TRUE(PlatformCallers().readHead(Sent).IsForwarded);
  EXPECT_FALSE(PlatformCallers().readHead(callerRequest()).IsForwarded);
}

TEST(ForwardedHeaders, DoNotReachEngines) {
  HttpExchange::Request Sent = callerRequest();
  PlatformHosts().writeHeaders(Sent, DispatchRelay(), milliseconds(700));
  PlatformEngines().writeHeaders(Sent, DispatchRelay(), milliseconds(700));
  EXPECT_FALSE(PlatformCallers().readHead(Sent).IsForwarded);
}

TEST(ForwardedAnswers, OfAnEngineAreReadAsItsOwn) {
  EXPECT_TRUE(std::holds_alternative<SuccessAnswer>(classOf(200, true)));
  EXPECT_TRUE(std::holds_alternative<FailureAnswer>(classOf(500, true)));
}

TEST(ForwardedAnswers, ThatRefuseHaveNotRunAndOthersAreFinal) {
  EXPECT_TRUE(std::holds_alternative<NotRunAnswer>(classOf(503, false)));
  for (const unsigned Status : {401U, 404U, 502U, 504U})
    EXPECT_TRUE(std::holds_alternative<FailureAnswer>(classOf(Status, false)))
        << Status;
}

TEST(ForwardedAnswers, ThatSucceedWithoutASealAreInvalid) {
  EXPECT_TRUE(std::holds_alternative<InvalidAnswer>(classOf(200, false)));
}

} // namespace
} // namespace banyanpick::platform
