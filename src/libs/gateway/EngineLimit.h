/// \file
/// What an upstream's answer says of how many requests the upstream takes.
#pragma once

#include <variant>

namespace banyanpick {

/// Nothing that can be relied on: it is not the upstream's own whole answer.
struct LimitUnsaid {
  bool operator==(const LimitUnsaid &) const = default;
};
/// The upstream answered and named no limit.
struct LimitNone {
  bool operator==(const LimitNone &) const = default;
};
/// It takes so many requests a second from all hosts together.
struct LimitNamed {
  double PerSecond = 0; ///< Finite, not negative.

  bool operator==(const LimitNamed &) const = default;
};
/// It names a limit that can't be read.
struct LimitUnreadable {
  bool operator==(const LimitUnreadable &) const = default;
};

using LimitSaid =
    std::variant<LimitUnsaid, LimitNone, LimitNamed, LimitUnreadable>;

} // namespace banyanpick
