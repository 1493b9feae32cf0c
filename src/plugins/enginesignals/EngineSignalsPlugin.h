/// \file
/// The plug-in that follows the signals in engines' answers.
#pragma once

#include "gateway/EngineBackoffs.h"
#include "kernel/GatewayServices.h"
#include "kernel/Plugin.h"

#include <set>

namespace banyanpick {

/// Follows backoff and leaving signals. An engine that refuses a request may
/// ask the host for a backoff. The host then sends nothing to the engine until
/// the backoff ends, and reports it to the other active hosts. Those were not
/// asked themselves, so they may use the engine, but only if no other is left.
/// An engine that announces that it leaves gets no new requests from any host
/// that received the signal or a report of it. This takes effect before the
/// registry shows it, and also while the registry contradicts it.
class EngineSignalsPlugin : public Plugin,
                            public EngineGate,
                            public EngineObserver {
public:
  void initialize(PluginContext &Context) override;
  void handle(const Event &Received, Time Now, Actions &Out) override;

  std::optional<EngineBlocked> blocked(const UpstreamId &Engine,
                                       Time Now) const override;
  bool isDiscouraged(const UpstreamId &Engine, Time Now) const override;

  void engineRemoved(const UpstreamId &Id, Time Now, Actions &Out) override;

  static std::vector<SettingDeclaration> settings();

private:
  void takeSignal(const EngineSignalsReceived &Answer, Time Now, Actions &Out);
  void startBackoff(const UpstreamId &Engine, Duration For, Time Now,
                    Actions &Out);
  void takePeer(const HostId &From, const EngineSignals &Message, Time Now,
                Actions &Out);
  /// Returns whether the engine was not known to leave.
  bool startLeaving(const UpstreamId &Engine, Time Now, Actions &Out);
  /// Sends the current signals to hosts that have become active, because they
  /// did not receive the earlier reports.
  void sendToNewcomers(Time Now, Actions &Out);
  void sendTo(std::span<const HostId> To, const EngineSignals &Message,
              Actions &Out) const;

  EngineDirectory *Directory = nullptr;
  const ActiveHostsView *Active = nullptr;
  const EngineQuota *Quota = nullptr;
  const EvacuationView *Evacuations = nullptr;
  HostId Self;
  EngineBackoffs OwnBackoffs; ///< Backoffs requested of this host.
  /// Backoffs requested of other hosts, from their reports.
  EngineBackoffs PeerBackoffs;
  /// Engines that announced to this host that they leave.
  std::set<UpstreamId> Leaving;
  std::vector<HostId> Hosts; ///< The active hosts.
};

} // namespace banyanpick
