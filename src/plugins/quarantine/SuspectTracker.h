/// \file
/// Tracks which contents were running when upstreams died, and the evidence
/// against each of them.
///
/// The first death of an upstream makes every content that ran there a suspect.
/// For a later death, the suspects that ran there are the possible causes,
/// because content that crashes every upstream was among them. A single suspect
/// is the cause and is quarantined at once. Several suspects share the evidence
/// and are isolated from each other, so that the next death distinguishes them.
///
/// If many contents ran at the first death, they cannot all be isolated without
/// starving other work. They continue to run spread over the fleet, because the
/// next death leaves only few suspects. A death close to the death of another
/// upstream that did not run the content may have a common cause (a rack, a
/// switch) and counts as shared evidence. Hosts send each other the upstreams
/// of their suspects, because they may choose the same upstream. Suspects with
/// shared evidence wait for their own time slot before their next attempt.
#pragma once

#include "kernel/Request.h"

#include <deque>
#include <map>
#include <span>
#include <vector>

namespace banyanpick {

struct SuspectPolicy {
  Duration Retention = seconds(600); ///< How long a suspicion is kept.
  /// If at most this many contents ran at a first death, each of them is
  /// isolated in its next attempt.
  std::uint64_t IsolateUpTo = 4;
  /// Deaths of upstreams within this time may have a common cause.
  Duration CommonCause = seconds(2);
};

/// A content that ran on an upstream when the upstream died.
struct Suspected {
  Fingerprint Content;
  TeamId Team;
  std::uint32_t Deaths = 0;
  bool IsIsolated = false;
  bool IsCause = false; ///< To be quarantined.
};

class SuspectTracker {
public:
  explicit SuspectTracker(const SuspectPolicy &Policy) : Policy(Policy) {}

  /// Called when an attempt starts.
  void attemptStarted(const Request &Req, const Attempt &SentAttempt);
  /// Called when an attempt has ended, with any outcome.
  void attemptFinished(const AttemptId &Id);

  /// Called when an upstream died during this attempt. Returns the contents
  /// that ran there.
  std::vector<Suspected> attemptBroken(const Attempt &SentAttempt, Time Now);
  /// Called when an upstream is known to be dead. Returns the contents that ran
  /// there, or nothing if the death is already recorded.
  std::vector<Suspected> upstreamDied(const UpstreamId &Upstream,
                                      Incarnation Life, Time Now);

  /// Called when a peer reports that an upstream died while it ran the content.
  void addSuspect(Fingerprint Content, Time Now);
  /// Called when a peer starts to run the suspect on this upstream.
  void setPeerRun(Fingerprint Content, const UpstreamId &Upstream, Time Now);
  /// Called when a peer no longer runs the suspect. The run still counts for
  /// the time SuspectPolicy::CommonCause, because the peer may have detected
  /// the death of the upstream before this host does.
  void endPeerRun(Fingerprint Content, Time Now);
  /// Called when the content completed, was quarantined or was released.
  /// Returns whether it was a suspect.
  bool clear(Fingerprint Content);

  bool isSuspect(Fingerprint Content, Time Now) const;
  /// Returns whether the next attempt of the content must be isolated.
  bool isIsolated(Fingerprint Content, Time Now) const;
  /// Returns the delay before the next attempt, so that suspects with shared
  /// evidence run one after another on all hosts.
  Duration spacing(Fingerprint Content, Time Now) const;

  void prune(Time Now);
  std::size_t suspects() const { return this->Suspicions.size(); }

private:
  struct RunningAttempt {
    Fingerprint Content;
    TeamId Team;
    std::vector<UpstreamId> Upstreams; ///< More than one for a group.
    bool IsCounted = false; ///< The death of an upstream is recorded.
  };
  struct Suspicion {
    std::uint32_t Deaths = 0;
    double Evidence = 0; ///< The content is quarantined at 1.
    bool IsIsolated = false;
    Time Until{};
  };
  /// A suspect that runs on a peer.
  struct PeerRun {
    UpstreamId Upstream;
    Time Until{};
  };
  struct Death {
    UpstreamId Upstream;
    Incarnation Life;
    Time DiedAt{};
    std::vector<Fingerprint> Contents;
  };

  std::vector<Suspected> recordDeath(const UpstreamId &Upstream,
                                     Incarnation Life, Time Now);
  std::map<Fingerprint, TeamId>
  takeAffectedContents(const UpstreamId &Upstream);
  void addEvidence(Suspicion &Entry, std::size_t Suspects,
                   bool MayBeCommonCause) const;
  bool mayBeCommonCause(Fingerprint Content, Time Now) const;
  std::size_t countPeerSuspects(const UpstreamId &Upstream,
                                const std::map<Fingerprint, TeamId> &Affected,
                                Time Now) const;
  const Suspicion *find(Fingerprint Content, Time Now) const;

  SuspectPolicy Policy;
  std::map<AttemptId, RunningAttempt> Running;
  std::map<Fingerprint, Suspicion> Suspicions;
  std::map<Fingerprint, PeerRun> PeerRuns;
  std::deque<Death> Deaths; ///< Within Retention, oldest first.
};

} // namespace banyanpick
