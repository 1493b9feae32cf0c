/// \file
/// The record of one request as its caller observes it.
#pragma once

#include "kernel/Action.h"

#include <optional>
#include <string>

namespace banyanpick {

/// One request as its caller observes it. The virtual deployment fills it in.
struct CallerRecord {
  std::string Name; ///< The name that the scenario uses.
  std::string Host; ///< The entry host that the caller is connected to.
  RequestHead Head;
  Time SentAt{};
  std::optional<Time> AcceptedAt;
  Time Deadline = Never; ///< By the class's limits at admission.
  std::optional<Time> FirstTokenAt;
  std::optional<Time> EndedAt;
  std::optional<FinalAnswer> Answer;
  std::string ResumeToken;
  std::uint64_t Next = 0;             ///< First chunk not yet received.
  std::uint32_t FinalAnswers = 0;     ///< Must be at most 1.
  std::uint32_t OutOfOrderChunks = 0; ///< Includes repeated chunks.
  std::uint32_t ForeignChunks = 0;    ///< Chunks of other answers.
  std::uint32_t StartedRuns = 0;      ///< Runs on upstreams.
  std::uint32_t Redirects = 0;
  bool ConnectionLost = false; ///< The host failed or was cut off.
  bool Disconnected = false;   ///< The caller closed the connection.
  bool HostWasFrozen = false;  ///< A missed deadline is no violation.

  bool isOpen() const { return !this->Answer && !this->ConnectionLost; }
};

} // namespace banyanpick
