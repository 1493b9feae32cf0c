/// \file
/// The outcomes of attempts on one engine.
#pragma once

#include "gateway/RelayedRequest.h"

namespace banyanpick {

/// Limits for the ejection of an engine.
struct TrustLimits {
  Duration FirstEjection{}; ///< Ejection time after a failure; doubles with
                            ///< each further one.
  Duration MaxEjection{};
  /// Share of failures among recent answers, above that of the service, from
  /// which on the engine is ejected.
  double SuspectShare = 0;
  double Memory = 0; ///< Weight of the newest answer in the share.
};

/// Judges an engine by outcomes, because a health check may succeed while
/// requests fail.
class TrustRecord {
public:
  /// What an outcome says of the engine.
  enum class Verdict {
    Healthy, ///< The engine answered.
    Failing, ///< The engine answered with a failure of its own.
    Broken,  ///< The engine broke off its answer, or violated the protocol.
    Refused, ///< The engine closed the connection without an answer.
    Silent,  ///< The engine is unreachable.
    Neutral, ///< Not significant, such as a full engine.
  };

  /// \p UsualFailures is the share of failures of the whole service.
  void take(Verdict Result, double UsualFailures, const TrustLimits &Limits,
            Time Now);

  bool isAvoided(Time Now) const { return Now < this->AvoidUntil; }
  Time avoidUntil() const { return this->AvoidUntil; }
  /// Returns when the ejection began.
  Time avoidSince() const { return this->AvoidSince; }
  double failureShare() const { return this->Failures; }
  std::uint32_t failuresInARow() const { return this->InARow; }

private:
  void avoid(const TrustLimits &Limits, Time Now);

  double Failures = 0; ///< Moving average of 0 and 1.
  std::uint32_t Answers = 0;
  std::uint32_t InARow = 0; ///< Consecutive broken or silent attempts.
  /// Consecutive ejections without a healthy answer.
  std::uint32_t Ejections = 0;
  Time AvoidSince{};
  Time AvoidUntil{};
};

/// Returns what an outcome says of the engine.
TrustRecord::Verdict verdictOf(const RelayOutcome &Outcome);

} // namespace banyanpick
