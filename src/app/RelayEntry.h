/// \file
/// One request on its traffic thread: its content, the chunks of its answer
/// and who reads them.
#pragma once

#include "app/CallerRequest.h"
#include "app/ChunkBuffer.h"
#include "http/ChangeNotifier.h"
#include "kernel/Action.h"

#include <memory>
#include <optional>

namespace banyanpick {

/// Bounds of what one request holds.
struct RelayLimits {
  std::size_t UndeliveredBytes = 0;   ///< Of a stream; then reading pauses.
  std::size_t KeepDeliveredBytes = 0; ///< Of a stream, for a cut caller.
  std::size_t WholeAnswerBytes = 0;   ///< Of an answer that is not streamed.
};

/// Used on the thread of its executor only. The caller's side may live on
/// another thread; it comes over by coroutine.
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

  // --- from control

  void accept(std::string ResumeToken);
  void answer(FinalAnswer NewAnswer);
  void redirect(RedirectCaller To);
  /// This connection reads the stream of another request.
  void join(std::shared_ptr<RelayEntry> Stream, std::uint64_t NextIndex);

  // --- from the upstream

  /// Adds the chunk expected next.
  void append(std::string Text);
  /// Whether the caller lags so far that reading should pause.
  bool isFull() const;
  /// Whether an answer that is not streamed grew past its bound.
  bool isTooLarge() const;
  /// Ends when something has changed; look again then.
  Task<void> changed() { return this->Changes.wait(); }
  void wakeAll() { this->Changes.notify(); }

  // --- to the caller

  /// What the caller's side should do first.
  struct Opening {
    bool Accepted = false;
    std::string ResumeToken;
    std::optional<FinalAnswer> Answer;
    std::optional<RedirectCaller> Redirect;
    std::shared_ptr<RelayEntry> Joined;
    std::uint64_t JoinedIndex = 0;
  };
  /// Waits for the acceptance, the final answer or a join.
  Task<Opening> opening();

  /// Makes \p Writer the one that reads; whoever read before stops. False:
  /// chunks before \p Index are wanted that are not kept any more.
  bool attach(std::uint64_t Writer, std::uint64_t Index);
  /// True when it was the one that read.
  bool detach(std::uint64_t Writer);
  bool hasWriter() const { return this->Writer != 0; }

  /// What a writer sends next.
  struct Delivery {
    std::string Events; ///< Formatted; may be empty.
    std::uint64_t NextIndex = 0;
    bool Replaced = false; ///< Another connection reads now; stop.
    bool Last = false;     ///< Events end with the final one.
  };
  /// Waits for something to send from \p Index on. All before it counts as
  /// delivered.
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
