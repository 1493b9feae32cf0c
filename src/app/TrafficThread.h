/// \file
/// One traffic thread with its connections, requests and attempts.
#pragma once

#include "app/AttemptTable.h"
#include "app/PendingAnswers.h"
#include "app/RelayTable.h"
#include "native/LogClient.h"

#include <thread>

namespace banyanpick {

/// Executes the actions that concern requests, upstreams and the platform.
class TrafficThread {
public:
  /// \p Index is the number of this thread among \p Count threads.
  TrafficThread(std::uint64_t Index, std::uint64_t Count,
                const TrafficContext &Context);
  ~TrafficThread();
  TrafficThread(const TrafficThread &) = delete;
  TrafficThread &operator=(const TrafficThread &) = delete;

  void start();
  /// Stops the thread and drops what runs on it. Must be called on another
  /// thread.
  void stop();

  net::io_context &context() { return this->Io; }

  /// Runs \p Callback on the thread. Thread-safe.
  template <class Function> void post(Function Callback) {
    net::post(this->Io, std::move(Callback));
  }

  // --- called on this thread only

  void perform(AcceptRequest Wanted);
  void perform(AnswerRequest Wanted);
  void perform(RedirectCaller Wanted);
  void perform(DispatchAttempt Wanted);
  void perform(CancelAttempt Wanted) {
    this->Attempts.cancel(std::move(Wanted));
  }
  void perform(AnswerResolve Wanted);
  void perform(AnswerOperator Wanted);
  void perform(PollLoad Wanted);
  void perform(PollCacheEvents Wanted);
  void perform(TakeHold Wanted);
  void perform(ReleaseHold Wanted);
  void perform(OrderUpstream Wanted);
  void perform(ReadHostList Wanted);
  void perform(ReadLog Wanted);
  void perform(AppendToLog Wanted);

  RelayTable &relays() { return this->Relays; }
  PendingAnswers<AnswerResolve> &resolveAnswers() {
    return this->ResolveAnswers;
  }
  PendingAnswers<OperatorAnswer> &operatorAnswers() {
    return this->OperatorAnswers;
  }

private:
  /// Runs a call and sends the resulting event to control.
  void report(Task<Event> Call);
  Task<void> reportWhenDone(Task<Event> Call);
  Task<void> reportCacheEvents(PollCacheEvents Wanted);

  const TrafficContext &Context;
  net::io_context Io;
  net::executor_work_guard<net::io_context::executor_type> Work;
  RelayTable Relays;
  AttemptTable Attempts;
  PendingAnswers<AnswerResolve> ResolveAnswers;
  PendingAnswers<OperatorAnswer> OperatorAnswers;
  UpstreamClient Upstreams;
  LogClient Platform;
  std::thread Thread;
};

} // namespace banyanpick
