/// \file
/// Visits a std::variant with a set of lambdas.
#pragma once

#include <utility>
#include <variant>

namespace banyanpick {

/// A function object with one overload for each lambda.
template <class... Functions> struct Overloaded : Functions... {
  using Functions::operator()...;
};
template <class... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

/// Calls the lambda that matches the active alternative of \p Value.
template <class Variant, class... Functions>
decltype(auto) match(Variant &&Value, Functions &&...Cases) {
  return std::visit(Overloaded{std::forward<Functions>(Cases)...},
                    std::forward<Variant>(Value));
}

} // namespace banyanpick
