#include "native/UpstreamClient.h"

#include "base/Visitor.h"
#include "http/BoundedJson.h"
#include "native/JsonField.h"
#include "native/LoadReportJson.h"

#include <fmt/format.h>

namespace banyanpick {

namespace {

using nlohmann::json;

constexpr std::size_t MaxAnswerBytes = 16ULL * 1024 * 1024;
constexpr unsigned Ok = 200;
constexpr unsigned Conflict = 409;
constexpr unsigned PreconditionFailed = 412;

bool succeeded(const ClientResult &Result) {
  const auto *Answer = std::get_if<ClientAnswer>(&Result);
  return Answer && Answer->Status == Ok;
}

bool hasStatus(const ClientResult &Result, unsigned Status) {
  const auto *Answer = std::get_if<ClientAnswer>(&Result);
  return Answer && Answer->Status == Status;
}

ClientRequest requestWithJson(http::verb Method, std::string Target,
                              const json &Body) {
  ClientRequest Result;
  Result.Method = Method;
  Result.Target = std::move(Target);
  Result.Headers.emplace_back("Content-Type", "application/json");
  Result.Body = dumpJson(Body);
  return Result;
}

ClientRequest holdRequest(const TakeHold &Action, const HostId &Self) {
  const json Body{{"tokens", Action.Tokens},
                  {"deadline", toMilliseconds(Action.Deadline)},
                  {"owner", Self.Value}};
  return requestWithJson(http::verb::put, "/holds/" + idText(Action.Hold),
                         Body);
}

json orderJson(const OrderUpstream &Order) {
  json Result{{"order", idText(Order.Order)}, {"fencing", Order.Fencing}};
  match(
      Order.Body,
      [&](const LoadModel &Body) {
        Result["action"] = "load";
        Result["model"] = Body.Model.Value;
        Result["weights"] = Body.Weights;
      },
      [&](const UnloadModel &Body) {
        Result["action"] = "unload";
        Result["model"] = Body.Model.Value;
      },
      [&](const ChangeRole &Body) {
        Result["action"] = "role";
        Result["takes_long"] = Body.TakesLong;
      });
  return Result;
}

LogOffset highestFencing(const ClientResult &Result) {
  try {
    return convertJsonErrors([&] {
      return parseBoundedJson(std::get<ClientAnswer>(Result).Body)
          .at("highest_fencing")
          .get<LogOffset>();
    });
  } catch (const Error &) {
    return 0;
  }
}

OrderResult orderResult(const ClientResult &Result) {
  if (const auto *Failure = std::get_if<ClientFailure>(&Result))
    return wasNotSent(*Failure) ? OrderResult::Failed : OrderResult::Unknown;
  if (succeeded(Result))
    return OrderResult::Accepted;
  return hasStatus(Result, PreconditionFailed) ? OrderResult::RefusedFencing
                                               : OrderResult::Failed;
}

HoldResult holdResult(const ClientResult &Result) {
  if (succeeded(Result))
    return HoldResult::Granted;
  const auto *Failure = std::get_if<ClientFailure>(&Result);
  const bool Refused =
      hasStatus(Result, Conflict) || (Failure && wasNotSent(*Failure));
  return Refused ? HoldResult::Refused : HoldResult::Unknown;
}

} // namespace

UpstreamClient::UpstreamClient(const net::any_io_executor &Executor,
                               HostId SelfGiven, PlatformSettings ValuesGiven)
    : Self(std::move(SelfGiven)), Values(std::move(ValuesGiven)),
      Client(Executor, MaxAnswerBytes) {}

Task<Event> UpstreamClient::pollLoad(PollLoad Action) {
  ClientRequest Request;
  Request.Target = "/load";
  const ClientResult Result = co_await this->Client.call(
      Action.At, std::move(Request), this->Values.PollTimeout);
  const auto *Failure = std::get_if<ClientFailure>(&Result);
  const bool Refused = Failure && *Failure == ClientFailure::ConnectionRefused;
  if (!succeeded(Result))
    co_return LoadPollFailed{Action.Upstream, Refused};
  try {
    LoadReport Report = loadReportFromJson(std::get<ClientAnswer>(Result).Body);
    // Another upstream listens at the address now.
    if (Report.Id != Action.Upstream)
      co_return LoadPollFailed{Action.Upstream, true};
    co_return LoadReported{std::move(Report)};
  } catch (const Error &) {
    co_return LoadPollFailed{Action.Upstream, false};
  }
}

Task<std::optional<Event>>
UpstreamClient::pollCacheEvents(PollCacheEvents Action) {
  ClientRequest Request;
  Request.Target = fmt::format("/cache-events?after={}", Action.AfterSequence);
  const ClientResult Result = co_await this->Client.call(
      Action.At, std::move(Request), this->Values.PollTimeout);
  if (!succeeded(Result))
    co_return std::nullopt;
  try {
    co_return Event(cacheEventsFromJson(std::get<ClientAnswer>(Result).Body,
                                        Action.Upstream));
  } catch (const Error &) {
    co_return std::nullopt;
  }
}

Task<Event> UpstreamClient::cancel(CancelAttempt Action, AttemptId Stream) {
  ClientRequest Request;
  Request.Method = http::verb::delete_;
  Request.Target = "/v1/streams/" + idText(Stream);
  const ClientResult Result = co_await this->Client.call(
      Action.At, std::move(Request), this->Values.OrderTimeout);
  co_return CancelAnswered{Action.Attempt, Action.Upstream, succeeded(Result)};
}

Task<Event> UpstreamClient::takeHold(TakeHold Action) {
  ClientRequest Request = holdRequest(Action, this->Self);
  const ClientResult Result = co_await this->Client.call(
      Action.At, std::move(Request), this->Values.OrderTimeout);
  co_return HoldAnswered{Action.Hold, Action.Upstream, holdResult(Result)};
}

Task<void> UpstreamClient::releaseHold(ReleaseHold Action) {
  ClientRequest Request;
  Request.Method = http::verb::delete_;
  Request.Target = "/holds/" + idText(Action.Hold);
  const ClientResult Ignored = co_await this->Client.call(
      Action.At, std::move(Request), this->Values.OrderTimeout);
  static_cast<void>(Ignored);
}

Task<Event> UpstreamClient::order(OrderUpstream Action, Time Now) {
  const Duration Remaining =
      std::min<Duration>(this->Values.OrderTimeout, Action.ValidUntil - Now);
  if (Remaining <= Duration(0))
    co_return OrderAnswered{Action.Order, Action.Upstream, OrderResult::Failed,
                            0};
  // Uses a new connection: no part of the order may be delayed in the buffers
  // of an old one.
  ClientRequest Request =
      requestWithJson(http::verb::post, "/orders", orderJson(Action));
  const ClientResult Result = co_await this->Client.call(
      Action.At, std::move(Request), Remaining, HttpClient::Reuse::No);
  const OrderResult Outcome = orderResult(Result);
  const LogOffset Highest =
      Outcome == OrderResult::RefusedFencing ? highestFencing(Result) : 0;
  co_return OrderAnswered{Action.Order, Action.Upstream, Outcome, Highest};
}

} // namespace banyanpick
