/// \file
/// What an upstream's answer says of how many requests the upstream takes.
#pragma once

#include <variant>

namespace banyanpick {

/// Nothing that can be relied on: it is not the upstream's own whole answer.
struct LimitUnknown {
  bool operator==(const LimitUnknown &) const = default;
};
/// The upstream answered and named no limit.
struct LimitNone {
  bool operator==(const LimitNone &) const = default;
};
/// It takes so many requests a second from all hosts together.
struct LimitDeclared {
  double PerSecond = 0; ///< Finite, not negative.

  bool operator==(const LimitDeclared &) const = default;
};
/// It names a limit that can't be read.
struct LimitUnreadable {
  bool operator==(const LimitUnreadable &) const = default;
};

using LimitSignal =
    std::variant<LimitUnknown, LimitNone, LimitDeclared, LimitUnreadable>;

} // namespace banyanpick
