/// \file
/// The requests of one traffic thread.
#pragma once

#include "app/EventSink.h"
#include "app/RelayEntry.h"

#include <unordered_map>

namespace banyanpick {

/// Holds the entries of one traffic thread by request id. Used on the thread of
/// its executor only.
class RelayTable {
public:
  RelayTable(const net::any_io_executor &Executor, EventSink &Events,
             const RelayLimits &Limits, Duration KeepEnded,
             std::uint64_t FirstId, std::uint64_t IdStep)
      : Executor(Executor), Events(Events), Limits(Limits),
        KeepEnded(KeepEnded), NextId(FirstId), IdStep(IdStep) {}

  /// Returns a new id. The thread can be derived from it.
  std::uint64_t takeId();

  /// Registers a caller's request and notifies control.
  std::shared_ptr<RelayEntry> open(CallerRequest Req);

  /// Registers a connection that requests to resume a stream, and notifies
  /// control.
  std::shared_ptr<RelayEntry> openResume(std::string TeamKey,
                                         std::string ResumeToken,
                                         std::uint64_t NextIndex);

  /// Registers a stream that was taken over from a peer. Its caller connects
  /// later.
  std::shared_ptr<RelayEntry> adopt(const RequestId &Id,
                                    std::uint64_t NextIndex);

  /// Returns null when the request is unknown.
  std::shared_ptr<RelayEntry> find(const RequestId &Id) const;

  /// Removes the entry of a finished request.
  void remove(const RequestId &Id) { this->Entries.erase(Id); }

  /// Removes an ended entry after \c KeepEnded, unless a caller reads it then.
  void removeLater(const RequestId &Id);

  /// Returns the number of entries whose caller reads a stream or waits for an
  /// unstreamed answer.
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
