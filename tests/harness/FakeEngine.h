/// \file
/// An engine of a virtual deployment: the engine model, the attempt attached to
/// each stream, and the injected faults.
#pragma once

#include "fakes/EngineModel.h"
#include "kernel/Action.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace banyanpick {

/// Chunks in transit from an engine to an entry host.
struct ChunkBatch {
  AttemptId Connection; ///< Attempt whose connection carries the chunks.
  AttemptId Echoed;     ///< Attempt that the chunks name.
  Fingerprint Content;  ///< Content of the request that is answered.
  std::uint64_t FirstIndex = 0;
  std::uint64_t Count = 0;
  bool Ended = false;
};

/// One order as the engine received it.
struct ReceivedOrder {
  Time At;
  LogOffset Fencing = 0;
  bool TookEffect = false;
};

/// A stream that runs on the engine, and the attempt that receives it.
struct EngineStream {
  AttemptId Listener; ///< The attempt that attached last.
  std::string Host;
  Incarnation HostLife;
  Fingerprint Content;
  Time Deadline{};
  std::uint64_t FirstIndex = 0;
  std::uint64_t Produced = 0; ///< First chunk not yet produced.
  bool Ended = false;
  bool Broken = false; ///< The connection was reset.
};

/// An engine model together with its connections and injected faults.
struct FakeEngine {
  FakeEngine(UpstreamListing Listing, const EngineShape &Shape)
      : Listing(std::move(Listing)), Model(Shape) {}

  UpstreamListing Listing;
  EngineModel Model;
  bool Alive = true;
  bool Frozen = false;
  bool ReportsLeaving = false; ///< In load reports and refusals.
  std::optional<Time> LeftAt;
  Duration LoadLag = milliseconds(200);
  /// Number of next batches that are also sent over another attempt's
  /// connection, sent twice, or lost with a reset of their connection.
  std::uint32_t BatchesToMisroute = 0;
  std::uint32_t BatchesToRepeat = 0;
  std::uint32_t BatchesToTruncate = 0;
  std::uint32_t HoldAnswersToLose = 0;
  std::uint32_t OrderAnswersToLose = 0;
  double CacheEventLoss = 0;
  LoadReport LastReport;
  Time PumpAt = Never;
  /// Streams by the attempt that started them.
  std::map<AttemptId, EngineStream> Streams;
  std::vector<ReceivedOrder> Orders;
  /// Messages received while frozen.
  std::vector<std::function<void()>> DeferredWork;

  /// Returns the attempt that started the stream to which \p Attempt is
  /// attached, or \p Attempt itself when there is none.
  AttemptId startedAttempt(const AttemptId &Attempt) const {
    for (const auto &[Started, Stream] : this->Streams)
      if (Stream.Listener == Attempt)
        return Started;
    return Attempt;
  }

  /// Returns the load report that the engine publishes. The report is renewed
  /// once it is LoadLag old. Streams are listed under the attempt attached to
  /// them at the time of the report.
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
