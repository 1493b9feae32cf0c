/// \file
/// Test fixture: kernels that share one log service, whose answers the test
/// controls.
#pragma once

#include "kernel/Kernel.h"
#include "kernel/PluginRegistry.h"
#include "plugins/log/LogTail.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace banyanpick {

/// A minimal model of the platform's log with offsets and retention.
class LogServiceModel {
public:
  LogOffset append(std::vector<LogRecord> Records) {
    this->Appends.push_back(std::move(Records));
    return this->end() - 1;
  }
  LogRead read(LogOffset From) const;
  void dropBefore(LogOffset Offset) {
    while (this->Start < Offset && !this->Appends.empty()) {
      this->Appends.pop_front();
      ++this->Start;
    }
  }
  LogOffset end() const { return this->Start + this->Appends.size(); }

private:
  LogOffset Start = 1;
  std::deque<std::vector<LogRecord>> Appends;
};

/// A plug-in that replaces membership and records the calls to observers.
class ProbePlugin : public Plugin,
                    public MembershipView,
                    public LogObserver,
                    public ClaimObserver {
public:
  void initialize(PluginContext &Context) override;
  void handle(const Event &, Time, Actions &) override {}

  const HostId &self() const override { return this->Self.Host; }
  Incarnation selfLife() const override { return this->Self.Life; }
  const ZoneId &selfZone() const override { return this->Self.Zone; }
  std::span<const Member> peers() const override { return this->Members; }
  std::vector<HostId> livePeers() const override;
  bool isDead(const HostId &, Incarnation Life) const override;

  void recordRead(const StoredRecord &Record, Time, Actions &) override {
    this->Read.push_back(Record);
  }
  void appendSettled(const RecordId &Id, bool Taken, Time, Actions &) override {
    this->Settled.emplace_back(Id, Taken);
  }
  void recordsMissed(LogOffset Start, Time, Actions &) override {
    this->MissedUpTo = Start;
  }
  void claimDecided(const RequestId &Id, const ClaimVerdict &Verdict, Time,
                    Actions &) override {
    this->Verdicts.emplace_back(Id, Verdict);
  }

  Identity Self;
  std::vector<Member> Members;
  /// The incarnations that isDead() reports as dead.
  std::vector<Incarnation> EndedIncarnations;
  std::vector<StoredRecord> Read;
  std::vector<std::pair<RecordId, bool>> Settled;
  LogOffset MissedUpTo = 0;
  std::vector<std::pair<RequestId, ClaimVerdict>> Verdicts;
};

/// The outcome of an append.
enum class AppendOutcome {
  Taken,
  Refused,
  LostAnswer, ///< Takes effect; the answer is lost.
  LostAppend, ///< Never takes effect; there is no answer.
  Late,       ///< No answer; takes effect at applyLateAppend().
};

/// One kernel and the actions that it has requested.
class BenchHost {
public:
  BenchHost(LogServiceModel &Log, std::string Name, std::uint64_t Life,
            const std::map<std::string, std::string> &Values = {});

  void handle(const Event &Incoming);
  /// Calls a service and collects the actions that it requests.
  template <class Call> auto call(Call Function) {
    Actions Out;
    if constexpr (std::is_void_v<decltype(Function(Out))>) {
      Function(Out);
      this->collect(Out.take());
    } else {
      auto Result = Function(Out);
      this->collect(Out.take());
      return Result;
    }
  }
  void advance(Duration Span);
  /// Answers the oldest pending read, if any.
  void answerRead();
  /// Reads up to the end of the log.
  void catchUp();
  void failRead();
  /// Answers the oldest pending append, if any.
  void answerAppend(AppendOutcome Outcome = AppendOutcome::Taken);
  /// Applies the oldest late append to the log, if any.
  void applyLateAppend();
  /// Appends and reads until no append or read is pending.
  void settle();

  ProbePlugin &probe() { return this->Host->services().get<ProbePlugin>(); }
  Services &services() { return this->Host->services(); }
  Kernel &kernel() { return *this->Host; }
  /// Returns the actions of one type since the last call.
  template <class ActionType> std::vector<ActionType> take();

  Time Now{seconds(1'700'000'000)};
  std::vector<std::vector<LogRecord>> LateAppends;

private:
  void collect(std::vector<Action> NewActions);

  LogServiceModel &Log;
  std::unique_ptr<Kernel> Host;
  std::deque<ReadLog> Reads;
  std::deque<AppendToLog> Appends;
  std::vector<Action> Requested;
};

template <class ActionType> std::vector<ActionType> BenchHost::take() {
  std::vector<ActionType> Result;
  std::erase_if(this->Requested, [&](const Action &Item) {
    const auto *Match = std::get_if<ActionType>(&Item);
    if (Match)
      Result.push_back(*Match);
    return Match != nullptr;
  });
  return Result;
}

/// Returns a ready peer last heard at \p Heard that last reached the log at
/// \p Confirmed.
Member peerHeard(std::string Name, Time Heard, Time Confirmed,
                 LogOffset InForce);

/// Returns a change set in which root declares one owner.
ChangeSet declareOwner(std::string Id, std::string Name, LogOffset Base = 0);

} // namespace banyanpick
