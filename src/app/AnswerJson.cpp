#include "app/AnswerJson.h"

#include "base/Visitor.h"
#include "http/BoundedJson.h"

namespace banyanpick {

namespace {

using nlohmann::json;

std::int64_t inMilliseconds(Duration Value) {
  constexpr Duration::rep Millisecond = 1000;
  return (Value.count() + Millisecond - 1) / Millisecond;
}

unsigned statusOf(RefusalReason Reason) {
  switch (Reason) {
  case RefusalReason::OverLimit:
    return 429;
  case RefusalReason::NotAllowed:
    return 403;
  case RefusalReason::BadRequest:
    return 400;
  case RefusalReason::KeyTooOld:
    return 409;
  default:
    return 503;
  }
}

unsigned statusOf(const FinalAnswer &Answer) {
  return match(
      Answer, [](const CompleteAnswer &) { return 200U; },
      [](const NotRun &Refusal) { return statusOf(Refusal.Reason); },
      [](const FailedAnswer &) { return 502U; },
      [](const OutcomeUnknown &) { return 504U; },
      [](const InProgress &) { return 409U; });
}

Duration retryAfter(const FinalAnswer &Answer) {
  return match(
      Answer, [](const CompleteAnswer &) { return Duration(0); },
      [](const auto &Other) { return Other.RetryAfter; });
}

json answerWithRetry(std::string_view Kind, Duration After) {
  return {{"answer", Kind}, {"come_back_after_ms", inMilliseconds(After)}};
}

} // namespace

json toJson(const FinalAnswer &Answer) {
  return match(
      Answer,
      [](const CompleteAnswer &Complete) {
        return json{{"answer", "whole"}, {"count", Complete.Count}};
      },
      [](const NotRun &Refusal) {
        json Result = answerWithRetry("not-run", Refusal.RetryAfter);
        Result["reason"] = name(Refusal.Reason);
        Result["message"] = Refusal.Message;
        return Result;
      },
      [](const FailedAnswer &Failed) {
        json Result = answerWithRetry("failed", Failed.RetryAfter);
        Result["message"] = Failed.Message;
        return Result;
      },
      [](const OutcomeUnknown &Unknown) {
        json Result = answerWithRetry("outcome-unknown", Unknown.RetryAfter);
        Result["message"] = Unknown.Message;
        return Result;
      },
      [](const InProgress &Running) {
        return answerWithRetry("in-progress", Running.RetryAfter);
      });
}

HttpAnswer answerTo(const FinalAnswer &Answer, const std::string *Text) {
  json Body = toJson(Answer);
  const auto *Complete = std::get_if<CompleteAnswer>(&Answer);
  if (Complete && Text)
    Body["text"] = *Text;
  if (Complete && !Complete->Result.empty())
    Body["result"] = json::parse(Complete->Result, nullptr, false);
  HttpAnswer Result;
  Result.Status = statusOf(Answer);
  Result.Body = dumpJson(Body);
  Result.RetryAfter = retryAfter(Answer);
  return Result;
}

std::string chunkData(std::uint64_t Index, const std::string &Text) {
  return "{\"index\":" + std::to_string(Index) + ",\"text\":" + dumpJson(Text) +
         "}";
}

} // namespace banyanpick
