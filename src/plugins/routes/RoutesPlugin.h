/// \file
/// The plug-in that holds the declarations a gateway serves by.
#pragma once

#include "kernel/GatewayServices.h"
#include "kernel/Plugin.h"
#include "plugins/routes/ChunkQueue.h"
#include "plugins/routes/ConfigurationFetch.h"

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
  void handle(const Event &Incoming, Time Now, Actions &Out) override;
  Time nextWake() const override;
  void checkInvariants(InvariantMonitor &Monitor, Time Now) const override;

  const RouteTable *routes() const override { return this->Table.get(); }
  bool isStale(Time Now) const override;
  bool isReady() const override;
  std::uint64_t version() const override;

  static std::vector<SettingDeclaration> settings();

private:
  void activate(const ConfigurationRead &Read, Actions &Out);
  void handlePeerMessage(const PeerMessage &Message, Time Now, Actions &Out);
  void handleHeartbeat(const HostId &From, std::uint64_t InForce, Time Now,
                       Actions &Out);
  void receiveChunk(const HostId &From, const ConfigurationRelayed &Chunk,
                    Time Now, Actions &Out);
  /// Sends pieces to those that wait, as the rate allows.
  void sendChunks(Time Now, Actions &Out);
  /// The document in force, as peers get it.
  const std::string &packed();
  /// Whether there is a newer version than what is here or being decoded.
  bool isNewer(std::uint64_t Version) const;
  /// Asks a peer that heartbeats name as further than this host.
  void requestFromPeer(Time Now, Actions &Out);

  Services *PluginServices = nullptr;
  const MembershipView *Members = nullptr;
  std::unique_ptr<RouteTable> Table;
  ConfigurationFetch Fetch;
  ChunkQueue PendingRequests;
  std::string Packed;              ///< As it came, or as it was packed here,
  std::uint64_t PackedVersion = 0; ///< of this version.
  /// Newer versions, and when each was first heard of.
  std::map<std::uint64_t, Time> NewerVersions;
  std::uint64_t DecodingVersion = 0;   ///< Of the document being decoded.
  std::uint64_t UnreadableVersion = 0; ///< A version that can't be read here.
  std::uint64_t HighestVersion = 0;    ///< For the invariant.
  Random *RandomSource = nullptr;
  Duration CheckInterval{};
  Duration StaleAfter{};
  Time NextCheck{};
};

} // namespace banyanpick
