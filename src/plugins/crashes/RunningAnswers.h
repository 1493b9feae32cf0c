/// \file
/// Finds running answers that have shown that their contents are harmless.
#pragma once

#include "kernel/GatewayServices.h"

#include <map>
#include <vector>

namespace banyanpick {

/// An engine that crashes at a content does so soon after it began to answer.
/// An attempt that has been answered for longer is not the cause.
inline constexpr seconds MaxCrashDelay(1);

/// Returns the contents of the attempt: the whole request and the parts of its
/// prompt.
std::vector<Fingerprint> contentsOf(const RelayAttempt &Attempt);

/// The answers that arrive. One that has been arriving for MaxCrashDelay shows
/// the same as a complete one, long before it is complete.
class RunningAnswers {
public:
  /// An answer that did no harm.
  struct Answer {
    std::vector<Fingerprint> Contents;
    Time BeganAt{};
  };

  void began(const RelayAttempt &Attempt);
  /// Called when the attempt has ended, with any outcome.
  void ended(const AttemptId &Attempt) { this->Running.erase(Attempt); }

  /// Returns, once, the answers that have been arriving for MaxCrashDelay.
  std::vector<Answer> takeHarmless(Time Now);
  /// Returns when takeHarmless() returns an answer next, or an earlier time.
  Time nextDue() const { return this->NextDue; }

private:
  std::map<AttemptId, Answer> Running;
  Time NextDue = Never; ///< No later than the first one is due.
};

} // namespace banyanpick
