/// \file
/// Callers of non-idempotent operations on kernels that share one log.
#pragma once

#include "auto/log/LogBench.h"

#include <fmt/format.h>

namespace banyanpick {

/// A UUIDv7 made at \p CreatedAt.
inline OperationKey keyMadeAt(Time CreatedAt, unsigned Number) {
  const auto Milliseconds =
      std::chrono::duration_cast<milliseconds>(CreatedAt.time_since_epoch())
          .count();
  const std::string Hex = fmt::format("{:012x}", Milliseconds);
  return OperationKey(fmt::format("{}-{}-7000-8000-{:012x}", Hex.substr(0, 8),
                                  Hex.substr(8), Number));
}

/// A request of \p Team for the operation.
Request requestFor(OperationKey Key, std::uint64_t Id,
                   std::uint64_t Content = 1, std::string Team = "t");

void claim(BenchHost &Host, const Request &Req);
void abandon(BenchHost &Host, const Request &Req);
void finish(BenchHost &Host, const Request &Req, std::string Result);
void dispatch(BenchHost &Host, const Request &Req);
void endAttempt(BenchHost &Host, const Request &Req, AttemptOutcome Outcome);

/// The verdict on the request, or nothing yet.
std::optional<ClaimVerdict> verdictOn(BenchHost &Host, const Request &Req);

/// The answer with which the request was denied; fails when it was not.
FinalAnswer denialOf(BenchHost &Host, const Request &Req);
bool isGranted(BenchHost &Host, const Request &Req);

} // namespace banyanpick
