/// \file
/// The configuration that operators declare for a gateway: routes, their
/// services, the keys of teams and limits on callers.
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

/// Name of a region: a group of zones.
using RegionId = StrongId<struct RegionTag, std::string>;

/// The execution semantics of a route's requests.
enum class RequestKind {
  Repeatable, ///< Idempotent; may run any number of times.
  AtMostOnce, ///< Not idempotent.
  Stream,     ///< Answered by a series of events with increasing ids.
};

/// A service that receives a share of a route's requests.
struct WeightedService {
  ServiceId Service;
  double Weight = 1; ///< Relative to the other weights of the route.

  bool operator==(const WeightedService &) const = default;
};

/// A route: the requests it matches and how they are served.
struct RouteEntry {
  std::string Name;
  std::string Host;       ///< The Host header without a port.
  std::string PathPrefix; ///< Begins and ends with a slash.
  RequestKind Kind = RequestKind::AtMostOnce;
  bool Resumable = false;     ///< A stream may continue on another upstream.
  bool Public = false;        ///< Requires no key.
  std::uint32_t Attempts = 1; ///< Maximum number of upstreams per request.
  std::uint32_t Rank = 0;     ///< 0 is the most urgent.
  Duration TimeLimit{};       ///< Maximum time that callers wait.
  Duration Objective{};       ///< To the complete answer or the first event.
  Duration MaxEventGap{};     ///< Between events; zero: not declared.
  std::vector<WeightedService> Split;
  std::vector<RegionId> HomeRegions; ///< Empty: not restricted.

  bool operator==(const RouteEntry &) const = default;
};

/// The performance model of a model engine, declared by its operator.
struct EngineParameters {
  std::uint32_t Slots = 1;          ///< Maximum number of requests in a batch.
  std::uint64_t MemoryTokens = 0;   ///< Size of the KV cache in tokens.
  std::uint32_t StepsPerPass = 1;   ///< Token steps of a pass with decoding.
  std::uint64_t ChunkTokens = 2048; ///< Maximum prefill tokens per step.
  double StepMs = 0;                ///< Time of a token step without requests.
  double StepMsPerDecode = 0;       ///< Added for each decoding request.
  double StepMsPerKiloContext = 0;  ///< Added per 1,000 tokens of its context.
  double PrefillTokensPerMs = 1; ///< Prompt tokens prefilled per millisecond.
  double MsPerMillionPairs = 0;  ///< Added prefill time per million pairs of
                                 ///< a token and an earlier token.
  double JointStepMs = 0; ///< Added for each step of a prompt that is stored on
                          ///< several engines.
  std::uint64_t MeanPromptTokens = 0; ///< Mean over all requests.
  std::uint64_t MeanAnswerTokens = 0; ///< Mean over all; zero: not declared.
  Duration ReportLag{};               ///< Age of the engine's reports.

  bool operator==(const EngineParameters &) const = default;
};

/// A group of interchangeable upstreams.
struct ServiceEntry {
  ServiceId Id;
  std::string HealthPath;
  std::uint32_t MaxConnections = 0; ///< Per upstream, from all hosts; zero: no
                                    ///< limit.
  Duration ColdStart{};             ///< Cold time after a start.
  /// Requests per second that a cold upstream accepts from all hosts together;
  /// zero: its upstreams are never cold.
  double ColdRequestsPerSecond = 0;
  std::optional<EngineParameters> Engine; ///< Set for model engines.

  bool operator==(const ServiceEntry &) const = default;
};

/// Limits on callers. Zero means that the host's own setting applies.
struct CallerLimits {
  std::uint64_t HeaderBytes = 0;
  std::uint64_t BodyBytes = 0;
  Duration HeaderTimeout{};
  Duration IdleTimeout{};

  bool operator==(const CallerLimits &) const = default;
};

/// The owner of a key.
struct KeyOwner {
  TeamId Team;
  std::optional<std::uint32_t> Rank; ///< Overrides the route's rank.
  std::vector<RegionId> HomeRegions; ///< Empty: not restricted.

  bool operator==(const KeyOwner &) const = default;
};

/// A complete version of the configuration.
struct GatewayConfiguration {
  std::uint64_t Version = 0; ///< Increases with each change.
  std::vector<RouteEntry> Routes;
  std::map<ServiceId, ServiceEntry> Services;
  CallerLimits Limits;
  bool NeedsKeys = false; ///< Set if teams are declared.
  std::unordered_map<std::string, KeyOwner> Keys;
  /// Malformed parts of the document that are ignored, for the operators.
  std::vector<std::string> Problems;
  /// The source document, to forward to hosts that cannot read it themselves.
  std::string Document;
};

} // namespace banyanpick
