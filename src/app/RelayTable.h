/// \file
/// The requests of one traffic thread.
#pragma once

#include "app/EventSink.h"
#include "app/RelayEntry.h"

#include <unordered_map>

namespace banyanpick {

/// Used on one thread, that of its executor.
class RelayTable {
public:
  RelayTable(const net::any_io_executor &Executor, EventSink &Events,
             const RelayLimits &Limits, Duration KeepEnded,
             std::uint64_t FirstId, std::uint64_t IdStep)
      : Executor(Executor), Events(Events), Limits(Limits),
        KeepEnded(KeepEnded), NextId(FirstId), IdStep(IdStep) {}

  /// The next number of this thread; the thread is found again by it.
  std::uint64_t takeId();

  /// Registers a caller's request and tells control.
  std::shared_ptr<RelayEntry> open(CallerRequest Req);

  /// Registers a connection that asks to go on with a stream.
  std::shared_ptr<RelayEntry> openResume(std::string TeamKey,
                                         std::string ResumeToken,
                                         std::uint64_t NextIndex);

  /// Registers a stream taken over from a peer; its caller comes later.
  std::shared_ptr<RelayEntry> adopt(const RequestId &Id,
                                    std::uint64_t NextIndex);

  /// Null when unknown.
  std::shared_ptr<RelayEntry> find(const RequestId &Id) const;

  /// The caller's side is finished with the entry.
  void remove(const RequestId &Id) { this->Entries.erase(Id); }

  /// Removes an ended entry after a while, unless a caller reads it then.
  void removeLater(const RequestId &Id);

  /// Entries whose caller reads them or waits for a whole answer.
  std::size_t unsentAnswers() const;

private:
  std::shared_ptr<RelayEntry> add(const RequestId &Id, bool Streamed,
                                  RequestContent Content,
                                  std::uint64_t FirstIndex);
  Task<void> removeAfterWait(RequestId Id);

  net::any_io_executor Executor;
  EventSink &Events;
  const RelayLimits &Limits;
  Duration KeepEnded;
  std::uint64_t NextId;
  std::uint64_t IdStep;
  std::unordered_map<RequestId, std::shared_ptr<RelayEntry>> Entries;
};

} // namespace banyanpick
