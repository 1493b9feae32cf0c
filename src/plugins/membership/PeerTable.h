/// \file
/// The state of the other entry hosts, as known on this host.
#pragma once

#include "kernel/Plugin.h"
#include "plugins/membership/IncarnationState.h"
#include "plugins/membership/MemberDigests.h"

#include <map>
#include <optional>

namespace banyanpick {

/// Timeouts of failure detection.
struct PeerTimeouts {
  Duration SuspectAfter{}; ///< A peer with an unanswered heartbeat is suspect.
  Duration DeadAfter{};    ///< A suspect that does not refute is dead.
  Duration ForgetAfter{};  ///< A dead, unlisted peer is removed.
};

/// An incarnation of a host that has ended.
struct PastIncarnation {
  Incarnation Life;
  bool Left = false; ///< The incarnation had begun a planned stop.
};

/// The internal state of a peer, beside the published Member.
struct PeerRecord {
  IncarnationState MergedState;
  std::vector<PastIncarnation> PastIncarnations; ///< Newest last.
  Time ProbedAt = Never; ///< When the first unanswered heartbeat was sent.
  Time LastProbedAt{};   ///< When the last heartbeat was sent.
  std::uint32_t Unanswered = 0; ///< Heartbeats sent since the peer was heard.
  Duration Late{};              ///< Delay of its heartbeats, as it reports.
  double Refutations = 0;       ///< Recent refutations; decays over time.
  Time RefutedAt{};
  bool SuspectedHere = false; ///< This host itself detected the failure.
  Time SuspectedAt = Never;
  Time UnlistedAt = Never;
  bool KnowsSelf = false;   ///< This incarnation has answered this host.
  std::uint64_t Digest = 0; ///< Of its state, as counted in the sum.
  /// An incarnation that may be newer. It is accepted once it answers a
  /// heartbeat that was sent after this incarnation was first seen.
  /// Incarnations are random numbers, so nothing else distinguishes a message
  /// of a new incarnation from a late message of an old one.
  Incarnation Candidate;
  /// Sequence number of the first probe for Candidate; 0 if not probed yet.
  std::uint64_t CandidateProbe = 0;
};

/// A peer whose published state changed or has to be disseminated.
struct PeerChange {
  std::size_t Index = 0;
  bool Disseminate = false;      ///< Other hosts should receive the change.
  bool StateChanged = false;     ///< The state or the incarnation changed.
  bool BySilence = false;        ///< The peer left heartbeats unanswered.
  bool FalselySuspected = false; ///< This host suspected it, but it is alive.
};

/// The other entry hosts, ordered by name.
class PeerTable {
public:
  PeerTable() = default;
  PeerTable(Identity Self, PeerTimeouts Timeouts)
      : Self(std::move(Self)), Timeouts(Timeouts) {}

  std::span<const Member> members() const { return this->Members; }
  std::optional<std::size_t> position(const HostId &Host) const;
  const Member &member(std::size_t Index) const { return this->Members[Index]; }
  const PeerRecord &record(std::size_t Index) const {
    return this->Records[Index];
  }
  bool hasEnded(const HostId &Host, Incarnation Life) const;
  bool hasLeft(const HostId &Host, Incarnation Life) const;

  /// Applies the host list. Returns whether a host was added or its addresses
  /// or zone changed.
  bool applyHostList(std::span<const HostListing> Listed, Time Now);
  /// Adds a host that was not known, or updates its listing. Returns whether
  /// anything changed.
  bool learn(const HostListing &Listing, Time Now);
  /// Applies a heartbeat of the peer.
  void handleHeartbeat(std::size_t Index, Incarnation Life,
                       const Heartbeat &Beat, Time Now);
  /// Applies a gossip update about the peer.
  /// With \p AcceptUnconfirmed, a reported incarnation replaces one that does
  /// not answer. Otherwise a new incarnation is accepted only after the host
  /// itself has answered with it.
  void applyUpdate(std::size_t Index, const MemberUpdate &Update,
                   bool AcceptUnconfirmed, Time Now);
  /// Records a heartbeat that was sent to the peer and expects an answer.
  void noteProbe(std::size_t Index, std::uint64_t Sequence, Time Now);
  /// Records all peers in state alive as heard at \p HeardAt, because a sample
  /// of the peers has answered.
  void noteSample(Time HeardAt);
  /// Marks silent peers as suspect or dead, and removes expired ones.
  /// \p TimeoutMultiplier lengthens the suspicion timeout.
  void detectFailures(double TimeoutMultiplier, Time Now);
  /// Restarts the running timeouts after this process was paused, because
  /// silence before \p Now says nothing about the other hosts.
  void restartTimeouts(Time Now);

  /// Returns the changes since the last call, ordered by name.
  std::vector<PeerChange> takeChanges();
  /// Marks the pending changes as not to be disseminated.
  void withholdChanges();

  /// Returns the state of the peer as it is sent to others.
  MemberUpdate updateOf(std::size_t Index) const;
  /// The digests of the states of all peers.
  const MemberDigestSum &digestSum() const { return this->Digests; }

private:
  std::size_t insert(const HostListing &Listing, Time Now);
  void changeIncarnation(std::size_t Index, Incarnation Life);
  void joinState(std::size_t Index, const IncarnationState &Update, Time Now);
  void updateMember(std::size_t Index);
  void updateDigest(std::size_t Index);
  PeerChange &changeOf(const HostId &Host);
  void removeExpired(Time Now);
  Duration deadAfter() const;
  Duration suspectAfter(const PeerRecord &Record, double TimeoutMultiplier,
                        Time Now) const;
  void noteRefuted(std::size_t Index, Time Now);

  Identity Self;
  PeerTimeouts Timeouts;
  std::vector<Member> Members;
  std::vector<PeerRecord> Records; ///< In the same order as Members.
  std::map<HostId, PeerChange> Changes;
  MemberDigestSum Digests;
};

} // namespace banyanpick
