/// \file
/// What a host believes of the engines after it lost its view of their load.
#pragma once

#include "kernel/PeerMessage.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <vector>

namespace banyanpick {

/// Why a host's view of the load is incomplete.
enum class ViewLoss {
  Started,     ///< The process started.
  Paused,      ///< The process did not run for a while.
  HostsChanged ///< Half of the hosts that decide are others than before.
};

/// What completed the view.
enum class ViewGain {
  Engines, ///< Reports of engines, or answers to own requests.
  Peers,   ///< Work reports of peers whose view is complete.
  Time     ///< The limit: work from before the gap has ended.
};

std::string_view nameOf(ViewLoss Reason);
std::string_view nameOf(ViewGain Reason);

struct WarmUpLimits {
  Duration Limit{};            ///< Longest warm-up; zero: there is none.
  Duration AskInterval{};      ///< Between two report requests; zero: none.
  std::uint32_t SlowStart = 0; ///< Own requests under way at an engine before
                               ///< its first answer; zero: unlimited.
};

/// Load of an engine that no host reports as its own.
struct UnclaimedLoad {
  double Requests = 0;
  double MemoryTokens = 0;

  bool operator==(const UnclaimedLoad &) const = default;
};

/// Knows how complete a host's view of the engines' load is. After a restart of
/// all hosts under load, hosts that regarded unknown engines as idle all chose
/// the same few, whose queues then grew beyond the objectives. During the
/// warm-up, requests are spread, unknown engines are assumed to be loaded like
/// the others, and the requests under way at each engine grow from a small
/// number with each answer.
///
/// Also knows the load that the engines report and that no host claims: the
/// requests of hosts that lost power run until they end.
class WarmUp {
public:
  WarmUp() = default;
  explicit WarmUp(const WarmUpLimits &Limits) : Limits(Limits) {}

  /// Begins a warm-up, or begins it again, and forgets which engines are known
  /// and which peers reported. Returns whether none was running before.
  bool begin(ViewLoss Reason, Time Now);
  bool isRunning() const { return this->Running; }
  ViewLoss reason() const { return this->Reason; }

  /// Called with every event of the process. Returns whether the process did
  /// not run for so long that its view is outdated.
  bool noteAlive(Time Now);
  /// Takes the hosts that decide about the same engines, including this one.
  /// Returns whether so many changed that the view is incomplete.
  bool takeSharers(std::span<const HostId> Sharers, Time Now);
  /// Takes the engines about which this host decides.
  void takeEngines(std::span<const UpstreamId> Engines, const HostId &Self);

  /// Called when a request of this host gets its first token.
  void noteAnswer(const UpstreamId &Engine);
  /// Called when a peer reports its work. Returns whether the peer needs an
  /// answer: it has begun a warm-up. Later reports need none, or two hosts that
  /// warm up would answer each other without end.
  bool notePeer(const HostId &Peer, bool IsWarmingUp, Time Now);
  void forgetPeer(const HostId &Peer) { this->Peers.erase(Peer); }
  void forgetEngine(const UpstreamId &Engine);
  /// Takes a report of an engine, from the engine or from a peer. \p Claimed is
  /// what all hosts are known to have on the engine now.
  void takeReport(const EngineWork::Load &Report, const UnclaimedLoad &Claimed,
                  Time Now);

  /// Ends the warm-up when the view is complete. Returns what completed it.
  std::optional<ViewGain> update(Time Now);
  /// Returns the engines whose reports this host requests now. Each engine is
  /// asked by one host.
  std::vector<UpstreamId> due(Time Now);
  Time nextWake() const;

  /// Returns whether engines may have load that no host claims. Usually false,
  /// so that choices cost nothing more.
  bool assumesLoad(Time Now) const {
    return this->Running || Now < this->UnclaimedUntil;
  }
  /// Returns the number of own requests that may be under way at the engine.
  std::uint32_t window(const UpstreamId &Engine) const;
  UnclaimedLoad unclaimed(const UpstreamId &Engine, Time Now) const;
  /// Returns the requests that an engine is assumed to have beyond those that
  /// this host knows of, given its own requests on all engines. Peers that have
  /// not reported are assumed to have sent as many.
  double assumedRequests(std::size_t OwnRequests, Time Now) const;
  /// Returns whether the load of the engine is known since the gap.
  bool isKnown(const UpstreamId &Engine) const;

  std::size_t knownEngines() const { return this->Known.size(); }
  std::size_t engines() const { return this->EngineCount; }
  Duration age(Time Now) const { return Now - this->BeganAt; }
  /// Returns the peers that need this host's reports for their warm-up.
  std::vector<HostId> warmingPeers(Time Now) const;
  /// Returns the recent reports of engines to this host, for its peers.
  std::vector<EngineWork::Load> ownReports(Time Now) const;
  /// Called when an engine answered this host's report request.
  void noteOwnReport(const EngineWork::Load &Report, Time Now);

private:
  struct Peer {
    Time HeardAt{};
    bool IsWarmingUp = false;
  };
  struct Report {
    Time At{}; ///< When a host received it from the engine.
    UnclaimedLoad Unclaimed;
  };
  struct OwnReport {
    EngineWork::Load Load;
    Time ReceivedAt{};
  };

  std::size_t otherSharers() const;
  /// Returns how many of the other sharers reported since the gap.
  std::size_t heardSharers() const;
  /// Returns whether most peers that were heard lost their view as well. The
  /// load of an engine is then known to no host.
  bool isLossCommon() const;
  bool hasHeardMost() const;

  WarmUpLimits Limits;
  bool Running = false;
  ViewLoss Reason = ViewLoss::Started;
  Time BeganAt{};
  Time CheckAt = Never;
  Time AliveAt{};
  Time SharersChangedAt{};
  Time UnclaimedUntil{};       ///< When the last unclaimed load has faded.
  std::vector<HostId> Sharers; ///< Ordered by name.
  std::vector<HostId> StableSharers; ///< When the view was last complete.
  std::map<HostId, Peer> Peers;
  std::size_t EngineCount = 0;
  std::vector<UpstreamId> OwnEngines; ///< Those that this host asks.
  std::map<UpstreamId, Time> AskedAt;
  std::set<UpstreamId> Known;                  ///< Since the gap.
  std::map<UpstreamId, std::uint32_t> Answers; ///< Since the gap.
  std::map<UpstreamId, Report> Reports;
  std::map<UpstreamId, OwnReport> OwnReports;
};

} // namespace banyanpick
