#include "plugins/orders/EngineOrders.h"

#include <algorithm>

namespace banyanpick {

bool EngineOrders::isFree(const UpstreamId &Engine, Time Now) const {
  const auto Found = this->Outstanding.find(Engine);
  return Found == this->Outstanding.end() || Now >= Found->second.FreeAt;
}

void EngineOrders::noteSent(const UpstreamId &Engine, const OrderId &Order,
                            Time Now) {
  // Until the answer arrives, the order may or may not have reached the engine.
  this->Outstanding[Engine] = {Order, Now + this->Timeouts.Answer +
                                          this->Timeouts.ReadBack};
}

bool EngineOrders::noteAnswer(const OrderAnswered &Answer, Time Now) {
  const auto Found = this->Outstanding.find(Answer.Upstream);
  if (Found == this->Outstanding.end() || Found->second.Order != Answer.Order)
    return false;
  const bool MayHaveEffect = Answer.Result == OrderResult::Accepted ||
                             Answer.Result == OrderResult::Unknown;
  const Duration Wait =
      MayHaveEffect ? this->Timeouts.ReadBack : this->Timeouts.Failure;
  Found->second.FreeAt = Now + Wait;
  return true;
}

std::vector<UpstreamId> EngineOrders::engines() const {
  std::vector<UpstreamId> Result;
  for (const auto &[Engine, Order] : this->Outstanding)
    Result.push_back(Engine);
  std::ranges::sort(Result);
  return Result;
}

} // namespace banyanpick
