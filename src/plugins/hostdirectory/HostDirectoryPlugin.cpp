#include "plugins/hostdirectory/HostDirectoryPlugin.h"

#include "base/Visitor.h"
#include "kernel/PluginRegistry.h"

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
}

void HostDirectoryPlugin::handle(const Event &What, Time, Actions &Out) {
  match(
      What,
      [&](const ResolveAsked &Asked) {
        std::vector<Address> Hosts = this->readyHosts();
        // More than one answer holds: each caller gets its own draw of them.
        while (Hosts.size() > this->Most)
          Hosts.erase(Hosts.begin() + static_cast<std::ptrdiff_t>(
                                          this->Numbers->below(Hosts.size())));
        Out.count("resolves_answered", Hosts.empty() ? "empty" : "named");
        Out.add(AnswerResolve{Asked.Id, std::move(Hosts), this->TimeToLive});
      },
      [](const auto &) {});
}

std::vector<Address> HostDirectoryPlugin::readyHosts() const {
  std::vector<Address> Result;
  if (this->InForce->isReady())
    Result.push_back(this->Own.Callers);
  for (const Member &Each : this->Members->peers())
    if (Each.State == MemberState::Alive && Each.Ready)
      Result.push_back(Each.Listing.Callers);
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
                  {"membership"},
                  HostDirectoryPlugin::settings,
                  []() -> std::unique_ptr<Plugin> {
                    return std::make_unique<HostDirectoryPlugin>();
                  },
                  PluginUse::Gateway});

} // namespace

} // namespace banyanpick
