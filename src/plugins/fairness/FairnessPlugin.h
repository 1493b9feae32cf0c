/// \file
/// The plug-in that orders waiting requests among teams.
#pragma once

#include "kernel/Plugin.h"
#include "plugins/fairness/RequestQueues.h"
#include "plugins/fairness/UsageGossip.h"

#include <memory>

namespace banyanpick {

/// Provides DispatchQueue: fair queueing among teams by tokens of work. Counts
/// the work of this host and the work that other entry hosts report.
class FairnessPlugin : public Plugin,
                       public DispatchQueue,
                       public RequestObserver {
public:
  // Plugin
  static std::vector<SettingDeclaration> settings();

  void initialize(PluginContext &Context) override;
  void handle(const Event &Incoming, Time Now, Actions &Out) override;
  Time nextWake() const override;
  void checkInvariants(InvariantMonitor &Monitor, Time Now) const override;

  // DispatchQueue
  void push(const Request &Req, Time Now) override;
  void remove(const RequestId &Id) override;
  std::vector<RequestId> candidates(std::size_t MaxCount, Time Now) override;
  std::size_t size() const override { return this->Queues->size(); }

  // RequestObserver
  void dispatched(const Request &Req, const Attempt &SentAttempt, Time Now,
                  Actions &Out) override;
  void attemptEnded(const Request &Req, const Attempt &SentAttempt,
                    const AttemptOutcome &Outcome, Time Now,
                    Actions &Out) override;
  void ended(const Request &Req, const FinalAnswer &Answer, Time Now,
             Actions &Out) override;

private:
  void handleUsage(const PeerMessage &Message, const TeamUsage &Usage,
                   Time Now);
  void reportToPeers(Time Now, Actions &Out);
  void prune(Time Now);

  const CatalogueView *CatalogueInForce = nullptr;
  const MembershipView *Members = nullptr;
  const QuarantineView *Quarantine = nullptr;
  std::unique_ptr<RequestQueues> Queues;
  std::unique_ptr<UsageGossip> Gossip;
  Time PrunedAt{};
  mutable double LatestVirtualTime = 0; ///< At the last invariant check.
};

} // namespace banyanpick
