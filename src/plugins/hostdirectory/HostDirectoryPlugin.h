/// \file
/// The plug-in that tells a gateway's callers where to connect.
#pragma once

#include "kernel/Plugin.h"

namespace banyanpick {

/// Names the hosts that take requests now. Callers pick one of those named at
/// random, so a host with less processor is named in fewer answers, and the
/// requests of all hosts cost each the same share of its processor.
class HostDirectoryPlugin : public Plugin {
public:
  void initialize(PluginContext &Context) override;
  void start(Time Now, Actions &Out) override;
  void handle(const Event &Incoming, Time Now, Actions &Out) override;

  static std::vector<SettingDeclaration> settings();

private:
  struct CallerAddress {
    Address Callers;
    ProcessorShare Processor;
  };

  /// The hosts of one answer.
  std::vector<Address> sampleHosts();
  std::vector<CallerAddress> activeHosts() const;

  Services *Offered = nullptr;
  const MembershipView *Members = nullptr;
  const InForceView *InForce = nullptr;
  const ActiveHostsView *ActiveHosts = nullptr;
  Identity Self;
  Random *Rng = nullptr;
  Duration TimeToLive{};
  std::size_t MaxHosts = 0;
};

} // namespace banyanpick
