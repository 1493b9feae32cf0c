/// \file
/// The events and actions of a kernel that serves as a gateway, in addition to
/// those that it shares with other kernels.
#pragma once

#include "gateway/AnswerSignals.h"
#include "gateway/Evacuation.h"
#include "gateway/RelayedRequest.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace banyanpick {

// --- events

struct RelayArrived {
  RelayHead Head;
};
/// The first event of the stream was sent to the caller.
struct RelayBegan {
  AttemptId Attempt;
};
struct RelayEnded {
  AttemptId Attempt;
  RelayOutcome Outcome;
};
/// The header of an upstream's answer to an attempt (also a cancelled one), a
/// query or an order was received. Sent before the event for the answer itself.
struct EngineSignalsReceived {
  UpstreamId Engine;
  Time SentAt{}; ///< When the answered request was sent.
  AnswerSignals Signals;
};

/// Where a configuration was read from.
enum class ConfigurationSource { Store, Peer };

struct ConfigurationRead {
  std::shared_ptr<const GatewayConfiguration> Declared;
  ConfigurationSource From = ConfigurationSource::Store;
  /// When it was read from the store, if it waited to be handled.
  std::optional<Time> ReadAt;
};
/// The store's topic of configurations was read to its end. Sent after the
/// events for the records that were read.
struct DeclarationsRead {};
/// A document is not a valid configuration; the one in force is kept.
struct ConfigurationUnreadable {
  std::string Why;
};
/// Registrations that changed. If Complete is set, upstreams that are not
/// listed and that last changed before the offset UpTo are removed.
struct EnginesRead {
  std::vector<EngineChange> Changes;
  bool Complete = false;
  LogOffset UpTo = 0; ///< All changes before this offset are known now.
};
/// Evacuation records that were read from the store. If Complete is set, zones
/// that are not listed and whose known record is before the offset UpTo are not
/// evacuated.
struct EvacuationsRead {
  std::vector<EvacuationRecord> Records;
  bool Complete = false;
  LogOffset UpTo = 0;
};
/// Reports whether a followed part of the store is reachable.
struct StoreObserved {
  enum class Part {
    Configuration,
    Engines,
    Hosts
  } Source = Part::Configuration;
  bool Reachable = false;
  std::string Why; ///< The reason if the store is not reachable.
};
struct EngineReported {
  EngineReport Report;
};
struct EngineReportFailed {
  UpstreamId Engine;
  bool Refused = false; ///< No process accepts connections at its address.
  /// It answered, but with no readable report.
  bool Answered = false;
};
enum class ReservationResult {
  Held,    ///< The memory is reserved.
  Waiting, ///< Reserved once it is free; the engine admits no other requests.
  Refused, ///< The engine refused the reservation.
  Unknown, ///< No answer; the engine may still make the reservation.
};
struct ReservationAnswered {
  UpstreamId Engine;
  std::string Name;
  ReservationResult Result = ReservationResult::Unknown;
};
/// A quarantined content in the store.
struct StoredQuarantine {
  Fingerprint Content;
  bool IsProven = false; ///< It crashed upstreams again and again.

  bool operator==(const StoredQuarantine &) const = default;
};
/// The quarantined contents in the store, read at the start.
struct QuarantinesRead {
  std::vector<StoredQuarantine> Contents;
};
/// The settings file has changed and is valid.
struct SettingsReloaded {
  std::shared_ptr<const class Settings> Values;
};

using GatewayEvent =
    std::variant<RelayArrived, RelayBegan, RelayEnded, EngineSignalsReceived,
                 ConfigurationRead, ConfigurationUnreadable, EnginesRead,
                 EvacuationsRead, DeclarationsRead, StoreObserved,
                 EngineReported, EngineReportFailed, ReservationAnswered,
                 QuarantinesRead, SettingsReloaded>;

// --- actions

/// Decodes a document that a peer forwarded; answered by ConfigurationRead.
struct DecodeConfiguration {
  std::string Document;

  bool operator==(const DecodeConfiguration &) const = default;
};
/// Applies changed limits on callers.
struct LimitCallers {
  CallerLimits Limits;

  bool operator==(const LimitCallers &) const = default;
};
/// Requests a load report from an engine; answered by EngineReported or
/// EngineReportFailed.
struct AskReport {
  UpstreamId Engine;
  Address At;

  bool operator==(const AskReport &) const = default;
};
/// Reserves memory on an engine or renews the reservation.
struct ReserveMemory {
  UpstreamId Engine;
  Address At;
  std::string Name;
  std::uint64_t Tokens = 0;
  Duration Hold{}; ///< The engine frees the memory after this time.
  bool Wait = false;

  bool operator==(const ReserveMemory &) const = default;
};
struct ReleaseMemory {
  UpstreamId Engine;
  Address At;
  std::string Name;

  bool operator==(const ReleaseMemory &) const = default;
};
/// Makes the callers' server ask its callers to reconnect to another host.
struct CloseCallers {
  bool operator==(const CloseCallers &) const = default;
};
/// Makes the callers' server accept no more connections and close the idle
/// ones. Requests that it has begun to read are still answered.
struct StopCallersServer {
  bool operator==(const StopCallersServer &) const = default;
};
/// Sets the engines of evacuated zones. Orders to them that were not sent yet
/// are returned as never sent.
struct CloseEngines {
  std::vector<UpstreamId> Engines; ///< Replaces the previous list.

  bool operator==(const CloseEngines &) const = default;
};
/// Sets whether this host reads the store or relies on other hosts to read it.
/// Until the first of these orders it does not read.
struct FollowStore {
  bool Enabled = true;
  /// How many hosts read the registry by turns; each of them then reads it so
  /// many times less often.
  std::uint32_t Turns = 1;

  bool operator==(const FollowStore &) const = default;
};
/// Writes or removes the record of a quarantined content in the store.
struct StoreQuarantine {
  Fingerprint Content;
  bool Present = true;
  bool IsProven = false; ///< It crashed upstreams again and again.

  bool operator==(const StoreQuarantine &) const = default;
};
/// Writes or removes this host's record in the store.
struct AnnounceHost {
  bool Present = true;

  bool operator==(const AnnounceHost &) const = default;
};

using GatewayAction =
    std::variant<DispatchRelay, CancelRelay, RefuseRelay, DeliverFailure,
                 BreakRelay, DecodeConfiguration, LimitCallers, AskReport,
                 ReserveMemory, ReleaseMemory, CloseCallers, StopCallersServer,
                 CloseEngines, FollowStore, StoreQuarantine, AnnounceHost>;

} // namespace banyanpick
