/// \file
/// Tests the headers of requests and answers.
#include "platform/PlatformCallers.h"
#include "platform/PlatformEngines.h"

#include "base/Error.h"

#include <gtest/gtest.h>

namespace banyanpick::platform {
namespace {

HttpExchange::Request callerRequest() {
  HttpExchange::Request Result(http::verb::post, "/lohu930/2f?q=1", 11);
  Result.set(http::field::host, "ficu95.example");
  Result.set("X-Attempt-Id", "9c41");
  Result.set("Last-Event-Id", "12");
  Result.set("X-Token-Counts", "1460,80");
  Result.set("X-Remaining-Milliseconds", "10000");
  Result.set("Authorization", "Bearer n2ct");
  Result.set("X-Tenant", "forged");
  return Result;
}

http::response_header<> answer(unsigned Status) {
  http::response_header<> Result;
  Result.result(Status);
  Result.set("X-Attempt-Id", "9c41");
  return Result;
}

template <class Wanted> bool hasMeaning(const http::response_header<> &Head) {
  return std::holds_alternative<Wanted>(
      PlatformEngines().classifyAnswer(Head, callerRequest()));
}

TEST(CallerHeaders, BecomeTheHeadOfARequest) {
  const RelayHead Head = PlatformCallers().readHead(callerRequest());
  EXPECT_EQ(Head.CallerAttempt, "9c41");
  EXPECT_EQ(Head.Path, "/lohu930/2f");
  EXPECT_EQ(Head.Key, "n2ct");
  EXPECT_EQ(Head.Remaining, Duration(seconds(10)));
  EXPECT_EQ(Head.LastEvent, 12U);
  EXPECT_EQ(Head.PromptTokens, 1460U);
  EXPECT_EQ(Head.MaxOutputTokens, 80U);
}

TEST(CallerHeaders, NameThePartsThatPromptsShare) {
  const PlatformCallers Callers;
  const auto PartsOf = [&](const char *Text) {
    HttpExchange::Request Prompt = callerRequest();
    Prompt.set("X-Prompt-Prefix", Text);
    return Callers.readHead(Prompt).PromptParts;
  };
  const auto Parts = PartsOf("5c1e07a2:800, 91bd3f06:410,e4402b7d:250");
  ASSERT_EQ(Parts.size(), 2U) << "the last part is not shared";
  EXPECT_NE(Parts[0], Parts[1]);
  EXPECT_EQ(PartsOf("91BD3F06:7,ab:1"), std::vector{Parts[1]});
  EXPECT_TRUE(PartsOf("e4402b7d:250").empty());
  EXPECT_TRUE(PartsOf(",:5,,x").empty());
  EXPECT_TRUE(Callers.readHead(callerRequest()).PromptParts.empty());
  std::string Many;
  for (int Number = 0; Number < 1000; ++Number)
    Many += std::to_string(Number) + ":1,";
  EXPECT_LE(PartsOf(Many.c_str()).size(), 64U) << "bounded";
}

TEST(CallerHeaders, RejectMalformedNumbers) {
  HttpExchange::Request Bad = callerRequest();
  Bad.set("X-Remaining-Milliseconds", "soon");
  EXPECT_THROW(PlatformCallers().readHead(Bad), Error);
}

TEST(CallerHeaders, EqualContentHasEqualFingerprints) {
  HttpExchange::Request Other = callerRequest();
  Other.set("X-Attempt-Id", "another");
  const PlatformCallers Callers;
  EXPECT_EQ(Callers.readHead(callerRequest()).Content,
            Callers.readHead(Other).Content);
  Other.body() = "different";
  EXPECT_NE(Callers.readHead(callerRequest()).Content,
            Callers.readHead(Other).Content);
}

TEST(FinalAnswers, StatusMatchesTheRefusal) {
  const PlatformCallers Callers;
  const auto StatusOf = [&](RefusalKind Kind) {
    return Callers.answerTo(RefuseRelay{RequestId(1), Kind, {}, ""}).Status;
  };
  EXPECT_EQ(StatusOf(RefusalKind::NotRun), 503U);
  EXPECT_EQ(StatusOf(RefusalKind::OutcomeUnknown), 502U);
  EXPECT_EQ(StatusOf(RefusalKind::TimedOut), 504U);
  EXPECT_EQ(StatusOf(RefusalKind::NoSuchRoute), 404U);
  EXPECT_EQ(StatusOf(RefusalKind::UnknownKey), 401U);
}

TEST(EngineHeaders, ReplaceWhatTheCallerForgedAndDropItsKey) {
  DispatchRelay Order;
  Order.Engine = UpstreamId("i-1");
  Order.Team = TeamId("hule930");
  Order.DropKey = true;
  Order.LastEvent = 15;
  Order.Helpers = {{UpstreamId("i-2"), {"10.2.64.3", 8080}, "t81", 100},
                   {UpstreamId("i-3"), {"10.2.64.5", 8080}, "", 0}};
  HttpExchange::Request Sent = callerRequest();
  PlatformEngines().writeHeaders(Sent, Order, milliseconds(700));
  EXPECT_EQ(Sent["X-Tenant"], "hule930");
  EXPECT_EQ(Sent["X-Expected-Instance"], "i-1");
  EXPECT_EQ(Sent["X-Remaining-Milliseconds"], "700");
  EXPECT_EQ(Sent["Last-Event-Id"], "15");
  EXPECT_EQ(Sent["X-Helpers"], "10.2.64.3:8080/t81,10.2.64.5:8080");
  EXPECT_EQ(Sent.count(http::field::authorization), 0U);
  EXPECT_EQ(Sent["X-Attempt-Id"], "9c41");
  Order.Team = TeamId();
  PlatformEngines().writeHeaders(Sent, Order, milliseconds(0));
  EXPECT_EQ(Sent.count("X-Tenant"), 0U);
  EXPECT_EQ(Sent["X-Remaining-Milliseconds"], "1");
}

TEST(EngineHeaders, CarryTheUrgencyWhereOneIsGiven) {
  DispatchRelay Order;
  HttpExchange::Request Sent = callerRequest();
  PlatformEngines().writeHeaders(Sent, Order, milliseconds(700));
  EXPECT_EQ(Sent.count("X-Request-Urgency"), 0U);
  Order.Urgency = 2;
  PlatformEngines().writeHeaders(Sent, Order, milliseconds(700));
  EXPECT_EQ(Sent["X-Request-Urgency"], "2");
}

/// Guards against an attempt that never ends because a header is malformed.
TEST(EngineAnswers, MayNameAFaultyHelperBadly) {
  for (const char *Named : {"nowhere", "10.2.64.3:70000", ":", "\xff"}) {
    http::response_header<> Refused = answer(503);
    Refused.set("X-Not-Executed", "1");
    Refused.set("At-Server", Named);
    EXPECT_TRUE(hasMeaning<NotRunAnswer>(Refused)) << Named;
  }
}

TEST(EngineAnswers, MeanWhatTheirHeadersProve) {
  http::response_header<> Good = answer(200);
  EXPECT_TRUE(hasMeaning<InvalidAnswer>(Good)) << "without a seal";
  Good.set("X-Server-Seal", "s");
  EXPECT_TRUE(hasMeaning<SuccessAnswer>(Good));
  Good.set(http::field::content_encoding, "gzip");
  EXPECT_TRUE(hasMeaning<InvalidAnswer>(Good));
  http::response_header<> Failed = answer(500);
  Failed.set("X-Server-Seal", "s");
  EXPECT_TRUE(hasMeaning<FailureAnswer>(Failed));
  http::response_header<> Foreign = Failed;
  Foreign.set("X-Attempt-Id", "other");
  EXPECT_TRUE(hasMeaning<InvalidAnswer>(Foreign));
}

TEST(EngineAnswers, OnlyAWordOfTheEngineProvesThatItDidNotRun) {
  EXPECT_TRUE(hasMeaning<InvalidAnswer>(answer(503)));
  http::response_header<> Shed = answer(503);
  Shed.set("X-Not-Executed", "1");
  Shed.set("At-Server", "10.2.64.3:8080");
  const auto Meaning = PlatformEngines().classifyAnswer(Shed, callerRequest());
  const auto *NotRun = std::get_if<NotRunAnswer>(&Meaning);
  ASSERT_NE(NotRun, nullptr);
  EXPECT_EQ(NotRun->Details.FailedAt, (Address{"10.2.64.3", 8080}));
  http::response_header<> Other = answer(421);
  Other.erase("X-Attempt-Id");
  const auto Misdirected =
      PlatformEngines().classifyAnswer(Other, callerRequest());
  ASSERT_TRUE(std::holds_alternative<NotRunAnswer>(Misdirected));
  EXPECT_TRUE(std::get<NotRunAnswer>(Misdirected).Details.OtherEngine);
}

LimitSignal limitOf(const http::response_header<> &Head) {
  return PlatformEngines().signalsOf(Head, callerRequest()).Limit;
}

TEST(AnswerHeaders, NameTheLimitOfAnEngine) {
  http::response_header<> Head = answer(200);
  EXPECT_EQ(limitOf(Head), LimitSignal(LimitUnknown{})) << "without a seal";
  Head.set("X-Server-Seal", "3e1b");
  EXPECT_EQ(limitOf(Head), LimitSignal(LimitNone{}));
  Head.set("Server-Limit", "1.6");
  EXPECT_EQ(limitOf(Head), LimitSignal(LimitDeclared{1.6}));
  Head.insert("Server-Limit", "0.5");
  EXPECT_EQ(limitOf(Head), LimitSignal(LimitDeclared{0.5}))
      << "the lower of two";
  Head.set("X-Attempt-Id", "another");
  EXPECT_EQ(limitOf(Head), LimitSignal(LimitUnknown{})) << "another's answer";
}

TEST(AnswerHeaders, MalformedLimitsAreUnreadable) {
  for (const char *Text :
       {"-1", "nan", "inf", "1e999", "soon", "1.6 a second", ""}) {
    http::response_header<> Head = answer(500);
    Head.set("X-Server-Seal", "3e1b");
    Head.set("Server-Limit", Text);
    EXPECT_EQ(limitOf(Head), LimitSignal(LimitUnreadable{})) << Text;
  }
}

TEST(AnswerHeaders, RefusalDeclaresButNeverRemovesALimit) {
  http::response_header<> Head = answer(503);
  Head.set("X-Not-Executed", "1");
  EXPECT_EQ(limitOf(Head), LimitSignal(LimitUnknown{}));
  Head.set("Server-Limit", "2");
  EXPECT_EQ(limitOf(Head), LimitSignal(LimitDeclared{2}));
  http::response_header<> Other = answer(421);
  Other.set("Server-Limit", "2");
  EXPECT_EQ(limitOf(Other), LimitSignal(LimitUnknown{})) << "another engine's";
}

ColdSignal coldOf(const http::response_header<> &Head) {
  return PlatformEngines().signalsOf(Head).Cold;
}

TEST(AnswerHeaders, OfAnyKindSayThatAnEngineIsCold) {
  http::response_header<> Head = answer(200);
  EXPECT_EQ(coldOf(Head), ColdSignal(NotCold{}));
  Head.set("X-Cold-Milliseconds", "0");
  EXPECT_EQ(coldOf(Head), ColdSignal(NotCold{}));
  Head.set("X-Cold-Milliseconds", "2500");
  EXPECT_EQ(coldOf(Head), ColdSignal(ColdDeclared{milliseconds(2500)}));
  Head.insert("X-Cold-Milliseconds", "3000");
  EXPECT_EQ(coldOf(Head), ColdSignal(ColdDeclared{seconds(3)}))
      << "the longest";
  Head.result(421);
  EXPECT_EQ(coldOf(Head), ColdSignal(NotCold{})) << "another engine's";
}

TEST(AnswerHeaders, MalformedColdTimesAreUnreadable) {
  for (const char *Text : {"-1", "nan", "inf", "1e999", "soon", "3s", ""}) {
    http::response_header<> Head = answer(503);
    Head.set("X-Cold-Milliseconds", Text);
    EXPECT_EQ(coldOf(Head), ColdSignal(ColdUnreadable{Text})) << Text;
  }
}

BackoffSignal backoffOf(const http::response_header<> &Head) {
  return PlatformEngines().signalsOf(Head).Backoff;
}

TEST(AnswerHeaders, OfARefusalAskForRest) {
  http::response_header<> Head = answer(503);
  EXPECT_EQ(backoffOf(Head), BackoffSignal(NoBackoff{}));
  Head.set("Retry-After", "0.25");
  EXPECT_EQ(backoffOf(Head),
            BackoffSignal(BackoffRequested{milliseconds(250)}));
  EXPECT_EQ(PlatformEngines().signalsOf(Head, callerRequest()).Backoff,
            backoffOf(Head));
  Head.insert("Retry-After", "3");
  Head.insert("Retry-After", "2");
  EXPECT_EQ(backoffOf(Head), BackoffSignal(BackoffRequested{seconds(3)}))
      << "the longest";
  Head.set("X-Attempt-Id", "another");
  EXPECT_EQ(backoffOf(Head), BackoffSignal(BackoffRequested{seconds(3)}))
      << "a late answer also comes from this engine";
  Head.result(200);
  EXPECT_EQ(backoffOf(Head), BackoffSignal(NoBackoff{})) << "no refusal";
  Head.result(421);
  EXPECT_EQ(backoffOf(Head), BackoffSignal(NoBackoff{})) << "another engine's";
}

TEST(AnswerHeaders, MalformedBackoffsUseTheDefault) {
  for (const char *Text : {"-1", "nan", "inf", "1e999", "soon", "3s", "",
                           "Fri, 31 Dec 1999 23:59:59 GMT"}) {
    http::response_header<> Head = answer(503);
    Head.set("Retry-After", Text);
    const BackoffSignal Backoff = backoffOf(Head);
    const auto *Unreadable = std::get_if<BackoffUnreadable>(&Backoff);
    ASSERT_NE(Unreadable, nullptr) << Text;
    EXPECT_EQ(Unreadable->AppliedLength, Duration(DefaultBackoff)) << Text;
  }
}

TEST(AnswerHeaders, BackoffsAreBoundedByOneHour) {
  http::response_header<> Head = answer(503);
  Head.set("Retry-After", "3600");
  EXPECT_EQ(backoffOf(Head), BackoffSignal(BackoffRequested{hours(1)}));
  Head.set("Retry-After", "1e9");
  EXPECT_EQ(backoffOf(Head),
            BackoffSignal(BackoffUnreadable{"1e9", MaxBackoff}));
}

LeavingSignal leavingOf(const http::response_header<> &Head) {
  return PlatformEngines().signalsOf(Head).Leaving;
}

TEST(AnswerHeaders, OfAnyKindSayThatAnEngineLeaves) {
  for (const unsigned Status : {200U, 202U, 404U, 429U, 500U, 503U}) {
    http::response_header<> Head = answer(Status);
    EXPECT_EQ(leavingOf(Head), LeavingSignal::Absent);
    Head.set("Server-Leaving", "1");
    EXPECT_EQ(leavingOf(Head), LeavingSignal::Present);
    EXPECT_EQ(PlatformEngines().signalsOf(Head, callerRequest()).Leaving,
              LeavingSignal::Present);
    Head.set("Server-Leaving", "0");
    EXPECT_EQ(leavingOf(Head), LeavingSignal::Absent);
    Head.set("Server-Leaving", "soon");
    EXPECT_EQ(leavingOf(Head), LeavingSignal::Unreadable);
  }
  http::response_header<> Other = answer(421);
  Other.set("Server-Leaving", "1");
  EXPECT_EQ(leavingOf(Other), LeavingSignal::Absent) << "another engine's";
}

TEST(AnswerHeaders, ListsUnknownHeaders) {
  http::response_header<> Head = answer(200);
  Head.set("X-Server-Seal", "3e1b");
  Head.set("Content-Type", "text/event-stream");
  Head.set("x-weight-versions", "1");
  EXPECT_TRUE(PlatformEngines().unknownHeaders(Head).empty());
  Head.set("X-Quite-New", "7");
  EXPECT_EQ(PlatformEngines().unknownHeaders(Head),
            std::vector<std::string>{"X-Quite-New"});
}

} // namespace
} // namespace banyanpick::platform
