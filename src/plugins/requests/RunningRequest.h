/// \file
/// The state of one admitted request.
#pragma once

#include "kernel/Request.h"

#include <optional>
#include <set>
#include <string>
#include <variant>

namespace banyanpick {

/// Waits for the log to decide which host owns the operation.
struct AwaitingClaim {};
/// Waits in the dispatch queue.
struct InQueue {};
/// Waits for memory on a group of engines.
struct AwaitingGroup {
  Selected Choice;
};
/// Runs on an upstream.
struct OnUpstream {
  Attempt Current;
};

using RequestPhase =
    std::variant<AwaitingClaim, InQueue, AwaitingGroup, OnUpstream>;

/// An admitted request until its final answer.
struct RunningRequest {
  Request Original;
  RequestPhase Phase = InQueue{};
  std::uint32_t AttemptCount = 0;
  /// An attempt may have started on an upstream, so the request may no longer
  /// be answered as not run.
  bool MayHaveRun = false;
  bool FirstTokenSeen = false;
  std::uint64_t NextIndex = 0; ///< First chunk not yet delivered.
  std::set<UpstreamId> Excluded;
  std::string ResumeToken;
  /// When the stream is given up. Set while no caller is connected.
  std::optional<Time> AbandonAt;
  /// The stream was handed over by a peer. It can't be retried because its
  /// prompt is not on this host.
  bool Adopted = false;

  /// Returns the running attempt, or null.
  const Attempt *attempt() const {
    const auto *Running = std::get_if<OnUpstream>(&this->Phase);
    return Running ? &Running->Current : nullptr;
  }
};

} // namespace banyanpick
