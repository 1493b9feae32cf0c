#include "plugins/hostdirectory/HostDirectoryPlugin.h"

#include "base/Visitor.h"
#include "kernel/PluginRegistry.h"

#include <algorithm>

namespace banyanpick {

void HostDirectoryPlugin::initialize(PluginContext &Context) {
  const Settings &Values = Context.settings();
  this->Registry = &Context.services();
  this->Members = &Context.services().get<MembershipView>();
  this->Self = Context.self();
  this->Rng = &Context.random();
  this->TimeToLive = Values.span("host_directory", "ttl");
  this->MaxHosts = Values.whole("host_directory", "hosts");
}

void HostDirectoryPlugin::start(Time, Actions &) {
  this->InForce = &this->Registry->get<InForceView>();
  this->ActiveHosts = &this->Registry->get<ActiveHostsView>();
}

void HostDirectoryPlugin::handle(const Event &Incoming, Time, Actions &Out) {
  match(
      Incoming,
      [&](const ResolveRequest &Query) {
        std::vector<Address> Hosts = this->sampleHosts();
        Out.count("resolves_answered", Hosts.empty() ? "empty" : "named");
        Out.add(AnswerResolve{Query.Id, std::move(Hosts), this->TimeToLive});
      },
      [](const auto &) {});
}

std::vector<Address> HostDirectoryPlugin::sampleHosts() {
  const std::vector<CallerAddress> All = this->activeHosts();
  std::uint32_t MaxProcessor = 0;
  for (const CallerAddress &Listed : All)
    MaxProcessor = std::max(MaxProcessor, Listed.Processor.Thousandths);
  std::vector<Address> Result;
  for (const CallerAddress &Listed : All)
    if (this->Rng->below(MaxProcessor) < Listed.Processor.Thousandths)
      Result.push_back(Listed.Callers);
  // If there are more hosts than fit into an answer, each caller gets its own
  // random sample.
  while (Result.size() > this->MaxHosts)
    Result.erase(Result.begin() +
                 static_cast<std::ptrdiff_t>(this->Rng->below(Result.size())));
  return Result;
}

std::vector<HostDirectoryPlugin::CallerAddress>
HostDirectoryPlugin::activeHosts() const {
  std::vector<CallerAddress> Result;
  const auto Add = [&](const HostId &Host, const CallerAddress &Listed) {
    if (std::ranges::binary_search(this->ActiveHosts->activeHosts(), Host))
      Result.push_back(Listed);
  };
  if (this->InForce->isReady())
    Add(this->Self.Host, {this->Self.Callers, this->Self.Processor});
  for (const Member &Peer : this->Members->peers())
    if (Peer.State == MemberState::Alive && Peer.Ready)
      Add(Peer.Listing.Id, {Peer.Listing.Callers, Peer.Listing.Processor});
  return Result;
}

std::vector<SettingDeclaration> HostDirectoryPlugin::settings() {
  return {{"host_directory", "ttl", SettingKind::Span, "1s",
           "How long a caller should keep an answer. A host that stops goes on "
           "serving three times as long, for callers that keep it longer.",
           100e3, 600e6},
          {"host_directory", "hosts", SettingKind::Whole, "64",
           "Most hosts named in one answer.", 1, 1024}};
}

namespace {

const PluginRegistration
    Registration({"host_directory",
                  {"active_hosts", "membership"},
                  HostDirectoryPlugin::settings,
                  []() -> std::unique_ptr<Plugin> {
                    return std::make_unique<HostDirectoryPlugin>();
                  },
                  PluginUse::Gateway});

} // namespace

} // namespace banyanpick
