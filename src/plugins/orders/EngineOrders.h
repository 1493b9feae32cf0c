/// \file
/// Tracks the orders sent to engines whose effect is not confirmed yet.
#pragma once

#include "kernel/Services.h"

#include <unordered_map>

namespace banyanpick {

/// How long an engine gets no further order.
struct OrderTimeouts {
  Duration Answer{};   ///< After this the outcome is unknown.
  Duration ReadBack{}; ///< The report should show the effect within this.
  Duration Failure{};  ///< After a failure or refusal.
};

/// Limits each engine to one outstanding order. The next order is allowed only
/// after the engine's report showed the effect, or had the time to show it.
class EngineOrders {
public:
  EngineOrders() = default;
  explicit EngineOrders(OrderTimeouts Timeouts) : Timeouts(Timeouts) {}

  bool isFree(const UpstreamId &Engine, Time Now) const;
  void noteSent(const UpstreamId &Engine, const OrderId &Order, Time Now);
  /// Returns false when no outstanding order matches the answer.
  bool noteAnswer(const OrderAnswered &Answer, Time Now);
  /// Called when no change of the engine is pending any more, because its
  /// report showed the effect.
  void noteDone(const UpstreamId &Engine) { this->Outstanding.erase(Engine); }
  /// Returns the engines with an outstanding order, sorted.
  std::vector<UpstreamId> engines() const;

private:
  struct OutstandingOrder {
    OrderId Order;
    Time FreeAt{};
  };

  OrderTimeouts Timeouts;
  std::unordered_map<UpstreamId, OutstandingOrder> Outstanding;
};

} // namespace banyanpick
