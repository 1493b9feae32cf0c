/// \file
/// The plug-in that tracks which prompt blocks engines have cached.
#pragma once

#include "kernel/Plugin.h"
#include "plugins/prefixcache/CacheIndex.h"
#include "plugins/prefixcache/PrefixCacheView.h"

#include <unordered_map>

namespace banyanpick {

/// Polls engines for cache events, which may arrive late and with gaps.
class PrefixCachePlugin : public Plugin,
                          public PrefixCacheView,
                          public FleetObserver {
public:
  void initialize(PluginContext &Context) override;
  void handle(const Event &Received, Time Now, Actions &Out) override;
  Time nextWake() const override { return this->NextPoll; }

  std::uint64_t cachedTokens(const UpstreamId &Engine,
                             std::span<const BlockHash> Blocks) const override;

  void upstreamChanged(const Upstream &Changed, Time Now,
                       Actions &Out) override;

private:
  void poll(Time Now, Actions &Out);
  void take(const CacheEventsReported &Reported, Actions &Out);

  Services *Registry = nullptr;
  Duration PollInterval{};
  Time NextPoll{};
  std::unordered_map<UpstreamId, CacheIndex> Indexes;
};

} // namespace banyanpick
