/// \file
/// The signal about an upstream's request limit in its answers.
#pragma once

#include <variant>

namespace banyanpick {

/// No reliable signal: the answer is incomplete or not the upstream's own.
struct LimitUnknown {
  bool operator==(const LimitUnknown &) const = default;
};
/// The upstream answered without a limit.
struct LimitNone {
  bool operator==(const LimitNone &) const = default;
};
/// The upstream accepts this many requests per second from all hosts together.
struct LimitDeclared {
  double PerSecond = 0; ///< Finite and not negative.

  bool operator==(const LimitDeclared &) const = default;
};
/// The limit in the answer cannot be parsed.
struct LimitUnreadable {
  bool operator==(const LimitUnreadable &) const = default;
};

using LimitSignal =
    std::variant<LimitUnknown, LimitNone, LimitDeclared, LimitUnreadable>;

} // namespace banyanpick
