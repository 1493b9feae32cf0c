/// \file
/// One attempt of a completion on a model engine.
#pragma once

#include "http/ClientStream.h"
#include "kernel/Action.h"
#include "native/PlatformSettings.h"
#include "native/StreamAssembler.h"

namespace banyanpick {

/// Receives the chunks of an attempt, in order and without gaps.
class ChunkSink {
public:
  virtual ~ChunkSink() = default;
  /// Takes the next chunk. Waits while the caller lags too far behind.
  virtual Task<void> take(std::uint64_t Index, std::string Text) = 0;
};

/// Sends a completion to an engine, or attaches to a running one, and reads its
/// stream until the outcome is known. Used on one thread.
class EngineAttempt {
public:
  EngineAttempt(const net::any_io_executor &Executor, DispatchAttempt Dispatch,
                const HostId &Self, const PlatformSettings &Values);

  /// Runs the attempt or attaches to a running one. \p Prompt must outlive the
  /// attempt.
  Task<AttemptOutcome> run(std::string_view Prompt, ChunkSink &Sink, Time Now);

  /// Closes the connection, which ends run(). The outcome of run() is
  /// meaningless then.
  void cancel();
  bool isCancelled() const { return this->Cancelled; }

  /// Returns the id under which the engine knows the attempt.
  const AttemptId &streamId() const { return this->Stream; }
  /// Returns the number of chunks dropped because they were late, repeated or
  /// of another attempt.
  std::uint64_t dropped() const { return this->Assembler.dropped(); }

private:
  ClientRequest requestFor(std::string_view Prompt) const;
  Task<AttemptOutcome> readRefusal();
  Task<AttemptOutcome> readStream(ChunkSink &Sink);
  /// Returns the outcome if the event ends the attempt.
  Task<std::optional<AttemptOutcome>> handleEvent(const ServerEvent &Incoming,
                                                  ChunkSink &Sink);
  /// Returns the outcome of a broken connection, and whether the engine died.
  Task<AttemptOutcome> broken(ClientFailure Failure);

  DispatchAttempt Dispatch;
  HostId Self;
  const PlatformSettings &Values;
  AttemptId Stream;
  StreamAssembler Assembler;
  ClientStream Link;
  bool Cancelled = false;
};

/// Returns the headers that every attempt carries.
std::vector<std::pair<std::string, std::string>>
attemptHeaders(const DispatchAttempt &Dispatch, const HostId &Self);

/// Returns the outcome for an answer with a status other than 200: the upstream
/// refused the attempt before starting it, the attempt failed, or its outcome
/// is unknown.
AttemptOutcome outcomeOfStatus(unsigned Status, std::string_view Body,
                               std::uint64_t NextIndex);

} // namespace banyanpick
