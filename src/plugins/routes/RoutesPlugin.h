/// \file
/// The plug-in that holds the declarations a gateway serves by.
#pragma once

#include "kernel/GatewayServices.h"
#include "kernel/Plugin.h"

#include <memory>

namespace banyanpick {

/// Takes the newest version from the store or, where that is out of reach,
/// from peers. A version never goes back in one life of the process.
class RoutesPlugin : public Plugin, public RouteView, public InForceView {
public:
  void initialize(PluginContext &Context) override;
  void start(Time Now, Actions &Out) override;
  void handle(const Event &What, Time Now, Actions &Out) override;
  Time nextWake() const override { return this->NextLook; }
  void checkInvariants(InvariantMonitor &Monitor, Time Now) const override;

  const RouteTable *routes() const override { return this->Table.get(); }
  bool isReady() const override;
  std::uint64_t version() const override;

  static std::vector<SettingDeclaration> settings();

private:
  void take(const ConfigurationRead &Read, Actions &Out);
  void takePeerMessage(const PeerMessage &Message, Actions &Out);
  /// Asks a peer that heartbeats name as further than this host.
  void look(Time Now, Actions &Out);

  Services *Offered = nullptr;
  const MembershipView *Members = nullptr;
  std::unique_ptr<RouteTable> Table;
  std::uint64_t DecodingVersion = 0; ///< Of the document being decoded.
  std::uint64_t HighestVersion = 0;  ///< For the invariant.
  Duration LookInterval{};
  Time NextLook{};
};

} // namespace banyanpick
