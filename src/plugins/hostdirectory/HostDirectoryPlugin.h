/// \file
/// The plug-in that answers which hosts the callers of a gateway connect to.
#pragma once

#include "kernel/Plugin.h"

namespace banyanpick {

/// Answers with the hosts that accept requests now. Callers pick a random host
/// of an answer. A host with less processor is therefore listed in fewer
/// answers, so that requests use the same share of the processor on all hosts.
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

  /// Returns the hosts for one answer.
  std::vector<Address> sampleHosts();
  std::vector<CallerAddress> activeHosts() const;

  Services *Registry = nullptr;
  const MembershipView *Members = nullptr;
  const InForceView *InForce = nullptr;
  const ActiveHostsView *ActiveHosts = nullptr;
  Identity Self;
  Random *Rng = nullptr;
  Duration TimeToLive{};
  std::size_t MaxHosts = 0;
};

} // namespace banyanpick
