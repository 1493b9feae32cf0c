/// \file
/// Questions that callers and operators wait to have answered by control.
#pragma once

#include "base/Time.h"
#include "http/Asio.h"

#include <map>
#include <optional>

namespace banyanpick {

/// Used on one thread, that of its executor.
template <class Answer> class QuestionTable {
public:
  explicit QuestionTable(const net::any_io_executor &Executor)
      : Executor(Executor) {}

  /// Waits for the answer to the question of that number; nothing when none
  /// comes within \p Timeout. The question is open from the call on.
  Task<std::optional<Answer>> wait(std::uint64_t Id, Duration Timeout) {
    Question &Open =
        this->Questions.try_emplace(Id, this->Executor).first->second;
    Open.Timer.expires_after(Timeout);
    ErrorCode Ignored;
    co_await Open.Timer.async_wait(into(Ignored));
    std::optional<Answer> Result = std::move(Open.Given);
    this->Questions.erase(Id);
    co_return Result;
  }

  /// Ignored when nobody waits any more.
  void answer(std::uint64_t Id, Answer Given) {
    const auto Found = this->Questions.find(Id);
    if (Found == this->Questions.end() || Found->second.Given)
      return;
    Found->second.Given = std::move(Given);
    Found->second.Timer.cancel();
  }

private:
  struct Question {
    explicit Question(const net::any_io_executor &Executor) : Timer(Executor) {}

    net::steady_timer Timer;
    std::optional<Answer> Given;
  };

  net::any_io_executor Executor;
  std::map<std::uint64_t, Question> Questions;
};

} // namespace banyanpick
