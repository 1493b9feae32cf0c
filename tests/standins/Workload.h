/// \file
/// The requests of the demonstration: a fixed mix for each seed.
#pragma once

#include "base/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace banyanpick::standins {

enum class WorkKind { Streamed, Unstreamed, Confirmation };

/// One request of the caller.
struct WorkItem {
  std::uint64_t Number = 0;
  WorkKind Kind = WorkKind::Streamed;
  std::size_t Team = 0; ///< Position in the list of teams.
  std::string Class;
  std::uint64_t PromptTokens = 0;
  std::uint64_t OutputTokens = 0;
  Duration StartAfter{};        ///< After the start of the demonstration.
  bool SentTwice = false;       ///< To two hosts at once; confirmations only.
  bool SentAfterAnswer = false; ///< Sent again after its answer;
                                ///< confirmations only.
};

/// Returns \p Count requests spread evenly over \p Span.
std::vector<WorkItem> makeWorkload(std::uint64_t Seed, std::uint64_t Count,
                                   std::size_t Teams, Duration Span);

/// Returns the prompt of the item: four bytes per token, different for each
/// number.
std::string promptOf(const WorkItem &Item);

/// Returns a UUIDv7 with the time \p Now (RFC 9562, section 5.7).
std::string makeOperationKey(Time Now, std::uint64_t Random);

} // namespace banyanpick::standins
