/// \file
/// How one upstream has dealt with what it was given.
#pragma once

#include "gateway/RelayedRequest.h"

namespace banyanpick {

/// When an upstream is avoided, and for how long.
struct TrustLimits {
  Duration FirstEjection{}; ///< After a failure; doubles with each in a row.
  Duration MaxEjection{};
  double SuspectShare = 0; ///< Failures among its last answers that are too
                           ///< many, above what its service shows.
  double Memory = 0;       ///< Weight of the newest answer in the share.
};

/// Judges by outcomes, as a health check may be good while requests fail.
class TrustRecord {
public:
  /// How much an outcome speaks against the upstream.
  enum class Verdict {
    Healthy, ///< It answered.
    Failing, ///< It answered with a failure of its own.
    Broken,  ///< It broke off its answer, or answered not in the protocol.
    Refused, ///< It closed the connection in place of an answer.
    Silent,  ///< It can't be reached.
    Neutral, ///< Says nothing, such as that it is full.
  };

  /// \p UsualFailures is the share of failures that its whole service shows.
  void take(Verdict What, double UsualFailures, const TrustLimits &Limits,
            Time Now);

  bool isAvoided(Time Now) const { return Now < this->AvoidUntil; }
  Time avoidUntil() const { return this->AvoidUntil; }
  /// When the pause began.
  Time avoidSince() const { return this->AvoidSince; }
  double failureShare() const { return this->Failures; }
  std::uint32_t failuresInARow() const { return this->InARow; }

private:
  void avoid(const TrustLimits &Limits, Time Now);

  double Failures = 0; ///< Moving average of 0 and 1.
  std::uint32_t Seen = 0;
  std::uint32_t InARow = 0; ///< Tries broken or silent, none sound between.
  std::uint32_t Pauses = 0; ///< Without a sound answer between.
  Time AvoidSince{};
  Time AvoidUntil{};
};

/// What an outcome says of the upstream.
TrustRecord::Verdict verdictOf(const RelayOutcome &Outcome);

} // namespace banyanpick
