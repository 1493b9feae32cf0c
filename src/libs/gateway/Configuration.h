/// \file
/// What operators declare for a gateway: routes, the services behind them,
/// the keys of teams and bounds on what callers may send.
#pragma once

#include "base/StrongId.h"
#include "base/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace banyanpick {

/// Name of a service: a group of interchangeable upstreams.
using ServiceId = StrongId<struct ServiceTag, std::string>;

/// What a request of a route may bear.
enum class RequestKind {
  Repeatable, ///< Idempotent; may run any number of times.
  AtMostOnce, ///< Not idempotent.
  Stream,     ///< Answered by a series of events with rising ids.
};

/// A service that a share of a route's requests goes to.
struct WeightedService {
  ServiceId Service;
  double Weight = 1; ///< Against the other weights of the route.

  bool operator==(const WeightedService &) const = default;
};

/// One route: which requests it takes, and how they are served.
struct RouteEntry {
  std::string Name;
  std::string Host;       ///< The Host header without a port.
  std::string PathPrefix; ///< Begins and ends with a slash.
  RequestKind Kind = RequestKind::AtMostOnce;
  bool Resumable = false;     ///< A stream may go on at another upstream.
  bool Public = false;        ///< Needs no key.
  std::uint32_t Attempts = 1; ///< Upstreams that one request may run on.
  std::uint32_t Rank = 0;     ///< 0 is the most urgent.
  Duration TimeLimit{};       ///< Callers are kept waiting no longer.
  Duration Objective{};       ///< To the whole answer or the first event.
  Duration MaxEventGap{};     ///< Between events; zero: not declared.
  std::vector<WeightedService> Split;

  bool operator==(const RouteEntry &) const = default;
};

/// How a model engine spends its time; declared by its operator.
struct EngineParameters {
  std::uint32_t Slots = 1;          ///< Requests in one batch.
  std::uint64_t MemoryTokens = 0;   ///< KV cache, in tokens.
  std::uint32_t StepsPerPass = 1;   ///< Token steps of a pass with writers.
  std::uint64_t ChunkTokens = 2048; ///< Most prompt tokens read in a step.
  double StepMs = 0;                ///< A token step without any request.
  double StepMsPerDecode = 0;       ///< More for each request that writes,
  double StepMsPerKiloContext = 0;  ///< and for 1,000 tokens of its context.
  double PrefillTokensPerMs = 1;    ///< Prompt tokens read in a millisecond.
  double MsPerMillionPairs = 0;     ///< More, for pairs of a token and any
                                    ///< earlier one.
  double JointStepMs = 0; ///< More for each step of a prompt that lies on
                          ///< several engines.
  std::uint64_t MeanPromptTokens = 0; ///< The mean over all requests.
  std::uint64_t MeanAnswerTokens = 0; ///< Likewise; zero: not declared.
  Duration ReportLag{};               ///< How old the engine's own figures are.

  bool operator==(const EngineParameters &) const = default;
};

/// A group of interchangeable upstreams.
struct ServiceEntry {
  ServiceId Id;
  std::string HealthPath;
  std::uint32_t MaxConnections = 0;       ///< An upstream's, from all hosts.
  std::optional<EngineParameters> Engine; ///< Set for model engines.

  bool operator==(const ServiceEntry &) const = default;
};

/// Bounds on what callers may send; zero: the host's own setting counts.
struct CallerLimits {
  std::uint64_t HeaderBytes = 0;
  std::uint64_t BodyBytes = 0;
  Duration HeaderTimeout{};
  Duration IdleTimeout{};

  bool operator==(const CallerLimits &) const = default;
};

/// Whose key it is.
struct KeyOwner {
  TeamId Team;
  std::optional<std::uint32_t> Rank; ///< Goes before the route's rank.

  bool operator==(const KeyOwner &) const = default;
};

/// One whole version of the declarations.
struct GatewayConfiguration {
  std::uint64_t Version = 0; ///< Rises with each change.
  std::vector<RouteEntry> Routes;
  std::map<ServiceId, ServiceEntry> Services;
  CallerLimits Limits;
  bool NeedsKeys = false; ///< Teams are declared.
  std::unordered_map<std::string, KeyOwner> Keys;
  /// The document it was read from, to pass on to hosts that cannot read it
  /// themselves.
  std::string Document;
};

} // namespace banyanpick
