/// \file
/// Group commit. Records wait while an append is in flight and are then sent
/// together in the next append, which bounds the append rate.
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
  std::size_t MaxWaiting = 0; ///< Waiting records; further ones are rejected.
  Duration Backoff{};         ///< Pause after a refused append.
  Duration StallTimeout{};    ///< After this an unanswered append is unknown.
};

/// A record with a final outcome: it is in the log, or it never will be.
struct SettledRecord {
  RecordId Id;
  bool Appended = false;
};

/// Holds the records that are to be appended to the log.
///
/// An append whose answer is lost may still take effect later, so its absence
/// from the log proves nothing. Its records are appended again under the same
/// ids once a read that started later did not return them. Readers of the log
/// process each record id only once, so a second copy has no effect. Leases are
/// the exception: a late copy would renew the lease, so they are never
/// repeated.
class AppendQueue {
public:
  AppendQueue(AppendQueueOptions Options, Incarnation Self)
      : Options(Options), Self(Self) {}

  /// Queues the record and returns its id.
  RecordId add(LogRecordBody Body);

  /// Stops appending the record. Returns true if the record never reached the
  /// log and never will. A refused append does not count as reaching the log.
  bool withdraw(const RecordId &Id);

  /// Sends the next append when none is in flight and \p Gap has passed since
  /// the last one was sent.
  void sendWhenDue(Duration Gap, Time Now, Actions &Out);

  /// Queues a record of another host. That host repeats it when it is lost
  /// here.
  void addForPeer(LogRecord Record);

  /// Returns the records to send to the host that appends for this one, when
  /// \p Gap has passed since records were last sent. They count as appended
  /// without an answer and are returned again when a read that started
  /// \p Timeout later did not show them.
  std::vector<LogRecord> takeForAppender(Duration Gap, Duration Timeout,
                                         Time Now);

  /// Handles the answer to an append. Answers to other appends than the one in
  /// flight are ignored.
  void handleAnswer(const AppendAnswered &Answer, Time Now);

  /// Called when the record was read from the log.
  void noteRecordRead(const RecordId &Id);

  /// Called when everything that the log held at \p RequestedAt was read.
  void noteEndRead(Time RequestedAt);

  /// Returns the records settled since the last call.
  std::vector<SettledRecord> takeSettled();

  Time nextWake(Duration Gap) const;

  /// Records that are neither settled nor withdrawn.
  std::size_t unsettled() const { return this->Unsettled.size(); }

private:
  struct QueuedRecord {
    LogRecord Record;
    /// An append with this record got no answer, so a copy may be in the log.
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
