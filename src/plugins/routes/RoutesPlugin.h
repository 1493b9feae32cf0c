/// \file
/// The plug-in that holds the declarations a gateway serves by.
#pragma once

#include "kernel/GatewayServices.h"
#include "kernel/Plugin.h"
#include "plugins/routes/ConfigurationFetch.h"
#include "plugins/routes/PieceQueue.h"

#include <map>
#include <memory>

namespace banyanpick {

/// Takes the newest version from the store or, where that is out of reach,
/// from peers, piece by piece. A version never goes back in one life of the
/// process. While a newer one is known to be in force elsewhere for too long,
/// the one here is stale: a key may have been taken away.
class RoutesPlugin : public Plugin, public RouteView, public InForceView {
public:
  void initialize(PluginContext &Context) override;
  void start(Time Now, Actions &Out) override;
  void handle(const Event &What, Time Now, Actions &Out) override;
  Time nextWake() const override;
  void checkInvariants(InvariantMonitor &Monitor, Time Now) const override;

  const RouteTable *routes() const override { return this->Table.get(); }
  bool isStale(Time Now) const override;
  bool isReady() const override;
  std::uint64_t version() const override;

  static std::vector<SettingDeclaration> settings();

private:
  void take(const ConfigurationRead &Read, Actions &Out);
  void takePeerMessage(const PeerMessage &Message, Time Now, Actions &Out);
  void takeHeartbeat(const HostId &From, std::uint64_t InForce, Time Now,
                     Actions &Out);
  void takePiece(const HostId &From, const ConfigurationRelayed &Chunk,
                 Time Now, Actions &Out);
  /// Sends pieces to those that wait, as the rate allows.
  void sendPieces(Time Now, Actions &Out);
  /// The document in force, as peers get it.
  const std::string &packed();
  /// Whether there is a newer version than what is here or being decoded.
  bool isNewer(std::uint64_t Version) const;
  /// Asks a peer that heartbeats name as further than this host.
  void look(Time Now, Actions &Out);

  Services *Offered = nullptr;
  const MembershipView *Members = nullptr;
  std::unique_ptr<RouteTable> Table;
  ConfigurationFetch Fetch;
  PieceQueue Wanted;
  std::string Packed;              ///< As it came, or as it was packed here,
  std::uint64_t PackedVersion = 0; ///< of this version.
  /// Newer versions, and when each was first heard of.
  std::map<std::uint64_t, Time> Heard;
  std::uint64_t DecodingVersion = 0; ///< Of the document being decoded.
  std::uint64_t Unreadable = 0;      ///< A version that can't be read here.
  std::uint64_t HighestVersion = 0;  ///< For the invariant.
  Random *Numbers = nullptr;
  Duration LookInterval{};
  Duration StaleAfter{};
  Time NextLook{};
};

} // namespace banyanpick
