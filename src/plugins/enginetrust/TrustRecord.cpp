#include "plugins/enginetrust/TrustRecord.h"

#include "base/Visitor.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// Minimum number of answers for a significant share of failures.
constexpr std::uint32_t MinAnswers = 5;

/// Consecutive broken answers that eject an engine. A single lost answer among
/// many does not show that the engine is faulty.
constexpr std::uint32_t BrokenInARow = 2;

/// Maximum number of times that an ejection time is doubled.
constexpr std::uint32_t MaxDoublings = 6;

/// The first status code that counts as a failure of the engine.
constexpr std::uint32_t FirstServerError = 500;

} // namespace

void TrustRecord::take(Verdict Result, double UsualFailures,
                       const TrustLimits &Limits, Time Now) {
  if (Result == Verdict::Neutral)
    return;
  const double Failed = Result == Verdict::Healthy ? 0 : 1;
  this->Failures += Limits.Memory * (Failed - this->Failures);
  ++this->Answers;
  if (Result == Verdict::Healthy) {
    this->InARow = 0;
    this->Ejections = 0;
    return;
  }
  if (Result != Verdict::Failing)
    ++this->InARow;
  const bool TooMany = this->Answers >= MinAnswers &&
                       this->Failures > UsualFailures + Limits.SuspectShare;
  // An engine that closes connections at once looks idle and attracts all
  // gathered requests, so the first failure ejects it.
  const bool IsDown = Result == Verdict::Silent || Result == Verdict::Refused ||
                      this->InARow >= BrokenInARow;
  if (IsDown || TooMany)
    this->avoid(Limits, Now);
}

void TrustRecord::avoid(const TrustLimits &Limits, Time Now) {
  if (this->isAvoided(Now))
    return;
  const auto Doublings = std::min(this->Ejections, MaxDoublings);
  const Duration Ejection = Limits.FirstEjection * (1 << Doublings);
  ++this->Ejections;
  this->AvoidSince = Now;
  this->AvoidUntil = Now + std::min(Ejection, Limits.MaxEjection);
  // After the ejection, a few answers decide again.
  this->Answers = 0;
}

TrustRecord::Verdict verdictOf(const RelayOutcome &Outcome) {
  using Verdict = TrustRecord::Verdict;
  return match(
      Outcome,
      [](const RelayNeverSent &Result) {
        return Result.Reason == RelayNeverSent::Why::Withdrawn
                   ? Verdict::Neutral
                   : Verdict::Silent;
      },
      [](const RelayNotRun &) { return Verdict::Neutral; },
      [](const RelayDelivered &) { return Verdict::Healthy; },
      [](const RelayFailed &Result) {
        return Result.Status >= FirstServerError ? Verdict::Failing
                                                 : Verdict::Healthy;
      },
      [](const RelayBroken &Result) {
        const bool Refused =
            Result.Reason == RelayBroken::Why::Reset && !Result.Began;
        return Refused ? Verdict::Refused : Verdict::Broken;
      });
}

} // namespace banyanpick
