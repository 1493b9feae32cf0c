/// \file
/// The plug-in that orders waiting requests among teams.
#pragma once

#include "kernel/Plugin.h"
#include "plugins/fairness/FairQueue.h"
#include "plugins/fairness/UsageGossip.h"

#include <memory>

namespace banyanpick {

/// Provides DispatchQueue: fair queueing among teams by tokens of work, done
/// here and, as far as it is told, on the other entry hosts.
class FairnessPlugin : public Plugin,
                       public DispatchQueue,
                       public RequestObserver {
public:
  // Plugin
  static std::vector<SettingDeclaration> settings();

  void initialize(PluginContext &Context) override;
  void handle(const Event &What, Time Now, Actions &Out) override;
  Time nextWake() const override;
  void checkInvariants(InvariantMonitor &Monitor, Time Now) const override;

  // DispatchQueue
  void push(const Request &Waiting, Time Now) override;
  void remove(const RequestId &Id) override;
  std::vector<RequestId> candidates(std::size_t Most, Time Now) override;
  std::size_t size() const override { return this->Queue->size(); }

  // RequestObserver
  void dispatched(const Request &Sent, const Attempt &Try, Time Now,
                  Actions &Out) override;
  void attemptEnded(const Request &Sent, const Attempt &Try,
                    const AttemptOutcome &Outcome, Time Now,
                    Actions &Out) override;
  void ended(const Request &Asked, const FinalAnswer &Answer, Time Now,
             Actions &Out) override;

private:
  void takeIn(const PeerMessage &Message, const TeamUsage &Usage, Time Now);
  void tellPeers(Time Now, Actions &Out);
  void prune(Time Now);

  const CatalogueView *InForce = nullptr;
  const MembershipView *Members = nullptr;
  const PoisonView *Poison = nullptr;
  std::unique_ptr<FairQueue> Queue;
  std::unique_ptr<UsageGossip> Gossip;
  Time PrunedAt{};
  mutable double LatestVirtualTime = 0; ///< At the last check.
};

} // namespace banyanpick
