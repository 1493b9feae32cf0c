/// \file
/// Which contents were running when upstreams died, and how far that speaks
/// against each of them.
///
/// The first death makes every content that ran there a suspect. Of a later
/// death the suspects that ran there are held to be the cause, as one that
/// crashes each upstream was among them: one alone is condemned at once;
/// several share the blame and are kept apart from then on, so that the next
/// death tells them apart. After a death with many running, few can be kept
/// apart without starving the rest; these go on spread over the fleet, as the
/// next death leaves only few. A death near that of another upstream which
/// did not run the content may have a common cause (a rack, a switch) and
/// counts as shared. Hosts tell each other where their suspects run, as they
/// may choose the same upstream; those that shared the blame wait for a slot
/// of their own before they are tried again.
#pragma once

#include "kernel/Request.h"

#include <deque>
#include <map>
#include <span>
#include <vector>

namespace banyanpick {

struct SuspectPolicy {
  Duration Retention = seconds(600); ///< How long a suspicion is kept.
  /// With at most this many contents running at a first death, each is kept
  /// apart at its next try.
  std::uint64_t IsolateUpTo = 4;
  /// Deaths of upstreams nearer than this may have a common cause.
  Duration CommonCause = seconds(2);
};

/// An upstream's death spoke against a content.
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

  /// A try began.
  void attemptStarted(const Request &Req, const Attempt &SentAttempt);
  /// A try ended, however it did.
  void attemptFinished(const AttemptId &Id);

  /// An upstream died while this try ran on it.
  std::vector<Suspected> attemptBroken(const Attempt &SentAttempt, Time Now);
  /// An upstream is known to be dead.
  std::vector<Suspected> upstreamDied(const UpstreamId &Upstream,
                                      Incarnation Life, Time Now);

  /// A peer saw an upstream die with the content running.
  void addSuspect(Fingerprint Content, Time Now);
  /// A peer runs the suspect on this upstream now.
  void setPeerRun(Fingerprint Content, const UpstreamId &Upstream, Time Now);
  /// A peer does not run it any more. It still counts for a moment, as the
  /// peer may have seen the upstream's death before this host does.
  void endPeerRun(Fingerprint Content, Time Now);
  /// The content ran to its end, or was judged. True when it was a suspect.
  bool clear(Fingerprint Content);

  bool isSuspect(Fingerprint Content, Time Now) const;
  /// Whether its next try must be kept apart.
  bool isIsolated(Fingerprint Content, Time Now) const;
  /// How long its next try should wait, so that suspects that can't be told
  /// apart run one after another on all hosts.
  Duration spacing(Fingerprint Content, Time Now) const;

  void prune(Time Now);
  std::size_t suspects() const { return this->Suspicions.size(); }

private:
  struct RunningAttempt {
    Fingerprint Content;
    TeamId Team;
    std::vector<UpstreamId> Upstreams; ///< More than one for a group.
    bool IsCounted = false;            ///< Its upstream's death was noted.
  };
  struct Suspicion {
    std::uint32_t Deaths = 0;
    double Evidence = 0; ///< Condemned at 1.
    bool IsIsolated = false;
    Time Until{};
  };
  /// A suspect on a peer.
  struct PeerRun {
    UpstreamId Upstream;
    Time Until{};
  };
  struct Death {
    UpstreamId Upstream;
    Incarnation Life;
    Time At{};
    std::vector<Fingerprint> Contents;
  };

  std::vector<Suspected> recordDeath(const UpstreamId &Upstream,
                                     Incarnation Life, Time Now);
  std::map<Fingerprint, TeamId> takeVictims(const UpstreamId &Upstream);
  void addEvidence(Suspicion &Entry, std::size_t Suspects,
                   bool MayBeCommonCause) const;
  bool mayBeCommonCause(Fingerprint Content, Time Now) const;
  std::size_t countPeerSuspects(const UpstreamId &Upstream,
                                const std::map<Fingerprint, TeamId> &Victims,
                                Time Now) const;
  const Suspicion *find(Fingerprint Content, Time Now) const;

  SuspectPolicy Policy;
  std::map<AttemptId, RunningAttempt> Running;
  std::map<Fingerprint, Suspicion> Suspicions;
  std::map<Fingerprint, PeerRun> PeerRuns;
  std::deque<Death> Deaths; ///< Of the last while, oldest first.
};

} // namespace banyanpick
