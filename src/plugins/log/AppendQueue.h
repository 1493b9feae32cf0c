/// \file
/// Group commit: records wait while an append is in flight and then go
/// together in the next one, so that the append rate is bounded.
#pragma once

#include "kernel/Action.h"
#include "kernel/Event.h"

#include <deque>
#include <optional>
#include <set>
#include <vector>

namespace banyanpick {

struct AppendQueueOptions {
  std::size_t MaxRecords = 0; ///< In one append.
  std::size_t MaxBytes = 0;   ///< In one append, estimated.
  std::size_t MaxWaiting = 0; ///< Records waiting; more are not taken.
  Duration Backoff{};         ///< Pause after a refused append.
  Duration StallTimeout{};    ///< An append not answered by then is unknown.
};

/// A record whose fate is settled: in the log, or surely never.
struct SettledRecord {
  RecordId Id;
  bool Appended = false;
};

/// The records on their way to the log.
///
/// An append whose answer is lost may still take effect later, so nothing may
/// be concluded from its absence. Its records are appended again under the
/// same ids once a read begun later did not show them; what folds the log
/// judges each record id once, which makes a second copy harmless. A lease is
/// the exception: a late copy would renew it, so it is never repeated.
class AppendQueue {
public:
  AppendQueue(AppendQueueOptions Options, Incarnation Self)
      : Options(Options), Self(Self) {}

  /// Queues the record and gives its id.
  RecordId add(LogRecordBody Body);

  /// Stops trying to append the record. True: it never reached the log and
  /// never will.
  bool withdraw(const RecordId &Id);

  /// Sends the next append when none is in flight and \p Gap has passed since
  /// the last one was sent.
  void sendWhenDue(Duration Gap, Time Now, Actions &Out);

  /// Queues another host's record; that host repeats it when it is lost here.
  void addForPeer(LogRecord Record);

  /// The records to hand to a host that appends for this one, when \p Gap has
  /// passed since the last. They count as appended without an answer, and are
  /// given again when a read begun \p Patience later did not show them.
  std::vector<LogRecord> takeForAppender(Duration Gap, Duration Timeout,
                                         Time Now);

  /// Takes in the answer of an append; others than the one in flight are
  /// ignored.
  void handleAnswer(const AppendAnswered &Answer, Time Now);

  /// Notes that the record was read in the log.
  void noteRecordRead(const RecordId &Id);

  /// Everything the log held at \p RequestedAt has been read.
  void noteEndRead(Time RequestedAt);

  /// What was settled since the last call.
  std::vector<SettledRecord> takeSettled();

  Time nextWake(Duration Gap) const;

  /// Records that are neither settled nor withdrawn.
  std::size_t unsettled() const { return this->Unsettled.size(); }

private:
  struct QueuedRecord {
    LogRecord Record;
    /// An append that held it got no answer; a copy may be in the log.
    bool MayBeInLog = false;
  };
  struct InFlightAppend {
    AppendId Append;
    std::vector<QueuedRecord> Batch;
    Time SentAt{};
  };
  struct UnconfirmedRecord {
    QueuedRecord Entry;
    Time Since{};
  };

  void send(Time Now, Actions &Out);
  std::vector<QueuedRecord> nextBatch();
  void handleAppended(const std::vector<QueuedRecord> &Batch);
  void handleRefused(std::vector<QueuedRecord> Batch, Time Now);
  void handleUnknown(std::vector<QueuedRecord> Batch, Time Now);
  void settle(const RecordId &Id, bool Appended);

  AppendQueueOptions Options;
  Incarnation Self;
  std::uint64_t LastSequence = 0;
  std::uint64_t LastAppendId = 0;
  std::deque<QueuedRecord> Waiting;
  std::optional<InFlightAppend> InFlight;
  std::vector<UnconfirmedRecord> Unconfirmed;
  std::set<RecordId> Unsettled; ///< Neither settled nor withdrawn.
  std::vector<SettledRecord> SettledRecords;
  Time LastSentAt{};
  Time BackoffUntil{};
};

} // namespace banyanpick
