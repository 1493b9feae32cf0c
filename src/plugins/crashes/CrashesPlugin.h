/// \file
/// The plug-in that quarantines contents that crash upstreams.
#pragma once

#include "kernel/GatewayServices.h"
#include "kernel/Plugin.h"
#include "plugins/crashes/CrashTracker.h"
#include "plugins/crashes/DeathCheck.h"
#include "plugins/crashes/ProbeClaims.h"
#include "plugins/crashes/RunningAnswers.h"

#include <span>

namespace banyanpick {

/// Confirms crashes and reports every crash to all peers. A few hosts report
/// all known crashes to each host that starts. Notifies QuarantineObserver.
/// Quarantines are stored, so that they hold on after a restart of all hosts.
///
/// The contents of a request are the request as a whole and each part of its
/// prompt that other requests may share. Where a crash could quarantine a
/// content, the hosts whose requests with it were answered tell their peers.
///
/// Requests with a suspected content wait while answers that are under way, or
/// a probe, decide. No verdict is final: also a proven one is probed, but
/// seldom.
///
/// An engine that lost a connection is asked for a report at once: the end of
/// its registration, which also confirms its death, follows only seconds later,
/// and its content would crash further engines meanwhile. A refused connection
/// shows a death only while other engines are in reach.
class CrashesPlugin : public Plugin,
                      public CrashView,
                      public RelayObserver,
                      public EngineObserver,
                      public MembershipObserver {
public:
  void initialize(PluginContext &Context) override;
  void handle(const Event &Incoming, Time Now, Actions &Out) override;
  Time nextWake() const override;

  ContentDecision decide(const RelayHead &Head, Time Now) override;
  bool mustEnd(const RelayHead &Head) const override;
  void attemptSent(const RelayAttempt &Attempt, Time Now,
                   Actions &Out) override;
  void attemptBegan(const RelayAttempt &Attempt, Time Now,
                    Actions &Out) override;
  void attemptCancelled(const RelayAttempt &Attempt, Time Now,
                        Actions &Out) override;
  void attemptEnded(const RelayAttempt &Attempt, const RelayOutcome &Outcome,
                    Time Now, Actions &Out) override;
  void engineRemoved(const UpstreamId &Id, Time Now, Actions &Out) override;
  void memberChanged(const Member &Changed, Time Now, Actions &Out) override;

  static std::vector<SettingDeclaration> settings();

private:
  /// Suspects the contents of an attempt whose connection was lost.
  void suspect(const RelayAttempt &Attempt, Time Now, Actions &Out);
  void confirm(const UpstreamId &Engine, Time Now, Actions &Out);
  /// Takes a peer's report of a crash.
  void takeNotice(const QuarantineNotice &Notice, const HostId &From, Time Now,
                  Actions &Out);
  /// An answer to the contents that began at \p BeganAt did no harm.
  void clear(std::span<const Fingerprint> Contents, Time BeganAt, Time Now,
             Actions &Out);
  /// Clears the contents of answers that have been arriving for long enough.
  void clearRunningAnswers(Time Now, Actions &Out);
  /// Takes a peer's report of an answer that did no harm.
  void takeHarmless(const HarmlessContent &Cleared, Time Now, Actions &Out);
  /// Releases a content that turned out to be harmless.
  void endQuarantine(Fingerprint Content, Time Now, Actions &Out);
  /// Removes the quarantine of a content from the store if it has ended.
  void removeEnded(Fingerprint Content, Actions &Out);
  /// Tells peers of harmless answers to a content if they need to know.
  void tellHarmless(Fingerprint Content, Time Now, Actions &Out);
  void sendToPeers(const PeerMessageBody &Body, Actions &Out) const;
  /// The engine refused a connection: it has died, or this host's links fail.
  void refused(const UpstreamId &Engine, Time Now, Actions &Out);
  /// Asks engines that refused connections again once links work.
  void verifyRefusals(Time Now, Actions &Out);
  bool isOutOfReach(const UpstreamId &Engine, Time Now) const;
  /// Takes an engine's answer to a request for a report.
  void takeReport(const GatewayEvent &Answer, Time Now, Actions &Out);
  /// Asks the engine for a report to find out whether it has died.
  void askWhetherAlive(const UpstreamId &Engine, Time Now, Actions &Out) const;
  void removeExpired(Time Now, Actions &Out);
  /// Quarantines contents that an earlier process of any host stored, and tells
  /// peers, of which most do not read the store.
  void restore(const QuarantinesRead &Read, Time Now, Actions &Out);
  void restore(const StoredQuarantine &Stored, Time Now, Actions &Out);
  /// Whether this host is one of the few that tell a new incarnation of the
  /// crashes.
  bool informs(const HostId &Newcomer) const;
  /// Tells the host of the stored quarantines and, if this host informs it, of
  /// the known crashes.
  void inform(const HostId &Host, Time Now, Actions &Out);
  /// Informs the host again after the delay, and after longer ones.
  void remindLater(const HostId &Host, Duration Delay, Time Now);
  void sendReminders(Time Now, Actions &Out);
  /// If the content is quarantined, notifies the observers and stores that.
  void noteQuarantine(Fingerprint Content, Time Now, Actions &Out);
  /// Logs a crash with the evidence for and against its content. \p From is the
  /// host that confirmed it.
  void log(const ConfirmedCrash &Found, std::string_view From, Time Now,
           Actions &Out) const;

  Services *Registry = nullptr;
  HostId Own;
  const MembershipView *Members = nullptr;
  const EngineDirectory *Directory = nullptr;
  const EngineGate *Gate = nullptr;
  const EngineQuota *Quota = nullptr;
  EngineReachView *Reach = nullptr;
  /// Engines that refused connections while this host's links seemed to fail,
  /// and when.
  std::map<UpstreamId, Time> Refusals;
  CrashTracker Tracker;
  Duration SuspicionLifetime{};
  Duration RetentionTime{};
  DeathCheck Check;
  RunningAnswers Answers;
  ProbeClaims Probes;
  /// The incarnations that were sent all known crashes.
  std::map<HostId, Incarnation> InformedIncarnations;
  struct Reminder {
    Time At{};
    Duration Delay{}; ///< Since the message before.
  };
  /// Hosts that are informed again. The first messages to a host that has just
  /// started are lost if its connection is not established.
  std::map<HostId, Reminder> Reminders;
  Time NextReminder = Never; ///< No later than the first of Reminders.
  /// Quarantined contents that this host read from the store.
  std::map<Fingerprint, StoredQuarantine> StoredContents;
};

} // namespace banyanpick
