/// \file
/// Routes the kernel's actions to the threads that execute them.
#pragma once

#include "app/ActionPerformer.h"
#include "app/TrafficThread.h"
#include "peers/PeerNetwork.h"

#include <functional>
#include <memory>
#include <span>

namespace banyanpick {

/// Routes actions to traffic threads, the peer network, the log and the
/// metrics. Used on the control thread only.
class ActionRouter : public ActionPerformer {
public:
  /// \p OnStop is called when the process may end.
  ActionRouter(std::span<const std::unique_ptr<TrafficThread>> Threads,
               PeerNetwork &Peers, Metrics &HostMetrics,
               const ProcessClock &Clock, std::function<void()> OnStop);

  /// Executes the actions in the given order. Actions of one request reach its
  /// thread in that order.
  void perform(std::vector<Action> Wanted) override;

  /// Called when an attempt ended without being cancelled.
  void forget(const AttemptId &Attempt) override {
    this->Attempts.erase(Attempt);
  }

private:
  void perform(DispatchAttempt Wanted);
  void perform(CancelAttempt Wanted);
  void perform(JoinStream Wanted);
  void perform(const WriteLogLine &Wanted);
  void perform(AcceptRequest Wanted);
  void perform(AnswerRequest Wanted);
  void perform(RedirectCaller Wanted);
  void perform(AnswerResolve Wanted);
  void perform(AnswerOperator Wanted);
  void perform(SendToPeer Wanted);
  void perform(ConnectPeers Wanted);
  void perform(const RecordMeasurement &Wanted);
  void perform(StopNow Wanted);
  void perform(const GatewayAction &Wanted);
  template <class UpstreamAction> void perform(UpstreamAction Wanted);
  void perform(ReadHostList Wanted) { this->postTo(0, Wanted); }
  void perform(ReadLog Wanted) { this->postTo(0, Wanted); }
  void perform(AppendToLog Wanted) { this->postTo(0, std::move(Wanted)); }

  template <class ActionType>
  void postTo(std::uint64_t Number, ActionType Wanted);
  TrafficThread &threadOf(std::uint64_t Number) const;

  std::vector<TrafficThread *> Threads;
  PeerNetwork &Peers;
  Metrics &HostMetrics;
  const ProcessClock &Clock;
  std::function<void()> OnStop;
  /// The thread number of each running attempt.
  std::unordered_map<AttemptId, std::uint64_t> Attempts;
};

} // namespace banyanpick
