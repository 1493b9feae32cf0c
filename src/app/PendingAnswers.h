/// \file
/// Requests of callers and operators that wait for an answer from control.
#pragma once

#include "base/Time.h"
#include "http/Asio.h"

#include <map>
#include <optional>

namespace banyanpick {

/// Matches answers with the coroutines that wait for them. Used on the thread
/// of its executor only.
template <class Answer> class PendingAnswers {
public:
  explicit PendingAnswers(const net::any_io_executor &Executor)
      : Executor(Executor) {}

  /// Waits for the answer to request \p Id. Returns nothing when none arrives
  /// within \p Timeout. Answers are accepted from the call on.
  Task<std::optional<Answer>> wait(std::uint64_t Id, Duration Timeout) {
    PendingAnswer &Pending =
        this->Entries.try_emplace(Id, this->Executor).first->second;
    Pending.Timer.expires_after(Timeout);
    ErrorCode Ignored;
    co_await Pending.Timer.async_wait(into(Ignored));
    std::optional<Answer> Result = std::move(Pending.Value);
    this->Entries.erase(Id);
    co_return Result;
  }

  /// Delivers an answer. Ignored when nobody waits for it.
  void answer(std::uint64_t Id, Answer Value) {
    const auto Found = this->Entries.find(Id);
    if (Found == this->Entries.end() || Found->second.Value)
      return;
    Found->second.Value = std::move(Value);
    Found->second.Timer.cancel();
  }

private:
  struct PendingAnswer {
    explicit PendingAnswer(const net::any_io_executor &Executor)
        : Timer(Executor) {}

    net::steady_timer Timer;
    std::optional<Answer> Value;
  };

  net::any_io_executor Executor;
  std::map<std::uint64_t, PendingAnswer> Entries;
};

} // namespace banyanpick
