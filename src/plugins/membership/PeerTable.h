/// \file
/// What is known of each other entry host.
#pragma once

#include "kernel/Plugin.h"
#include "plugins/membership/IncarnationState.h"

#include <map>
#include <optional>

namespace banyanpick {

/// When silence is taken for more than silence.
struct PeerTimeouts {
  Duration SuspectAfter{}; ///< A heartbeat unanswered for so long.
  Duration DeadAfter{};    ///< A suspicion not refuted for so long.
  Duration ForgetAfter{};  ///< Dead and out of the host list for so long.
};

/// A life of a host that is over.
struct PastIncarnation {
  Incarnation Life;
  bool Left = false; ///< It had begun a planned stop.
};

/// What is kept of a peer beside what others see of it.
struct PeerRecord {
  IncarnationState MergedState;
  std::vector<PastIncarnation> PastIncarnations; ///< The newest last.
  Time ProbedAt = Never;        ///< The first heartbeat not answered,
  Time LastProbedAt{};          ///< and the last one sent.
  std::uint32_t Unanswered = 0; ///< Heartbeats since it was last heard.
  Duration Late{};              ///< It runs so late, as it says.
  double Refutations = 0;       ///< Of late; fades.
  Time RefutedAt{};
  bool SuspectedHere = false; ///< By this host's own finding.
  Time SuspectedAt = Never;
  Time UnlistedAt = Never;
  /// A life that may be the newer one; it is taken once it answers a heartbeat
  /// that was sent after it was first heard of. Lives are random numbers, so
  /// nothing else tells a new life's message from an old one's late message.
  Incarnation Candidate;
  std::uint64_t CandidateProbe = 0; ///< 0: not asked yet.
};

/// One peer of which something visible or newsworthy changed.
struct PeerChange {
  std::size_t Index = 0;
  bool Disseminate = false;      ///< Others should hear of it.
  bool StateChanged = false;     ///< Its state or life is another.
  bool BySilence = false;        ///< As it left heartbeats unanswered.
  bool FalselySuspected = false; ///< This host doubted it, and it lives.
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

  /// Takes the host list in; true when who is there or where has changed.
  bool applyHostList(std::span<const HostListing> Listed, Time Now);
  /// Takes one host in that is not known yet, or is elsewhere now; true when
  /// that changed anything.
  bool learn(const HostListing &Listing, Time Now);
  /// Takes a heartbeat of the peer in.
  void handleHeartbeat(std::size_t Index, Incarnation Life,
                       const Heartbeat &Beat, Time Now);
  /// Takes in what somebody else says of the peer.
  /// \p Trusting: a life that is told of follows one that does not answer.
  /// Else a new life counts only once the host itself has answered with it.
  void applyUpdate(std::size_t Index, const MemberUpdate &Update,
                   bool AcceptUnconfirmed, Time Now);
  /// Notes a heartbeat sent to the peer; it should be answered.
  void noteProbe(std::size_t Index, std::uint64_t Sequence, Time Now);
  /// Signs of life of a sample stand for all that are believed alive.
  void noteSample(Time HeardAt);
  /// Suspects and buries the silent; forgets the long dead. \p Patience: how
  /// many times longer than usual silence is borne.
  void detectFailures(double TimeoutMultiplier, Time Now);
  /// This process was paused: silence before now says nothing of the others.
  void restartTimeouts(Time Now);

  /// What changed since the last call, ordered by name.
  std::vector<PeerChange> takeChanges();

private:
  std::size_t insert(const HostListing &Listing, Time Now);
  void changeIncarnation(std::size_t Index, Incarnation Life);
  void joinState(std::size_t Index, const IncarnationState &MergedState,
                 Time Now);
  void updateMember(std::size_t Index);
  PeerChange &changeOf(const HostId &Host);
  void removeExpired(Time Now);
  Duration deadAfter() const;
  Duration suspectAfter(const PeerRecord &Record, double TimeoutMultiplier,
                        Time Now) const;
  void noteRefuted(std::size_t Index, Time Now);

  Identity Self;
  PeerTimeouts Timeouts;
  std::vector<Member> Members;
  std::vector<PeerRecord> Records; ///< Beside Members.
  std::map<HostId, PeerChange> Changes;
};

} // namespace banyanpick
