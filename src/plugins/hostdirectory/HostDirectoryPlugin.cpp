#include "plugins/hostdirectory/HostDirectoryPlugin.h"

#include "base/Visitor.h"
#include "kernel/PluginRegistry.h"

#include <algorithm>

namespace banyanpick {

void HostDirectoryPlugin::initialize(PluginContext &Context) {
  const Settings &Values = Context.settings();
  this->Offered = &Context.services();
  this->Members = &Context.services().get<MembershipView>();
  this->Own = Context.self();
  this->Numbers = &Context.random();
  this->TimeToLive = Values.span("host_directory", "ttl");
  this->Most = Values.whole("host_directory", "hosts");
}

void HostDirectoryPlugin::start(Time, Actions &) {
  this->InForce = &this->Offered->get<InForceView>();
  this->Active = &this->Offered->get<ActiveHostsView>();
}

void HostDirectoryPlugin::handle(const Event &What, Time, Actions &Out) {
  match(
      What,
      [&](const ResolveRequest &Asked) {
        std::vector<Address> Hosts = this->draw();
        Out.count("resolves_answered", Hosts.empty() ? "empty" : "named");
        Out.add(AnswerResolve{Asked.Id, std::move(Hosts), this->TimeToLive});
      },
      [](const auto &) {});
}

std::vector<Address> HostDirectoryPlugin::draw() {
  const std::vector<Named> All = this->activeHosts();
  std::uint32_t Most = 0;
  for (const Named &Each : All)
    Most = std::max(Most, Each.Processor.Thousandths);
  std::vector<Address> Result;
  for (const Named &Each : All)
    if (this->Numbers->below(Most) < Each.Processor.Thousandths)
      Result.push_back(Each.At);
  // More than one answer holds: each caller gets its own draw of them.
  while (Result.size() > this->Most)
    Result.erase(Result.begin() + static_cast<std::ptrdiff_t>(
                                      this->Numbers->below(Result.size())));
  return Result;
}

std::vector<HostDirectoryPlugin::Named>
HostDirectoryPlugin::activeHosts() const {
  std::vector<Named> Result;
  const auto Add = [&](const HostId &Host, const Named &Each) {
    if (std::ranges::binary_search(this->Active->activeHosts(), Host))
      Result.push_back(Each);
  };
  if (this->InForce->isReady())
    Add(this->Own.Host, {this->Own.Callers, this->Own.Processor});
  for (const Member &Each : this->Members->peers())
    if (Each.State == MemberState::Alive && Each.Ready)
      Add(Each.Listing.Id, {Each.Listing.Callers, Each.Listing.Processor});
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
