#include "relay/EngineLinkPool.h"

#include <algorithm>
#include <array>

namespace banyanpick {

namespace {

/// A connection is not used in the last part of the time that its upstream
/// keeps it: the request could cross its close.
constexpr double UsableIdleShare = 0.6;

/// Whether the peer has neither closed the connection nor sent anything; what
/// comes without a request belongs to none.
bool isIdle(EngineLink &Link) {
  if (Link.Buffer.size() != 0)
    return false;
  ErrorCode Failure;
  std::array<char, 1> Byte{};
  Link.Socket.non_blocking(true, Failure);
  Link.Socket.receive(net::buffer(Byte), Tcp::socket::message_peek, Failure);
  return Failure == net::error::would_block;
}

} // namespace

std::shared_ptr<EngineLink> EngineLinkPool::takeIdle(const UpstreamId &Engine) {
  const auto Found = this->IdleLinks.find(Engine);
  if (Found == this->IdleLinks.end())
    return nullptr;
  const auto Now = std::chrono::steady_clock::now();
  while (!Found->second.empty()) {
    std::shared_ptr<EngineLink> Last = std::move(Found->second.back());
    Found->second.pop_back();
    if (Now < Last->IdleUntil && isIdle(*Last))
      return Last;
  }
  this->IdleLinks.erase(Found);
  return nullptr;
}

std::shared_ptr<EngineLink> EngineLinkPool::create() {
  return std::make_shared<EngineLink>(this->Executor);
}

void EngineLinkPool::keep(const UpstreamId &Engine,
                          std::shared_ptr<EngineLink> Link,
                          Duration ServerIdle) {
  auto &Links = this->IdleLinks[Engine];
  if (Links.size() >= this->MaxIdlePerUpstream)
    return;
  Duration Idle = this->MaxIdle;
  if (ServerIdle > Duration(0))
    Idle = std::min(Idle, fromSeconds(inSeconds(ServerIdle) * UsableIdleShare));
  Link->IsReused = true;
  Link->IdleUntil = std::chrono::steady_clock::now() + Idle;
  Links.push_back(std::move(Link));
}

} // namespace banyanpick
