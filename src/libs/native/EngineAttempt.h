/// \file
/// One try of a completion on a model engine, from dispatch to its outcome.
#pragma once

#include "http/ClientStream.h"
#include "kernel/Action.h"
#include "native/PlatformSettings.h"
#include "native/StreamAssembler.h"

namespace banyanpick {

/// Where the chunks of a try go, in order and without gaps.
class ChunkSink {
public:
  virtual ~ChunkSink() = default;
  /// Takes the next chunk; waits while the caller lags too far behind.
  virtual Task<void> take(std::uint64_t Index, std::string Text) = 0;
};

/// Used on one thread.
class EngineAttempt {
public:
  EngineAttempt(const net::any_io_executor &Executor, DispatchAttempt Dispatch,
                const HostId &Self, const PlatformSettings &Values);

  /// Runs the try or attaches to a running one. \p Prompt must outlive it.
  Task<AttemptOutcome> run(std::string_view Prompt, ChunkSink &Sink, Time Now);

  /// Ends the connection; run() ends soon, its outcome means nothing then.
  void cancel();
  bool isCancelled() const { return this->Cancelled; }

  /// The id under which the engine knows the try.
  const AttemptId &streamId() const { return this->Stream; }
  /// Chunks dropped as late, crossed or repeated.
  std::uint64_t dropped() const { return this->Assembler.dropped(); }

private:
  ClientRequest requestFor(std::string_view Prompt) const;
  Task<AttemptOutcome> readRefusal();
  Task<AttemptOutcome> readStream(ChunkSink &Sink);
  /// The outcome when the event decides it.
  Task<std::optional<AttemptOutcome>> handleEvent(const ServerEvent &Incoming,
                                                  ChunkSink &Sink);
  Task<AttemptOutcome> broken(ClientFailure Failure);

  DispatchAttempt Dispatch;
  HostId Self;
  const PlatformSettings &Values;
  AttemptId Stream;
  StreamAssembler Assembler;
  ClientStream Link;
  bool Cancelled = false;
};

/// The headers that every try carries.
std::vector<std::pair<std::string, std::string>>
attemptHeaders(const DispatchAttempt &Dispatch, const HostId &Self);

/// What an answer of an upstream other than 200 means: it refused before it
/// started, it failed, or nobody knows.
AttemptOutcome outcomeOfStatus(unsigned Status, std::string_view Body,
                               std::uint64_t NextIndex);

} // namespace banyanpick
