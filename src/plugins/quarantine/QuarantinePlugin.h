/// \file
/// The plug-in that quarantines content that crashes upstreams.
#pragma once

#include "kernel/Plugin.h"
#include "plugins/quarantine/QuarantineControl.h"
#include "plugins/quarantine/QuarantineList.h"
#include "plugins/quarantine/SuspectTracker.h"

#include <memory>
#include <set>

namespace banyanpick {

/// Provides QuarantineView and QuarantineControl, and refuses quarantined
/// content. Sends a suspicion to the peers that serve the team. Sends a
/// quarantine to all peers at once and appends it to the log for hosts that
/// join later.
class QuarantinePlugin : public Plugin,
                         public QuarantineView,
                         public QuarantineControl,
                         public AdmissionGate,
                         public RequestObserver,
                         public FleetObserver,
                         public MembershipObserver,
                         public LogObserver,
                         public StatusContributor {
public:
  // Plugin
  static std::vector<SettingDeclaration> settings();

  void initialize(PluginContext &Context) override;
  void handle(const Event &Incoming, Time Now, Actions &Out) override;

  // QuarantineView
  bool isSuspect(const Request &Req, Time Now) const override;
  bool isQuarantined(Fingerprint Content, Time Now) const override;
  Duration spacing(const Request &Req, Time Now) const override;

  // QuarantineControl
  void release(Fingerprint Content, Time Now, Actions &Out) override;

  // AdmissionGate
  std::optional<NotRun> check(const Request &Req, Time Now) override;
  std::optional<NotRun> reconsider(const Request &Req, Time Now) override;

  // RequestObserver
  void dispatched(const Request &Req, const Attempt &SentAttempt, Time Now,
                  Actions &Out) override;
  void attemptEnded(const Request &Req, const Attempt &SentAttempt,
                    const AttemptOutcome &Outcome, Time Now,
                    Actions &Out) override;

  // FleetObserver, MembershipObserver
  void upstreamChanged(const Upstream &Changed, Time Now,
                       Actions &Out) override;
  void memberChanged(const Member &Changed, Time Now, Actions &Out) override;

  // LogObserver
  void recordRead(const StoredRecord &Stored, Time Now, Actions &Out) override;
  void appendSettled(const RecordId &Id, bool IsAppended, Time Now,
                     Actions &Out) override;

  // StatusContributor
  void contribute(StatusReport &Report, Time Now) const override;

private:
  void handleSuspects(std::span<const Suspected> NewSuspects, Time Now,
                      Actions &Out);
  void quarantine(const Suspected &Suspect, Time Now, Actions &Out);
  void handleNotice(const QuarantineNotice &Notice, Time Now, Actions &Out);
  void clear(Fingerprint Content, Actions &Out);
  void sendSuspectLocation(const Request &Req, const UpstreamId &Upstream,
                           Incarnation Life, Time Now, Actions &Out) const;
  void notifyTeamHosts(const TeamId &Team, const QuarantineNotice &Notice,
                       Actions &Out) const;
  void publishDecision(const QuarantinedContent &Decided, Time Now,
                       Actions &Out);
  void record(const QuarantinedContent &Decided, Time Now, Actions &Out);
  void prune(Time Now);

  const CatalogueView *CatalogueInForce = nullptr;
  const MembershipView *Members = nullptr;
  LogWriter *Log = nullptr;
  Random *Rng = nullptr;
  std::unique_ptr<SuspectTracker> Suspects;
  std::unique_ptr<QuarantineList> Quarantined;
  std::map<RecordId, QuarantinedContent> Appends; ///< Not settled yet.
  /// Peers that received all quarantines, with their incarnations.
  std::map<HostId, Incarnation> NotifiedPeers;
  /// Attempts of suspects that peers were notified of.
  std::set<AttemptId> AnnouncedAttempts;
  Time PrunedAt{};
};

} // namespace banyanpick
