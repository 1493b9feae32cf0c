/// \file
/// The plug-in that keeps content that crashes upstreams away from them.
#pragma once

#include "kernel/Plugin.h"
#include "plugins/quarantine/QuarantineControl.h"
#include "plugins/quarantine/QuarantineList.h"
#include "plugins/quarantine/SuspectBook.h"

#include <memory>
#include <set>

namespace banyanpick {

/// Provides PoisonView and QuarantineControl, and refuses quarantined content.
/// A suspicion is told to the peers that serve the team, a quarantine to all
/// peers at once and, through the log, to hosts to come.
class QuarantinePlugin : public Plugin,
                         public PoisonView,
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
  void handle(const Event &What, Time Now, Actions &Out) override;

  // PoisonView
  bool isSuspect(const Request &Asked, Time Now) const override;
  bool isQuarantined(Fingerprint Content, Time Now) const override;
  Duration spacing(const Request &Asked, Time Now) const override;

  // QuarantineControl
  void release(Fingerprint Content, Time Now, Actions &Out) override;

  // AdmissionGate
  std::optional<NotRun> check(const Request &Asked, Time Now) override;
  std::optional<NotRun> reconsider(const Request &Asked, Time Now) override;

  // RequestObserver
  void dispatched(const Request &Asked, const Attempt &Try, Time Now,
                  Actions &Out) override;
  void attemptEnded(const Request &Asked, const Attempt &Try,
                    const AttemptOutcome &Outcome, Time Now,
                    Actions &Out) override;

  // FleetObserver, MembershipObserver
  void upstreamChanged(const Upstream &Changed, Time Now,
                       Actions &Out) override;
  void memberChanged(const Member &Changed, Time Now, Actions &Out) override;

  // LogObserver
  void recordRead(const StoredRecord &Read, Time Now, Actions &Out) override;
  void appendSettled(const RecordId &Id, bool Taken, Time Now,
                     Actions &Out) override;

  // StatusContributor
  void contribute(StatusReport &Report, Time Now) const override;

private:
  void judge(std::span<const Suspected> Accused, Time Now, Actions &Out);
  void quarantine(const Suspected &Condemned, Time Now, Actions &Out);
  void learn(const QuarantineNotice &Notice, Time Now, Actions &Out);
  void clear(Fingerprint Content, Actions &Out);
  void tellWhere(const Request &Asked, const UpstreamId &Upstream,
                 Incarnation Life, Time Now, Actions &Out) const;
  void tellTeamHosts(const TeamId &Team, const QuarantineNotice &Notice,
                     Actions &Out) const;
  void tellEverybody(const QuarantinedContent &Decided, Time Now, Actions &Out);
  void record(const QuarantinedContent &Decided, Time Now, Actions &Out);
  void prune(Time Now);

  const CatalogueView *InForce = nullptr;
  const MembershipView *Members = nullptr;
  LogWriter *Log = nullptr;
  Random *Numbers = nullptr;
  std::unique_ptr<SuspectBook> Suspects;
  std::unique_ptr<QuarantineList> Quarantined;
  std::map<RecordId, QuarantinedContent> Appends; ///< Not settled yet.
  std::map<HostId, Incarnation> Briefed;          ///< Peers told of everything.
  std::set<AttemptId> Announced; ///< Runs of suspects that peers know of.
  Time PrunedAt{};
};

} // namespace banyanpick
