/// \file
/// Helpers that call non-idempotent operations on kernels sharing one log.
#pragma once

#include "auto/log/LogBench.h"

#include <fmt/format.h>

namespace banyanpick {

/// Returns a UUIDv7 created at \p CreatedAt.
inline OperationKey keyMadeAt(Time CreatedAt, unsigned Number) {
  const auto Milliseconds =
      std::chrono::duration_cast<milliseconds>(CreatedAt.time_since_epoch())
          .count();
  const std::string Hex = fmt::format("{:012x}", Milliseconds);
  return OperationKey(fmt::format("{}-{}-7000-8000-{:012x}", Hex.substr(0, 8),
                                  Hex.substr(8), Number));
}

/// Returns a request of \p Team for the operation.
Request requestFor(OperationKey Key, std::uint64_t Id,
                   std::uint64_t Content = 1, std::string Team = "t");

void claim(BenchHost &Host, const Request &Req);
void abandon(BenchHost &Host, const Request &Req);
void finish(BenchHost &Host, const Request &Req, std::string Result);
void dispatch(BenchHost &Host, const Request &Req);
void endAttempt(BenchHost &Host, const Request &Req, AttemptOutcome Outcome);

/// Returns the verdict on the request, or nothing while there is none.
std::optional<ClaimVerdict> verdictOn(BenchHost &Host, const Request &Req);

/// Returns the answer that denied the request. Throws when it was not denied.
FinalAnswer denialOf(BenchHost &Host, const Request &Req);
bool isGranted(BenchHost &Host, const Request &Req);

} // namespace banyanpick
