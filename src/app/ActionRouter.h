/// \file
/// Carries the kernel's actions to the threads that do them.
#pragma once

#include "app/ActionPerformer.h"
#include "app/TrafficThread.h"
#include "peers/PeerNetwork.h"

#include <functional>
#include <memory>
#include <span>

namespace banyanpick {

/// Used on the control thread only.
class ActionRouter : public ActionPerformer {
public:
  /// \p OnStop is called when the process may end.
  ActionRouter(std::span<const std::unique_ptr<TrafficThread>> Threads,
               PeerNetwork &Peers, Metrics &HostMetrics,
               const ProcessClock &Clock, std::function<void()> OnStop);

  /// Carries them out in their order; those that concern one request reach
  /// its thread in that order.
  void perform(std::vector<Action> Wanted) override;

  /// The try ended by itself.
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
  /// The thread number of each running try.
  std::unordered_map<AttemptId, std::uint64_t> Attempts;
};

} // namespace banyanpick
