/// \file
/// This host's view of one engine's limit.
#pragma once

#include "base/Time.h"

#include <optional>

namespace banyanpick {

/// A report of an engine's limit, with its time.
struct LimitReport {
  std::optional<double> PerSecond; ///< Empty: the engine names no limit.
  /// For a limit, when its answer was received; for the end of a limit, when
  /// the request was sent whose answer named none. The newer of two hosts'
  /// reports wins, and an answer that was delayed ends no limit.
  Time At{};
};

/// Keeps the newest report. Hosts that receive the same reports in any order
/// end up with the same one; of two reports with the same time, the lower limit
/// wins.
class LimitState {
public:
  /// Returns whether the limit changed.
  bool take(const LimitReport &Report);

  bool isLimited() const { return this->Newest.PerSecond.has_value(); }
  const LimitReport &newest() const { return this->Newest; }

private:
  LimitReport Newest;
};

} // namespace banyanpick
