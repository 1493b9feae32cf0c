/// \file
/// Judges whether this host has a path to the engines of one service.
#pragma once

#include "base/StrongId.h"
#include "base/Time.h"

#include <map>

namespace banyanpick {

/// Distinguishes a failure of this host's links from failures of engines: while
/// several engines fail and none answers, it is more likely that this host is
/// partitioned from all of them than that all of them failed at once. One
/// engine that is silent or has died is no partition, so a partition from the
/// only engine of a service is not detected. Engines that keep failing beside
/// one that answers are no evidence of a partition either.
class ServiceReach {
public:
  /// The engine answered.
  void noteAnswer(const UpstreamId &Engine, Time Now);
  /// The engine refused a connection, or a connection to it failed.
  void noteFailure(const UpstreamId &Engine, Time Now);
  /// The engine is known to have died.
  void forget(const UpstreamId &Engine);
  bool isCutOff(Time Now) const;

  /// A request was sent to an engine of the service. Its first event is
  /// expected at \p ExpectedAt.
  void noteSent(Time ExpectedAt);
  /// The request has ended.
  void noteEnded();
  /// Since when a first event has been overdue and no engine has answered, or
  /// Never.
  Time silentSince() const { return this->SilentSince; }

private:
  /// Whether the engine was failing when another one answered shortly ago.
  bool failsAlone(const UpstreamId &Engine, Time Now) const;

  std::map<UpstreamId, Time> FailedAt; ///< Since the last answer.
  /// The last failures of the engines that failed before the last answer of
  /// another one.
  std::map<UpstreamId, Time> FailedAlone;
  Time AnsweredAt{};       ///< The last answer of any engine.
  std::size_t Waiting = 0; ///< Requests that have not ended.
  Time SilentSince = Never;
};

} // namespace banyanpick
