/// \file
/// The plug-in that holds the configuration in force: routes, keys and limits.
#pragma once

#include "kernel/GatewayServices.h"
#include "kernel/Plugin.h"
#include "plugins/routes/ChunkQueue.h"
#include "plugins/routes/ConfigurationFetch.h"
#include "plugins/routes/VersionTracker.h"

#include <memory>

namespace banyanpick {

/// Takes the newest version from the store or, if the store is unreachable,
/// from peers in chunks. The version never decreases while the process runs. If
/// a newer version has been in force elsewhere for too long, the local one is
/// stale, because it may contain revoked keys.
class RoutesPlugin : public Plugin, public RouteView, public InForceView {
public:
  void initialize(PluginContext &Context) override;
  void start(Time Now, Actions &Out) override;
  void handle(const Event &Incoming, Time Now, Actions &Out) override;
  Time nextWake() const override;
  void checkInvariants(InvariantMonitor &Monitor, Time Now) const override;

  const RouteTable *routes() const override { return this->Table.get(); }
  bool isStale(Time Now) const override;
  bool mayBeOutdated(Time Now) const override;
  ConfigurationFreshness freshness(Time Now) const override;
  bool isReady() const override;
  std::uint64_t version() const override;
  std::vector<VersionInForce> recentVersions(Time Now) const override;

  static std::vector<SettingDeclaration> settings();

private:
  /// Puts a newer configuration in force.
  void activate(const ConfigurationRead &Read, Time Now, Actions &Out);
  void handlePeerMessage(const PeerMessageReceived &Received, Time Now,
                         Actions &Out);
  /// \p ReceivedAt is when the heartbeat arrived, before it waited for the
  /// control thread.
  void handleHeartbeat(const HostId &From, const Heartbeat &Beat,
                       Time ReceivedAt, Time Now, Actions &Out);
  void receiveChunk(const HostId &From, const ConfigurationRelayed &Chunk,
                    Time Now, Actions &Out);
  /// Sends chunks to waiting peers, as the rate allows.
  void sendChunks(Time Now, Actions &Out);
  /// Returns the document in force, packed as it is sent to peers.
  const std::string &packed();
  /// Whether \p Version is newer than the versions in force and being decoded.
  bool isNewer(std::uint64_t Version) const;
  /// Logs once that the oldest newer version has not arrived in time.
  void reportMissing(Time Now, Actions &Out);
  /// Requests a chunk from a peer whose heartbeats report a newer version.
  void requestFromPeer(Time Now, Actions &Out);

  Services *Registry = nullptr;
  const MembershipView *Members = nullptr;
  std::unique_ptr<RouteTable> Table;
  ConfigurationFetch Fetch;
  ChunkQueue PendingRequests;
  std::string Packed; ///< As received from a peer or packed on this host.
  std::uint64_t PackedVersion = 0; ///< The version of the packed document.
  VersionTracker Tracker;
  std::uint64_t DecodingVersion = 0;   ///< The version being decoded.
  std::uint64_t ReportedMissing = 0;   ///< The last version logged as missing.
  std::uint64_t UnreadableVersion = 0; ///< A version that can't be decoded.
  std::uint64_t HighestVersion = 0;    ///< For the invariant.
  Random *RandomSource = nullptr;
  Duration CheckInterval{};
  Duration StaleAfter{};
  Time NextCheck{};
};

} // namespace banyanpick
