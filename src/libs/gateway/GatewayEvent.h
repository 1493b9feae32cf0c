/// \file
/// What can happen to a kernel that serves as a gateway, and what it can ask
/// for, beside the events and actions that it shares with others.
#pragma once

#include "gateway/AnswerSignals.h"
#include "gateway/RelayedRequest.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace banyanpick {

// --- events

struct RelayArrived {
  RelayHead Head;
};
/// The first event of the stream went to the caller.
struct RelayBegan {
  AttemptId Attempt;
};
struct RelayEnded {
  AttemptId Attempt;
  RelayOutcome Outcome;
};
/// The header of an upstream's answer came, to a try (also one that was given
/// up), a question or an order. Told before what the answer means for those.
struct EngineSignalsReceived {
  UpstreamId Engine;
  Time SentAt{}; ///< The request that it answers.
  AnswerSignals Signals;
};

/// Where a belief comes from.
enum class ConfigurationSource { Store, Peer };

struct ConfigurationRead {
  std::shared_ptr<const GatewayConfiguration> Declared;
  ConfigurationSource From = ConfigurationSource::Store;
};
/// A document that is no configuration; the one in force stays.
struct ConfigurationUnreadable {
  std::string Why;
};
/// Registrations that changed. A listing is complete: upstreams that it does
/// not name and that changed before its offset are gone.
struct EnginesRead {
  std::vector<EngineChange> Changes;
  bool Complete = false;
  LogOffset UpTo = 0; ///< All changes before it are known now.
};
/// A part of the store that is followed answers, or does not.
struct StoreObserved {
  enum class Part {
    Configuration,
    Engines,
    Hosts
  } Source = Part::Configuration;
  bool Reachable = false;
  std::string Why; ///< When it is not reachable.
};
struct EngineReported {
  EngineReport Report;
};
struct EngineReportFailed {
  UpstreamId Engine;
};
enum class ReservationResult {
  Held,    ///< The memory is set aside.
  Waiting, ///< It will be once it is free; the engine admits nothing else.
  Refused, ///< The engine said no.
  Unknown, ///< No answer; it may be carried out, later too.
};
struct ReservationAnswered {
  UpstreamId Engine;
  std::string Name;
  ReservationResult Result = ReservationResult::Unknown;
};
/// The settings file has changed and is right.
struct SettingsReloaded {
  std::shared_ptr<const class Settings> Values;
};

using GatewayEvent =
    std::variant<RelayArrived, RelayBegan, RelayEnded, EngineSignalsReceived,
                 ConfigurationRead, ConfigurationUnreadable, EnginesRead,
                 StoreObserved, EngineReported, EngineReportFailed,
                 ReservationAnswered, SettingsReloaded>;

// --- actions

/// Decode a document that a peer passed on; answered by ConfigurationRead.
struct DecodeConfiguration {
  std::string Document;

  bool operator==(const DecodeConfiguration &) const = default;
};
/// Callers' bounds have changed.
struct LimitCallers {
  CallerLimits Limits;

  bool operator==(const LimitCallers &) const = default;
};
/// Ask an engine for its own figures; answered by EngineReported or
/// EngineReportFailed.
struct AskReport {
  UpstreamId Engine;
  Address At;

  bool operator==(const AskReport &) const = default;
};
/// Set memory aside on an engine, or renew that.
struct ReserveMemory {
  UpstreamId Engine;
  Address At;
  std::string Name;
  std::uint64_t Tokens = 0;
  Duration Hold{}; ///< The engine frees it after so long.
  bool Wait = false;

  bool operator==(const ReserveMemory &) const = default;
};
struct ReleaseMemory {
  UpstreamId Engine;
  Address At;
  std::string Name;

  bool operator==(const ReleaseMemory &) const = default;
};
/// Answers of the callers' server tell callers to connect anew elsewhere.
struct CloseCallers {
  bool operator==(const CloseCallers &) const = default;
};
/// Whether this host follows the store, or leaves that to others.
struct FollowStore {
  bool Enabled = true;

  bool operator==(const FollowStore &) const = default;
};
/// Leave word of this host in the store, or take it away.
struct AnnounceHost {
  bool Present = true;

  bool operator==(const AnnounceHost &) const = default;
};

using GatewayAction =
    std::variant<DispatchRelay, CancelRelay, RefuseRelay, DeliverFailure,
                 BreakRelay, DecodeConfiguration, LimitCallers, AskReport,
                 ReserveMemory, ReleaseMemory, CloseCallers, FollowStore,
                 AnnounceHost>;

} // namespace banyanpick
