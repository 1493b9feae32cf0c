/// \file
/// Orders on their way to engines.
#pragma once

#include "kernel/Services.h"

#include <unordered_map>

namespace banyanpick {

/// How long an engine is left alone.
struct OrderTimeouts {
  Duration Answer{};   ///< No answer within this: nobody knows.
  Duration ReadBack{}; ///< Its report should show the effect within this.
  Duration Failure{};  ///< After a failure or refusal.
};

/// At most one order to an engine at a time: the next one only after the
/// report showed the effect, or could have.
class EngineOrders {
public:
  EngineOrders() = default;
  explicit EngineOrders(OrderTimeouts Timeouts) : Timeouts(Timeouts) {}

  bool isFree(const UpstreamId &Engine, Time Now) const;
  void noteSent(const UpstreamId &Engine, const OrderId &Order, Time Now);
  /// False when the answer is to no order that waits for one.
  bool noteAnswer(const OrderAnswered &Answer, Time Now);
  /// Nothing is wanted of the engine any more: its report showed the effect.
  void noteDone(const UpstreamId &Engine) { this->Outstanding.erase(Engine); }
  /// The engines with an order whose effect is awaited.
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
