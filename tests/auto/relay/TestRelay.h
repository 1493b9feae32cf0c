/// \file
/// One request that a host relays to an upstream, for tests.
#pragma once

#include "FakeEngineProtocol.h"
#include "auto/http/LocalServer.h"
#include "auto/http/RawServer.h"
#include "http/HttpClient.h"
#include "relay/EngineRun.h"

namespace banyanpick {

struct TestRelayOptions {
  /// The longest time between two events of a stream; zero: no limit.
  Duration MaxSilence{};
  std::size_t RequestBytes = 0; ///< Of the body.
};

/// Relays one request to an upstream, as a host without control does.
class TestRelay {
public:
  explicit TestRelay(const RawServer &Engine,
                     const TestRelayOptions &Options = {})
      : Host([this](HttpExchange &Exchange) { return this->serve(Exchange); },
             limits(Options)) {
    this->Order.At = Engine.at();
    this->Order.Stream = true;
    this->Order.MaxSilence = Options.MaxSilence;
    net::io_context Io;
    HttpClient Caller(Io.get_executor(), MaxWholeAnswerBytes);
    ClientRequest Wanted;
    Wanted.Target = "/x";
    if (Options.RequestBytes > 0)
      Wanted.Method = http::verb::post;
    Wanted.Body = std::string(Options.RequestBytes, 'x');
    const auto Began = std::chrono::steady_clock::now();
    this->Answer = runTask(Io, Caller.call(this->Host.at(), Wanted, Timeout));
    this->Took = std::chrono::duration_cast<Duration>(
        std::chrono::steady_clock::now() - Began);
  }

  /// The body of the caller's answer.
  std::string body() const {
    const auto *Got = std::get_if<ClientAnswer>(&this->Answer);
    return Got ? Got->Body : "no answer";
  }
  /// The status of the caller's answer, or zero if it is not complete.
  unsigned status() const {
    const auto *Got = std::get_if<ClientAnswer>(&this->Answer);
    return Got ? Got->Status : 0;
  }
  /// Why the attempt is broken, if it is.
  std::optional<RelayBroken::Why> brokenBy() const {
    const auto *Broken = std::get_if<RelayBroken>(&this->Outcome);
    return Broken ? std::optional(Broken->Reason) : std::nullopt;
  }

  ClientResult Answer = ClientFailure::Lost;
  RelayOutcome Outcome = RelayDelivered{};
  Duration Took{};
  std::atomic<bool> HasBegun = false; ///< Control was told of an event.

private:
  static constexpr std::size_t MaxWholeAnswerBytes = 64ULL * 1024;
  static constexpr std::size_t MaxEventBytes = 64ULL * 1024;
  /// Longer than a test may take, so that an attempt never ends by its timeout.
  static constexpr seconds Timeout{60};

  static HttpSettings limits(const TestRelayOptions &Options) {
    HttpSettings Result = smallLimits();
    if (Options.RequestBytes == 0)
      return Result;
    Result.MaxBodyBytes = Options.RequestBytes;
    Result.TotalBodyBytes = Options.RequestBytes;
    Result.BodyTimeout = Timeout;
    return Result;
  }
  Task<void> serve(HttpExchange &Exchange) {
    constexpr std::size_t MaxIdleLinks = 4;
    EngineLinkPool Pool(Exchange.executor(), seconds(3), MaxIdleLinks);
    const EngineRunLimits Limits{Timeout, MaxWholeAnswerBytes, MaxEventBytes};
    const auto Side = std::make_shared<CallerSide>(Exchange, RequestId(1));
    const auto Run = std::make_shared<EngineRun>(
        Exchange.executor(), this->Order, Side, Pool, this->Protocol, Limits);
    EngineRunListener Callbacks;
    Callbacks.OnSignals = [](const AnswerSignals &) {};
    Callbacks.OnFirstEvent = [this] { this->HasBegun = true; };
    Callbacks.MaySend = [] { return true; };
    this->Outcome = co_await Run->run(Timeout, Callbacks);
    if (std::holds_alternative<RelayFailed>(this->Outcome))
      Side->deliverFailure(this->Order.Attempt);
    else if (Side->hasBegun())
      Side->abort();
    else
      Side->refuse(errorAnswer(502, ErrorKind::Unavailable, "broken"));
    co_await Side->waitUntilFinished();
    co_await Side->sendFinalAnswer();
  }

  FakeEngineProtocol Protocol;
  DispatchRelay Order;
  LocalServer Host;
};

} // namespace banyanpick
