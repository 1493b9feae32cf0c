/// \file
/// One request on its traffic thread: its content, the chunks of its answer and
/// the connection that reads them.
#pragma once

#include "app/CallerRequest.h"
#include "app/ChunkBuffer.h"
#include "http/ChangeNotifier.h"
#include "kernel/Action.h"

#include <memory>
#include <optional>

namespace banyanpick {

/// Bounds of the memory that one request uses.
struct RelayLimits {
  /// Of a stream. Reading from the upstream pauses above the bound.
  std::size_t UndeliveredBytes = 0;
  /// Of a stream, for a caller whose connection was lost.
  std::size_t KeepDeliveredBytes = 0;
  /// Of an answer that is not streamed.
  std::size_t WholeAnswerBytes = 0;
};

/// Buffers the answer of one request between upstream and caller. Used on the
/// thread of its executor only. Code that serves the caller on another thread
/// switches to this executor in a coroutine.
class RelayEntry {
public:
  RelayEntry(const net::any_io_executor &Executor, RequestId Id, bool Streamed,
             RequestContent Content, std::uint64_t FirstIndex,
             const RelayLimits &Limits);

  const RequestId &id() const { return this->Id; }
  const net::any_io_executor &executor() const { return this->Executor; }
  const RequestContent &content() const { return this->Content; }
  bool isStreamed() const { return this->Streamed; }
  const ChunkBuffer &chunks() const { return this->Chunks; }

  // --- called by control

  void accept(std::string ResumeToken);
  void answer(FinalAnswer NewAnswer);
  void redirect(RedirectCaller To);
  /// Makes this connection read the stream of another request.
  void join(std::shared_ptr<RelayEntry> Stream, std::uint64_t NextIndex);

  // --- called by the upstream side

  /// Appends the next chunk.
  void append(std::string Text);
  /// Returns whether the caller lags so far that reading must pause.
  bool isFull() const;
  /// Returns whether an answer that is not streamed exceeds its bound.
  bool isTooLarge() const;
  /// Waits for the next change of the entry.
  Task<void> changed() { return this->Changes.wait(); }
  void wakeAll() { this->Changes.notify(); }

  // --- called by the caller side

  /// The first event for the caller side: acceptance, final answer, redirect or
  /// join.
  struct Opening {
    bool Accepted = false;
    std::string ResumeToken;
    std::optional<FinalAnswer> Answer;
    std::optional<RedirectCaller> Redirect;
    std::shared_ptr<RelayEntry> Joined;
    std::uint64_t JoinedIndex = 0;
  };
  /// Waits for the acceptance, the final answer, a redirect or a join.
  Task<Opening> opening();

  /// Makes \p Writer the only reader; the previous reader stops. Returns false
  /// when the chunk at \p Index is no longer kept.
  bool attach(std::uint64_t Writer, std::uint64_t Index);
  /// Removes the reader. Returns false when \p Writer is not the current one.
  bool detach(std::uint64_t Writer);
  bool hasWriter() const { return this->Writer != 0; }

  /// The next data that a writer sends.
  struct Delivery {
    std::string Events; ///< Formatted; may be empty.
    std::uint64_t NextIndex = 0;
    /// Another connection reads the stream now, or the next chunk is lost. The
    /// writer must stop.
    bool Replaced = false;
    bool Last = false; ///< Events include the final event.
  };
  /// Waits for data to send from \p Index on. Marks the chunks before \p Index
  /// as delivered.
  Task<Delivery> next(std::uint64_t Writer, std::uint64_t Index);

  /// Waits for the final answer of a request that is not streamed.
  Task<FinalAnswer> finalAnswer();

  bool isEnded() const { return this->Answer || this->Redirect; }
  bool isAccepted() const { return this->Accepted; }

private:
  bool hasEventsFrom(std::uint64_t Index) const;
  void addLastEvent(Delivery &To) const;

  RequestId Id;
  net::any_io_executor Executor;
  bool Streamed;
  RequestContent Content;
  RelayLimits Limits;
  ChunkBuffer Chunks;
  ChangeNotifier Changes;
  bool Accepted = false;
  std::string ResumeToken;
  std::optional<FinalAnswer> Answer;
  std::optional<RedirectCaller> Redirect;
  std::shared_ptr<RelayEntry> Joined;
  std::uint64_t JoinedIndex = 0;
  std::uint64_t Writer = 0;
};

} // namespace banyanpick
