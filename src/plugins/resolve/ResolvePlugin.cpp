#include "plugins/resolve/ResolvePlugin.h"

#include "base/RendezvousHash.h"
#include "base/Visitor.h"
#include "kernel/PluginRegistry.h"

#include <algorithm>
#include <tuple>

namespace banyanpick {

void ResolvePlugin::initialize(PluginContext &Context) {
  this->Offered = &Context.services();
  this->Members = &Context.services().get<MembershipView>();
  this->Own = Context.self();
  this->Most = Context.settings().whole("resolve", "hosts");
  this->TimeToLive = Context.settings().span("resolve", "ttl");
}

void ResolvePlugin::start(Time, Actions &) {
  this->Declared = &this->Offered->get<CatalogueView>();
  this->Drain = &this->Offered->get<DrainView>();
}

void ResolvePlugin::handle(const Event &What, Time, Actions &Out) {
  match(
      What, [&](const ResolveAsked &Asked) { this->answer(Asked, Out); },
      [](const auto &) {});
}

void ResolvePlugin::answer(const ResolveAsked &Asked, Actions &Out) const {
  const ZoneId &Nearest =
      Asked.Zone.Value.empty() ? this->Own.Zone : Asked.Zone;
  using Candidate = std::tuple<bool, std::uint64_t, Address>;
  std::vector<Candidate> Candidates;
  const auto Add = [&](const HostId &Id, const ZoneId &Zone,
                       const Address &At) {
    Candidates.emplace_back(Zone != Nearest,
                            rendezvousWeight(Asked.Team.Value, Id.Value), At);
  };
  if (this->Declared->isReady() && !this->Drain->isLeaving())
    Add(this->Own.Host, this->Own.Zone, this->Own.Callers);
  for (const Member &Each : this->Members->peers())
    if (Each.State == MemberState::Alive && Each.Ready)
      Add(Each.Listing.Id, Each.Listing.Zone, Each.Listing.Callers);
  std::ranges::sort(Candidates);
  AnswerResolve Answer{Asked.Id, {}, this->TimeToLive};
  for (const Candidate &Each : Candidates)
    if (Answer.Hosts.size() < this->Most)
      Answer.Hosts.push_back(std::get<Address>(Each));
  Out.add(std::move(Answer));
}

namespace {

std::vector<SettingDeclaration> settings() {
  return {{"resolve", "hosts", SettingKind::Whole, "3",
           "Entry hosts named in one resolve answer.", 1, 64},
          {"resolve", "ttl", SettingKind::Span, "5s",
           "How long a caller may keep a resolve answer.", 100e3, 600e6}};
}

const PluginRegistration Registration(
    {"resolve", {"membership"}, settings, []() -> std::unique_ptr<Plugin> {
       return std::make_unique<ResolvePlugin>();
     }});

} // namespace

} // namespace banyanpick
