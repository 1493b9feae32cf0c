#include "plugins/orders/EngineOrders.h"

#include <algorithm>

namespace banyanpick {

bool EngineOrders::isFree(const UpstreamId &Engine, Time Now) const {
  const auto Found = this->Waiting.find(Engine);
  return Found == this->Waiting.end() || Now >= Found->second.FreeAt;
}

void EngineOrders::noteSent(const UpstreamId &Engine, const OrderId &Order,
                            Time Now) {
  // Until the answer the order may or may not have reached the engine.
  this->Waiting[Engine] = {Order,
                           Now + this->Waits.Answer + this->Waits.ReadBack};
}

bool EngineOrders::noteAnswer(const OrderAnswered &Answer, Time Now) {
  const auto Found = this->Waiting.find(Answer.Upstream);
  if (Found == this->Waiting.end() || Found->second.Order != Answer.Order)
    return false;
  const bool MayHaveEffect = Answer.Result == OrderResult::Accepted ||
                             Answer.Result == OrderResult::Unknown;
  const Duration Wait =
      MayHaveEffect ? this->Waits.ReadBack : this->Waits.Failure;
  Found->second.FreeAt = Now + Wait;
  return true;
}

std::vector<UpstreamId> EngineOrders::engines() const {
  std::vector<UpstreamId> Result;
  for (const auto &[Engine, Each] : this->Waiting)
    Result.push_back(Engine);
  std::ranges::sort(Result);
  return Result;
}

} // namespace banyanpick
