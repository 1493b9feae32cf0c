/// \file
/// The plug-in that heeds what engines say of themselves in their answers.
#pragma once

#include "gateway/RestBook.h"
#include "kernel/GatewayServices.h"
#include "kernel/Plugin.h"

namespace banyanpick {

/// An engine that turns a host away may ask that host for rest. The host then
/// sends it nothing until the rest is over, and tells the other hosts that
/// decide: they are free to go there, as none of them was asked, and do so
/// where nothing else is left.
class EngineSignalsPlugin : public Plugin, public EngineGate {
public:
  void initialize(PluginContext &Context) override;
  void handle(const Event &What, Time Now, Actions &Out) override;

  std::optional<EngineClosed> closed(const UpstreamId &Engine,
                                     Time Now) const override;
  bool isDiscouraged(const UpstreamId &Engine, Time Now) const override;

  static std::vector<SettingDeclaration> settings();

private:
  void hear(const EngineHeard &Is, Time Now, Actions &Out);
  void rest(const UpstreamId &Engine, Duration For, Time Now, Actions &Out);
  void takePeer(const HostId &From, const EngineSignals &Told, Time Now,
                Actions &Out);
  void tell(const EngineSignals &What, Actions &Out) const;

  const EngineDirectory *Directory = nullptr;
  const ActiveHostsView *Active = nullptr;
  const EngineRoom *Room = nullptr;
  HostId Self;
  RestBook Own;   ///< Asked of this host.
  RestBook Peers; ///< Asked of others, as they told.
};

} // namespace banyanpick
