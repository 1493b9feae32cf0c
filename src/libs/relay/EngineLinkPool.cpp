#include "relay/EngineLinkPool.h"

#include <algorithm>
#include <array>

namespace banyanpick {

namespace {

/// A connection is not used in the last part of the time that its upstream
/// keeps it: the request could cross its close.
constexpr double UsedShareOfIdle = 0.6;

/// Whether the peer has neither closed the connection nor sent anything; what
/// comes without a request belongs to none.
bool isQuiet(EngineLink &Link) {
  if (Link.Buffer.size() != 0)
    return false;
  ErrorCode Failure;
  std::array<char, 1> Byte{};
  Link.Socket.non_blocking(true, Failure);
  Link.Socket.receive(net::buffer(Byte), Tcp::socket::message_peek, Failure);
  return Failure == net::error::would_block;
}

} // namespace

std::shared_ptr<EngineLink> EngineLinkPool::takeKept(const UpstreamId &Engine) {
  const auto Found = this->Kept.find(Engine);
  if (Found == this->Kept.end())
    return nullptr;
  const auto Now = std::chrono::steady_clock::now();
  while (!Found->second.empty()) {
    std::shared_ptr<EngineLink> Last = std::move(Found->second.back());
    Found->second.pop_back();
    if (Now < Last->IdleUntil && isQuiet(*Last))
      return Last;
  }
  this->Kept.erase(Found);
  return nullptr;
}

std::shared_ptr<EngineLink> EngineLinkPool::makeNew() {
  return std::make_shared<EngineLink>(this->Executor);
}

void EngineLinkPool::keep(const UpstreamId &Engine,
                          std::shared_ptr<EngineLink> Link,
                          Duration ServerIdle) {
  auto &Of = this->Kept[Engine];
  if (Of.size() >= this->KeptPerUpstream)
    return;
  Duration Idle = this->IdleFor;
  if (ServerIdle > Duration(0))
    Idle = std::min(Idle, fromSeconds(inSeconds(ServerIdle) * UsedShareOfIdle));
  Link->IsKept = true;
  Link->IdleUntil = std::chrono::steady_clock::now() + Idle;
  Of.push_back(std::move(Link));
}

} // namespace banyanpick
