/// \file
/// The plug-in that handles requests from arrival through claim, queue and
/// attempts to the final answer.
#pragma once

#include "kernel/Plugin.h"
#include "plugins/requests/AttemptEndHandler.h"
#include "plugins/requests/RequestIntake.h"

#include <memory>

namespace banyanpick {

/// Provides the table of running requests and connects the parts that handle
/// their events.
class RequestsPlugin final : public Plugin,
                             public RequestTable,
                             public ClaimObserver,
                             public GroupObserver,
                             public FleetObserver {
public:
  // Plugin
  void initialize(PluginContext &Context) override;
  void handle(const Event &Incoming, Time Now, Actions &Out) override;
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
  /// An incarnation of an upstream that is considered dead.
  struct DeadIncarnation {
    UpstreamId Upstream;
    Incarnation Life;
  };

  void endAttemptsOnDead(Time Now, Actions &Out);
  void endExpired(Time Now, Actions &Out);

  RunningRequests Table;
  std::vector<DeadIncarnation> DeadUpstreams; ///< Found since the last event.
  std::unique_ptr<RequestServices> Dependencies;
  std::unique_ptr<RequestFinisher> Finisher;
  std::unique_ptr<Dispatcher> RequestDispatcher;
  std::unique_ptr<AttemptEndHandler> AttemptEnds;
  std::unique_ptr<RequestIntake> Intake;
};

} // namespace banyanpick
