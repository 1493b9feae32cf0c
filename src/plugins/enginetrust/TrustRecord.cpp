#include "plugins/enginetrust/TrustRecord.h"

#include "base/Visitor.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// Fewer answers say nothing of a share.
constexpr std::uint32_t FewestAnswers = 5;

/// One lost answer among many is not the upstream's state.
constexpr std::uint32_t BrokenInARow = 2;

/// A pause is doubled no more often than this.
constexpr std::uint32_t MostDoublings = 6;

/// The first status that stands for a failure of the upstream.
constexpr std::uint32_t FirstServerError = 500;

} // namespace

void TrustRecord::take(Verdict What, double UsualFailures,
                       const TrustLimits &Limits, Time Now) {
  if (What == Verdict::Neutral)
    return;
  const double Failed = What == Verdict::Healthy ? 0 : 1;
  this->Failures += Limits.Memory * (Failed - this->Failures);
  ++this->Seen;
  if (What == Verdict::Healthy) {
    this->InARow = 0;
    this->Pauses = 0;
    return;
  }
  if (What != Verdict::Failing)
    ++this->InARow;
  const bool TooMany = this->Seen >= FewestAnswers &&
                       this->Failures > UsualFailures + Limits.SuspectShare;
  // An engine that closes connections at once looks idle, so that it draws
  // whatever is gathered; there is no time for a second one.
  const bool Out = What == Verdict::Silent || What == Verdict::Refused ||
                   this->InARow >= BrokenInARow;
  if (Out || TooMany)
    this->avoid(Limits, Now);
}

void TrustRecord::avoid(const TrustLimits &Limits, Time Now) {
  if (this->isAvoided(Now))
    return;
  const auto Doublings = std::min(this->Pauses, MostDoublings);
  const Duration Pause = Limits.FirstEjection * (1 << Doublings);
  ++this->Pauses;
  this->AvoidSince = Now;
  this->AvoidUntil = Now + std::min(Pause, Limits.MaxEjection);
  // After the pause a few answers decide anew.
  this->Seen = 0;
}

TrustRecord::Verdict verdictOf(const RelayOutcome &Outcome) {
  using Verdict = TrustRecord::Verdict;
  return match(
      Outcome,
      [](const RelayNeverSent &Is) {
        return Is.Withdrawn ? Verdict::Neutral : Verdict::Silent;
      },
      [](const RelayNotRun &) { return Verdict::Neutral; },
      [](const RelayDelivered &) { return Verdict::Healthy; },
      [](const RelayFailed &Is) {
        return Is.Status >= FirstServerError ? Verdict::Failing
                                             : Verdict::Healthy;
      },
      [](const RelayBroken &Is) {
        const bool Refused = Is.Reason == RelayBroken::Why::Reset && !Is.Began;
        return Refused ? Verdict::Refused : Verdict::Broken;
      });
}

} // namespace banyanpick
