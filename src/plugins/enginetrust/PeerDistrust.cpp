#include "plugins/enginetrust/PeerDistrust.h"

#include "base/Milliseconds.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// Of the engines, that a peer may distrust and still be believed.
constexpr double MostOfEngines = 0.25;

/// The peer's own next try is answered, or not, within so long after its pause.
constexpr milliseconds PeerTriesFirst(300);

} // namespace

std::size_t PeerDistrust::take(const HostId &Peer,
                               std::span<const EngineWork::Distrust> Told,
                               std::size_t Engines, Time Now) {
  std::erase_if(this->ByEngine,
                [&](const auto &Each) { return Now >= Each.second.Until; });
  const double Most =
      std::max(1.0, static_cast<double>(Engines) * MostOfEngines);
  if (static_cast<double>(Told.size()) > Most) {
    for (const EngineWork::Distrust &Each : Told) {
      const auto Found = this->ByEngine.find(Each.Engine);
      if (Found != this->ByEngine.end() && Found->second.By == Peer)
        this->ByEngine.erase(Found);
    }
    return 0;
  }
  std::size_t New = 0;
  for (const EngineWork::Distrust &Each : Told) {
    const Time Since = Now - fromMilliseconds(Each.SinceMs);
    const Time Until = Now + fromMilliseconds(Each.LeftMs) + PeerTriesFirst;
    const auto Sound = this->SoundSentAt.find(Each.Engine);
    if (Sound != this->SoundSentAt.end() && Sound->second >= Since)
      continue;
    const auto [Of, Added] = this->ByEngine.try_emplace(Each.Engine);
    New += Added ? 1 : 0;
    if (Until > Of->second.Until)
      Of->second = {Peer, Since, Until};
  }
  return New;
}

void PeerDistrust::noteHealthy(const UpstreamId &Engine, Time SentAt) {
  Time &Last = this->SoundSentAt[Engine];
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
  this->SoundSentAt.erase(Engine);
}

} // namespace banyanpick
