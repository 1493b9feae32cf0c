/// \file
/// The plug-in that heeds what engines say of themselves in their answers.
#pragma once

#include "gateway/EngineBackoffs.h"
#include "kernel/GatewayServices.h"
#include "kernel/Plugin.h"

#include <set>

namespace banyanpick {

/// An engine that turns a host away may ask that host for rest. The host then
/// sends it nothing until the rest is over, and tells the other hosts that
/// decide: they are free to go there, as none of them was asked, and do so
/// where nothing else is left. An engine that says that it leaves gets nothing
/// new from any host that heard or was told, sooner than the registry could say
/// so, and also while it says otherwise.
class EngineSignalsPlugin : public Plugin,
                            public EngineGate,
                            public EngineObserver {
public:
  void initialize(PluginContext &Context) override;
  void handle(const Event &What, Time Now, Actions &Out) override;

  std::optional<EngineBlocked> blocked(const UpstreamId &Engine,
                                       Time Now) const override;
  bool isDiscouraged(const UpstreamId &Engine, Time Now) const override;

  void engineRemoved(const UpstreamId &Id, Time Now, Actions &Out) override;

  static std::vector<SettingDeclaration> settings();

private:
  void hear(const EngineSignalsReceived &Is, Time Now, Actions &Out);
  void rest(const UpstreamId &Engine, Duration For, Time Now, Actions &Out);
  void takePeer(const HostId &From, const EngineSignals &Told, Time Now,
                Actions &Out);
  /// Whether that is news here.
  bool leave(const UpstreamId &Engine, Time Now, Actions &Out);
  /// Tells hosts that have become active what they could not hear before.
  void greetNewcomers(Time Now, Actions &Out);
  void tell(std::span<const HostId> To, const EngineSignals &What,
            Actions &Out) const;

  EngineDirectory *Directory = nullptr;
  const ActiveHostsView *Active = nullptr;
  const EngineQuota *Room = nullptr;
  HostId Self;
  EngineBackoffs Own;           ///< Asked of this host.
  EngineBackoffs Peers;         ///< Asked of others, as they told.
  std::set<UpstreamId> Leaving; ///< Engines that said so to this host.
  std::vector<HostId> Hosts;    ///< That are active.
};

} // namespace banyanpick
