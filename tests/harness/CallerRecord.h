/// \file
/// What one caller saw of one request.
#pragma once

#include "kernel/Action.h"

#include <optional>
#include <string>

namespace banyanpick {

/// Filled by the virtual deployment as the caller would see it.
struct CallerRecord {
  std::string Name; ///< As a scenario calls it.
  std::string Host; ///< Where it is connected.
  RequestHead Head;
  Time SentAt{};
  std::optional<Time> AcceptedAt;
  Time Deadline = Never; ///< The class's promise, as of its admission.
  std::optional<Time> FirstTokenAt;
  std::optional<Time> EndedAt;
  std::optional<FinalAnswer> Answer;
  std::string ResumeToken;
  std::uint64_t Next = 0; ///< First chunk not yet received.
  std::uint32_t FinalAnswers =
      0; ///< Final answers received; must be at most 1.
  std::uint32_t OutOfOrderChunks = 0; ///< Chunks received out of order.
  std::uint32_t ForeignChunks = 0;    ///< Chunks of another's answer.
  std::uint32_t StartedRuns = 0;      ///< Runs that upstreams started for it.
  std::uint32_t Redirects = 0;
  bool ConnectionLost = false; ///< Its host died or was cut off.
  bool Disconnected = false;   ///< It went away itself.
  bool HostWasFrozen =
      false; ///< Its host was frozen: its time limit is not judged.

  bool isOpen() const { return !this->Answer && !this->ConnectionLost; }
};

} // namespace banyanpick
