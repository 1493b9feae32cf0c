#include "plugins/enginetrust/PeerDistrust.h"

#include "base/Milliseconds.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// Largest share of a service's engines that a peer may distrust without being
/// ignored.
constexpr double MaxDistrustedShare = 0.25;

/// Additional time after the peer's ejection, in which the peer's own next
/// attempt is answered or fails.
constexpr milliseconds PeerRetryMargin(300);

} // namespace

std::size_t PeerDistrust::take(const HostId &Peer,
                               std::span<const EngineWork::Distrust> Reported,
                               std::size_t Engines, Time Now) {
  std::erase_if(this->ByEngine,
                [&](const auto &Entry) { return Now >= Entry.second.Until; });
  const double MaxReported =
      std::max(1.0, static_cast<double>(Engines) * MaxDistrustedShare);
  if (static_cast<double>(Reported.size()) > MaxReported) {
    for (const EngineWork::Distrust &Report : Reported) {
      const auto Found = this->ByEngine.find(Report.Engine);
      if (Found != this->ByEngine.end() && Found->second.Peer == Peer)
        this->ByEngine.erase(Found);
    }
    return 0;
  }
  std::size_t NewlyHeld = 0;
  for (const EngineWork::Distrust &Report : Reported) {
    const Time Since = Now - fromMilliseconds(Report.SinceMs);
    const Time Until = Now + fromMilliseconds(Report.LeftMs) + PeerRetryMargin;
    const auto LastHealthy = this->HealthySentAt.find(Report.Engine);
    if (LastHealthy != this->HealthySentAt.end() &&
        LastHealthy->second >= Since)
      continue;
    const auto [Entry, Added] = this->ByEngine.try_emplace(Report.Engine);
    NewlyHeld += Added ? 1 : 0;
    if (Until > Entry->second.Until)
      Entry->second = {Peer, Since, Until};
  }
  return NewlyHeld;
}

void PeerDistrust::noteHealthy(const UpstreamId &Engine, Time SentAt) {
  Time &Last = this->HealthySentAt[Engine];
  Last = std::max(Last, SentAt);
  const auto Found = this->ByEngine.find(Engine);
  if (Found != this->ByEngine.end() && SentAt >= Found->second.Since)
    this->ByEngine.erase(Found);
}

bool PeerDistrust::isHeldBack(const UpstreamId &Engine, Time Now) const {
  const auto Found = this->ByEngine.find(Engine);
  return Found != this->ByEngine.end() && Now < Found->second.Until;
}

void PeerDistrust::forget(const UpstreamId &Engine) {
  this->ByEngine.erase(Engine);
  this->HealthySentAt.erase(Engine);
}

} // namespace banyanpick
