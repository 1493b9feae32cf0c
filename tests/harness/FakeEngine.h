/// \file
/// An engine of a virtual deployment: the engine model, who listens to each of
/// its streams, and the faults set on it.
#pragma once

#include "fakes/EngineModel.h"
#include "kernel/Action.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace banyanpick {

/// Chunks on their way from an engine to an entry host.
struct ChunkBatch {
  AttemptId Connection; ///< The try whose connection carries them.
  AttemptId Echoed;     ///< The try that they name.
  Fingerprint Content;  ///< Whose answer it really is.
  std::uint64_t FirstIndex = 0;
  std::uint64_t Count = 0;
  bool Ended = false;
};

/// One order as it reached the engine.
struct ReceivedOrder {
  Time At;
  LogOffset Fencing = 0;
  bool TookEffect = false;
};

/// Who listens to a stream that runs on the engine.
struct EngineStream {
  AttemptId Listener; ///< The latest try attached to it.
  std::string Host;
  Incarnation HostLife;
  Fingerprint Content;
  Time Deadline{};
  std::uint64_t FirstIndex = 0;
  std::uint64_t Produced = 0; ///< First chunk not yet produced.
  bool Ended = false;
  bool Broken = false; ///< Its connection was reset.
};

/// The state of one engine.
struct FakeEngine {
  FakeEngine(UpstreamListing Listing, const EngineShape &Shape)
      : Listing(std::move(Listing)), Model(Shape) {}

  UpstreamListing Listing;
  EngineModel Model;
  bool Alive = true;
  bool Frozen = false;
  bool ReportsLeaving = false; ///< In its reports and refusals.
  std::optional<Time> LeftAt;
  Duration LoadLag = milliseconds(200);
  /// Of the next batches, how many are given to another try's connection,
  /// sent twice, or cut before their end.
  std::uint32_t BatchesToMisroute = 0;
  std::uint32_t BatchesToRepeat = 0;
  std::uint32_t BatchesToTruncate = 0;
  std::uint32_t HoldAnswersToLose = 0;
  std::uint32_t OrderAnswersToLose = 0;
  double CacheEventLoss = 0;
  LoadReport LastReport;
  Time PumpAt = Never;
  std::map<AttemptId, EngineStream> Streams; ///< By the try that started it.
  std::vector<ReceivedOrder> Orders;
  std::vector<std::function<void()>>
      DeferredWork; ///< What arrived while frozen.

  /// The started try behind \p Attempt, which may have attached to it.
  AttemptId startedAttempt(const AttemptId &Attempt) const {
    for (const auto &[Started, Stream] : this->Streams)
      if (Stream.Listener == Attempt)
        return Started;
    return Attempt;
  }

  /// The report the engine publishes: older than LoadLag at the most, with
  /// streams under the name of who listens now.
  const LoadReport &report(Time Now) {
    if (this->LastReport.Id == this->Listing.Id &&
        Now < this->LastReport.MeasuredAt + this->LoadLag)
      return this->LastReport;
    this->LastReport = this->Model.report(Now);
    this->LastReport.Leaving |= this->ReportsLeaving;
    for (HoldReport &Hold : this->LastReport.Holds)
      this->nameListener(Hold);
    return this->LastReport;
  }

private:
  void nameListener(HoldReport &Hold) const {
    if (Hold.Kind != HoldKind::Stream)
      return;
    const auto Found = this->Streams.find(
        AttemptId{Incarnation(Hold.OwnerLife), Hold.Sequence});
    if (Found == this->Streams.end())
      return;
    Hold.OwnerLife = Found->second.Listener.Maker.Value;
    Hold.Sequence = Found->second.Listener.Sequence;
    Hold.OwnerHost = Found->second.Host;
    Hold.Deadline = Found->second.Deadline;
  }
};

} // namespace banyanpick
