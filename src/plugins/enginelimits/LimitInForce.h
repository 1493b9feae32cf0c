/// \file
/// The lowest of the limits that apply to an engine.
#pragma once

#include "plugins/enginelimits/LimitState.h"

namespace banyanpick {

/// A limit of an engine, its source and its end.
struct LimitInForce {
  enum class Source {
    Declared, ///< The engine declares it in its answers.
    Cold,     ///< The engine is cold.
  };
  double PerSecond = 0;
  Source From = Source::Declared;
  Time Until = Never; ///< Never: until the engine declares its end.

  bool operator==(const LimitInForce &) const = default;
};

/// The cold time of one engine. Hosts learn of it at different times, so each
/// counts from when it heard and keeps the latest end.
class ColdState {
public:
  /// Returns whether the engine is cold for longer than was known. Only then is
  /// \p RatePerSecond taken, so a cold time keeps its rate until it is
  /// prolonged.
  bool take(double RatePerSecond, Duration For, Time Now);

  bool isCold(Time Now) const { return Now < this->End; }
  double perSecond() const { return this->PerSecond; }
  Time until() const { return this->End; }
  /// Returns the remaining cold time as other hosts are told, without the
  /// margin, which each host adds itself.
  Duration left(Time Now) const;

private:
  double PerSecond = 0;
  Time End{};
};

/// Returns the lowest limit in force, or nothing if there is none.
std::optional<LimitInForce> lowestLimit(const LimitState &Declared,
                                        const ColdState &Cold, Time Now);

/// Added to each cold time. A report that ends at most this much later than the
/// known end describes the same cold time, so reports that hosts repeat to each
/// other do not prolong it.
inline constexpr milliseconds ColdMargin(50);

} // namespace banyanpick
