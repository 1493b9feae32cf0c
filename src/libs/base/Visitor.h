/// \file
/// Visitors over std::variant written as a set of lambdas.
#pragma once

#include <utility>
#include <variant>

namespace banyanpick {

/// A function object with one overload for each lambda given.
template <class... Functions> struct Overloaded : Functions... {
  using Functions::operator()...;
};
template <class... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

/// Calls the lambda that matches the alternative held by \p Value.
template <class Variant, class... Functions>
decltype(auto) match(Variant &&Value, Functions &&...Cases) {
  return std::visit(Overloaded{std::forward<Functions>(Cases)...},
                    std::forward<Variant>(Value));
}

} // namespace banyanpick
