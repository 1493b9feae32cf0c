#include "plugins/prefixcache/PrefixCachePlugin.h"

#include "base/EventNumbers.h"
#include "base/Visitor.h"
#include "kernel/PluginRegistry.h"

namespace banyanpick {

void PrefixCachePlugin::initialize(PluginContext &Context) {
  this->Registry = &Context.services();
  this->PollInterval = Context.settings().span("prefixcache", "poll_interval");
  Context.services().provide<PrefixCacheView>(*this);
  Context.services().list<FleetObserver>().add(*this);
}

void PrefixCachePlugin::handle(const Event &Received, Time Now, Actions &Out) {
  if (const auto *Reported = std::get_if<CacheEventsReported>(&Received))
    this->take(*Reported, Out);
  if (Now < this->NextPoll)
    return;
  this->NextPoll = Now + this->PollInterval;
  this->poll(Now, Out);
}

std::uint64_t
PrefixCachePlugin::cachedTokens(const UpstreamId &Engine,
                                std::span<const BlockHash> Blocks) const {
  if (Blocks.empty())
    return 0;
  const auto Found = this->Indexes.find(Engine);
  return Found == this->Indexes.end() ? 0 : Found->second.cachedTokens(Blocks);
}

void PrefixCachePlugin::upstreamChanged(const Upstream &Changed, Time,
                                        Actions &) {
  if (Changed.State == UpstreamState::Dead)
    this->Indexes.erase(Changed.Listing.Id);
}

void PrefixCachePlugin::poll(Time, Actions &Out) {
  for (const Upstream &Engine : this->Registry->get<FleetView>().upstreams()) {
    const bool IsPolled = Engine.Listing.Kind == UpstreamKind::Engine &&
                          Engine.State == UpstreamState::Live;
    if (!IsPolled)
      continue;
    const std::uint64_t After = this->Indexes[Engine.Listing.Id].lastSequence();
    Out.add(PollCacheEvents{Engine.Listing.Id, Engine.Listing.At, After});
  }
}

void PrefixCachePlugin::take(const CacheEventsReported &Reported,
                             Actions &Out) {
  CacheIndex &Index = this->Indexes[Reported.Upstream];
  if (!Index.take(Reported.Life, Reported.Events))
    return;
  Out.count("cache_event_gaps");
  Out.log(logEvent(events::CacheIndexIncomplete)
              .with("upstream", Reported.Upstream.Value)
              .with("blocks", Index.blocks())
              .build());
}

namespace {

std::vector<SettingDeclaration> settings() {
  return {{"prefixcache", "poll_interval", SettingKind::Span, "500ms",
           "How often each engine is asked for its cache events.", 10e3, 60e6}};
}

const PluginRegistration Registration(
    {"prefixcache", {"fleet"}, settings, []() -> std::unique_ptr<Plugin> {
       return std::make_unique<PrefixCachePlugin>();
     }});

} // namespace

} // namespace banyanpick
