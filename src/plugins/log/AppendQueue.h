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
  std::size_t MostRecords = 0; ///< In one append.
  std::size_t MostBytes = 0;   ///< In one append, estimated.
  std::size_t MostWaiting = 0; ///< Records waiting; more are not taken.
  Duration Backoff{};          ///< Pause after a refused append.
  Duration StallAfter{};       ///< An append not answered by then is unknown.
};

/// A record whose fate is settled: in the log, or surely never.
struct Settled {
  RecordId Id;
  bool Taken = false;
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
  void addForeign(LogRecord Record);

  /// The records to hand to a host that appends for this one, when \p Gap has
  /// passed since the last. They count as appended without an answer, and are
  /// given again when a read begun \p Patience later did not show them.
  std::vector<LogRecord> handOutWhenDue(Duration Gap, Duration Patience,
                                        Time Now);

  /// Takes in the answer of an append; others than the one in flight are
  /// ignored.
  void take(const AppendAnswered &Answer, Time Now);

  /// Notes that the record was read in the log.
  void sawRecord(const RecordId &Id);

  /// Everything the log held at \p AskedAt has been read.
  void sawEnd(Time AskedAt);

  /// What was settled since the last call.
  std::vector<Settled> takeSettled();

  Time nextWake(Duration Gap) const;

  /// Records that are neither settled nor withdrawn.
  std::size_t unsettled() const { return this->Open.size(); }

private:
  struct Item {
    LogRecord Record;
    /// An append that held it got no answer; a copy may be in the log.
    bool MaybeTaken = false;
  };
  struct Flight {
    AppendId Append;
    std::vector<Item> Items;
    Time SentAt{};
  };
  struct Doubtful {
    Item What;
    Time Since{};
  };

  void send(Time Now, Actions &Out);
  std::vector<Item> nextBatch();
  void landed(const std::vector<Item> &Items);
  void refused(std::vector<Item> Items, Time Now);
  void unknown(std::vector<Item> Items, Time Now);
  void settle(const RecordId &Id, bool Taken);

  AppendQueueOptions Options;
  Incarnation Self;
  std::uint64_t LastRecord = 0;
  std::uint64_t LastAppend = 0;
  std::deque<Item> Waiting;
  std::optional<Flight> InFlight;
  std::vector<Doubtful> Unknowns;
  std::set<RecordId> Open; ///< Neither settled nor withdrawn.
  std::vector<Settled> Done;
  Time LastSentAt{};
  Time NotBefore{};
};

} // namespace banyanpick
