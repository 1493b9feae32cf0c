/// \file
/// What this host knows of one engine's limit.
#pragma once

#include "base/Time.h"

#include <optional>

namespace banyanpick {

/// What was said of an engine's limit, and how new that is.
struct LimitReport {
  std::optional<double> PerSecond; ///< None: it names no limit.
  /// A limit counts from when its answer was read, its end from when the
  /// request was sent whose answer named none: of two hosts' words the newer
  /// one holds, and an answer that was long on its way ends no limit.
  Time At{};
};

/// Holds the newest word. Hosts that hear the same words in any order end up
/// with the same one; of two of the same moment, the lower limit.
class LimitState {
public:
  /// Whether it changed what is believed.
  bool take(const LimitReport &Word);

  bool isLimited() const { return this->Newest.PerSecond.has_value(); }
  const LimitReport &newest() const { return this->Newest; }

private:
  LimitReport Newest;
};

} // namespace banyanpick
