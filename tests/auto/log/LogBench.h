/// \file
/// Kernels on one log service, with every answer in the hands of the test.
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

/// The platform's log as the tests need it: offsets, retention, nothing else.
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

/// A plug-in that stands in for membership and notes what observers are told.
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
  std::vector<Incarnation> EndedIncarnations; ///< Lives known to be over.
  std::vector<StoredRecord> Read;
  std::vector<std::pair<RecordId, bool>> Settled;
  LogOffset MissedUpTo = 0;
  std::vector<std::pair<RequestId, ClaimVerdict>> Verdicts;
};

/// What becomes of an append.
enum class AppendOutcome {
  Taken,
  Refused,
  LostAnswer, ///< Took effect; nobody is told.
  LostAppend, ///< Never takes effect; nobody is told.
  Late,       ///< Nobody is told; it takes effect at applyLateAppend().
};

/// One kernel and the actions it has asked for.
class BenchHost {
public:
  BenchHost(LogServiceModel &Log, std::string Name, std::uint64_t Life,
            const std::map<std::string, std::string> &Values = {});

  void handle(const Event &Incoming);
  /// Calls a service and takes in the actions it asks for.
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
  /// Answers the oldest read that waits, if any.
  void answerRead();
  /// Reads until nothing new comes.
  void catchUp();
  void failRead();
  /// Settles the append that waits, if any.
  void answerAppend(AppendOutcome Outcome = AppendOutcome::Taken);
  /// The oldest late append takes effect now, if there is one.
  void applyLateAppend();
  /// Appends and reads until both are quiet.
  void settle();

  ProbePlugin &probe() { return this->Host->services().get<ProbePlugin>(); }
  Services &services() { return this->Host->services(); }
  Kernel &kernel() { return *this->Host; }
  /// The actions of one kind since the last call.
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
  std::erase_if(this->Requested, [&](const Action &Each) {
    const auto *Match = std::get_if<ActionType>(&Each);
    if (Match)
      Result.push_back(*Match);
    return Match != nullptr;
  });
  return Result;
}

/// A ready peer that was heard, and reached the log, at those times.
Member peerHeard(std::string Name, Time Heard, Time Confirmed,
                 LogOffset InForce);

/// A change set that declares one owner by root.
ChangeSet declareOwner(std::string Id, std::string Name, LogOffset Base = 0);

} // namespace banyanpick
