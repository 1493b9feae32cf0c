#include "native/ServiceCall.h"

#include "http/BoundedJson.h"
#include "native/EngineAttempt.h"
#include "native/JsonField.h"

namespace banyanpick {

namespace {

using nlohmann::json;

constexpr std::size_t LargestResult = 4ULL * 1024 * 1024;
constexpr unsigned Ok = 200;
constexpr seconds DeadlineGrace(2);

} // namespace

ServiceCall::ServiceCall(const net::any_io_executor &Executor,
                         DispatchAttempt WantedGiven, const HostId &SelfGiven,
                         const PlatformSettings &Values)
    : Wanted(std::move(WantedGiven)), Self(SelfGiven), Values(Values),
      Link(Executor, LargestResult) {}

void ServiceCall::cancel() {
  this->Cancelled = true;
  this->Link.cancel();
}

Task<AttemptOutcome> ServiceCall::run(std::string_view OperationKey,
                                      std::string_view Body, Time Now) {
  const Duration Left = std::max<Duration>(this->Wanted.Deadline - Now, {});
  ClientRequest Request;
  Request.Method = http::verb::post;
  Request.Target = "/run";
  Request.Headers = attemptHeaders(this->Wanted, this->Self);
  // The body is JSON already; it was parsed when it came in.
  Request.Body = "{\"operation_key\":" + dumpJson(OperationKey) +
                 ",\"body\":" + std::string(Body) + "}";
  const auto Failure = co_await this->Link.open(
      this->Wanted.At, std::move(Request), this->Values.ConnectTimeout,
      Left + DeadlineGrace);
  if (Failure && surelyNotSent(*Failure))
    co_return AttemptNeverSent{};
  if (Failure)
    co_return AttemptBroken{0, *Failure == ClientFailure::Reset};
  const auto [Answer, Whole] = co_await this->Link.readRest(LargestResult);
  if (!Whole)
    co_return AttemptBroken{0, this->Link.failure() == ClientFailure::Reset};
  if (this->Link.status() != Ok)
    co_return outcomeOfStatus(this->Link.status(), Answer, 0);
  co_return this->outcomeOf(Answer);
}

AttemptOutcome ServiceCall::outcomeOf(std::string_view Body) const {
  try {
    return readingJson([&]() -> AttemptOutcome {
      const json Given = parseBoundedJson(Body);
      if (textMember(Given, "attempt") != idText(this->Wanted.Attempt))
        return AttemptBroken{0, false}; // Another call's answer.
      return AttemptComplete{0, dumpJson(Given.at("result"))};
    });
  } catch (const Error &) {
    return AttemptBroken{0, false};
  }
}

} // namespace banyanpick
