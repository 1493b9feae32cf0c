#include "relay/EngineLinkPool.h"

#include <algorithm>
#include <array>

namespace banyanpick {

namespace {

/// The share of an upstream's keep-alive timeout during which an idle
/// connection is reused. A request that is sent near the end of the timeout can
/// reach the upstream after it has closed the connection.
constexpr double UsableIdleShare = 0.6;

/// Returns whether the peer has neither closed the connection nor sent data.
/// Data that arrives without a request in flight belongs to no request.
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

std::size_t EngineLinkPool::connections(const UpstreamId &Engine) {
  const auto Found = this->Links.find(Engine);
  if (Found == this->Links.end())
    return 0;
  std::erase_if(Found->second, [](const std::weak_ptr<EngineLink> &Link) {
    return Link.expired();
  });
  const std::size_t Count = Found->second.size();
  if (Count == 0)
    this->Links.erase(Found);
  return Count;
}

std::shared_ptr<EngineLink>
EngineLinkPool::create(const UpstreamId &Engine, std::uint32_t MaxConnections) {
  std::shared_ptr<EngineLink> Result = this->create();
  if (MaxConnections == 0)
    return Result;
  const auto Idle = this->IdleLinks.find(Engine);
  // Counts first, because counting removes the links that no longer exist.
  while (this->connections(Engine) >= MaxConnections &&
         Idle != this->IdleLinks.end() && !Idle->second.empty())
    Idle->second.erase(Idle->second.begin());
  this->Links[Engine].push_back(Result);
  return Result;
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
