#include "native/ServiceCall.h"

#include "http/BoundedJson.h"
#include "native/EngineAttempt.h"
#include "native/JsonField.h"

namespace banyanpick {

namespace {

using nlohmann::json;

constexpr std::size_t MaxResultBytes = 4ULL * 1024 * 1024;
constexpr unsigned Ok = 200;
/// How long a connection stays open past the deadline.
constexpr seconds DeadlineGrace(2);

} // namespace

ServiceCall::ServiceCall(const net::any_io_executor &Executor,
                         DispatchAttempt DispatchGiven, const HostId &SelfGiven,
                         const PlatformSettings &Values)
    : Dispatch(std::move(DispatchGiven)), Self(SelfGiven), Values(Values),
      Link(Executor, MaxResultBytes) {}

void ServiceCall::cancel() {
  this->Cancelled = true;
  this->Link.cancel();
}

Task<AttemptOutcome> ServiceCall::run(std::string_view OperationKey,
                                      std::string_view Body, Time Now) {
  const Duration Remaining =
      std::max<Duration>(this->Dispatch.Deadline - Now, {});
  ClientRequest Request;
  Request.Method = http::verb::post;
  Request.Target = "/run";
  Request.Headers = attemptHeaders(this->Dispatch, this->Self);
  // The body is valid JSON: it was parsed when the request was received.
  Request.Body = "{\"operation_key\":" + dumpJson(OperationKey) +
                 ",\"body\":" + std::string(Body) + "}";
  const auto Failure = co_await this->Link.open(
      this->Dispatch.At, std::move(Request), this->Values.ConnectTimeout,
      Remaining + DeadlineGrace);
  if (Failure && wasNotSent(*Failure))
    co_return AttemptNeverSent{};
  if (Failure)
    co_return AttemptBroken{0, *Failure == ClientFailure::Reset};
  const auto [Answer, Complete] = co_await this->Link.readRest(MaxResultBytes);
  if (!Complete)
    co_return AttemptBroken{0, this->Link.failure() == ClientFailure::Reset};
  if (this->Link.status() != Ok)
    co_return outcomeOfStatus(this->Link.status(), Answer, 0);
  co_return this->outcomeOf(Answer);
}

AttemptOutcome ServiceCall::outcomeOf(std::string_view Body) const {
  try {
    return convertJsonErrors([&]() -> AttemptOutcome {
      const json Object = parseBoundedJson(Body);
      if (textMember(Object, "attempt") != idText(this->Dispatch.Attempt))
        return AttemptBroken{0, false}; // The answer of another call.
      return AttemptComplete{0, dumpJson(Object.at("result"))};
    });
  } catch (const Error &) {
    return AttemptBroken{0, false};
  }
}

} // namespace banyanpick
