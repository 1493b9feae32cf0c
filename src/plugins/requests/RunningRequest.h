/// \file
/// The state of one admitted request.
#pragma once

#include "kernel/Request.h"

#include <optional>
#include <set>
#include <string>
#include <variant>

namespace banyanpick {

/// Waits for the log to say whose operation it is.
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
  /// A try may have started on an upstream: "not run" is no longer true.
  bool MayHaveRun = false;
  bool FirstTokenSeen = false;
  std::uint64_t NextIndex = 0; ///< First chunk not yet delivered.
  std::set<UpstreamId> Excluded;
  std::string ResumeToken;
  /// Set while no caller is connected: when the stream is given up.
  std::optional<Time> AbandonAt;
  /// A stream of a peer: its prompt is not here, so it can't be tried anew.
  bool Adopted = false;

  /// The attempt that runs now, or null.
  const Attempt *attempt() const {
    const auto *Running = std::get_if<OnUpstream>(&this->Phase);
    return Running ? &Running->Current : nullptr;
  }
};

} // namespace banyanpick
