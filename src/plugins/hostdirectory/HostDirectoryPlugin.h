/// \file
/// The plug-in that tells a gateway's callers where to connect.
#pragma once

#include "kernel/Plugin.h"

namespace banyanpick {

/// Names the hosts that take requests now. Callers pick one at random, so the
/// order does not matter and all that are named get an equal share.
class HostDirectoryPlugin : public Plugin {
public:
  void initialize(PluginContext &Context) override;
  void start(Time Now, Actions &Out) override;
  void handle(const Event &What, Time Now, Actions &Out) override;

  static std::vector<SettingDeclaration> settings();

private:
  std::vector<Address> readyHosts() const;

  Services *Offered = nullptr;
  const MembershipView *Members = nullptr;
  const InForceView *InForce = nullptr;
  Identity Own;
  Random *Numbers = nullptr;
  Duration TimeToLive{};
  std::size_t Most = 0;
};

} // namespace banyanpick
