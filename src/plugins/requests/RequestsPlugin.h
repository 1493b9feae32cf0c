/// \file
/// The life cycle of requests: arrival, claim, queue, tries, final answer.
#pragma once

#include "kernel/Plugin.h"
#include "plugins/requests/AttemptEndHandler.h"
#include "plugins/requests/RequestIntake.h"

#include <memory>

namespace banyanpick {

class RequestsPlugin final : public Plugin,
                             public RequestTable,
                             public ClaimObserver,
                             public GroupObserver,
                             public FleetObserver {
public:
  // Plugin
  void initialize(PluginContext &Context) override;
  void handle(const Event &What, Time Now, Actions &Out) override;
  Time nextWake() const override;
  void checkInvariants(InvariantMonitor &Monitor, Time Now) const override;

  // RequestTable
  std::size_t running() const override { return this->Table.size(); }
  std::vector<RequestId> ids() const override { return this->Table.ids(); }
  const Request *find(const RequestId &Id) const override;
  const Attempt *attemptOf(const RequestId &Id) const override;
  const Request *owner(const AttemptId &Id) const override;
  void handOver(const RequestId &Id, const Address &To, Time Now,
                Actions &Out) override;
  void adopt(const StreamHandover &Stream, Time Now, Actions &Out) override;
  std::string resumeToken(const RequestId &Id) const override;
  std::uint64_t nextIndex(const RequestId &Id) const override;

  // ClaimObserver
  void claimDecided(const RequestId &Id, const ClaimVerdict &Verdict, Time Now,
                    Actions &Out) override;

  // GroupObserver
  void groupDecided(const RequestId &Id, std::span<const HoldId> Holds,
                    Time Now, Actions &Out) override;

  // FleetObserver
  void upstreamChanged(const Upstream &Changed, Time Now,
                       Actions &Out) override;

private:
  /// A life of an upstream that is taken for dead.
  struct DeadIncarnation {
    UpstreamId Upstream;
    Incarnation Life;
  };

  void endAttemptsOnDead(Time Now, Actions &Out);
  void endExpired(Time Now, Actions &Out);

  RunningRequests Table;
  std::vector<DeadIncarnation> DeadUpstreams; ///< Since the last event.
  std::unique_ptr<RequestServices> Dependencies;
  std::unique_ptr<RequestFinisher> Finisher;
  std::unique_ptr<Dispatcher> RequestDispatcher;
  std::unique_ptr<AttemptEndHandler> AttemptEnds;
  std::unique_ptr<RequestIntake> Intake;
};

} // namespace banyanpick
