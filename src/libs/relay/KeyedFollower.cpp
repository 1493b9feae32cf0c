#include "relay/KeyedFollower.h"

#include "base/Visitor.h"

#include <algorithm>

namespace banyanpick {

std::string_view name(StoreTopic Topic) {
  switch (Topic) {
  case StoreTopic::Declarations:
    return "declarations";
  case StoreTopic::Engines:
    return "engines";
  case StoreTopic::Hosts:
    return "hosts";
  }
  return "unknown";
}

KeyedFollower::KeyedFollower(const net::any_io_executor &ExecutorGiven,
                             OrderedStore &Store, StoreTopic Topic,
                             FollowPace Pace, Listener TellGiven)
    : Executor(ExecutorGiven), Store(Store), Topic(Topic), Pace(Pace),
      Tell(std::move(TellGiven)), Timer(ExecutorGiven) {}

void KeyedFollower::start() {
  net::co_spawn(
      this->Executor,
      [Self = this->shared_from_this()]() { return Self->run(); },
      net::detached);
}

void KeyedFollower::follow(bool On) {
  this->Follows = On;
  if (On)
    this->Timer.cancel();
}

Task<void> KeyedFollower::run() {
  Duration Retry = this->Pace.RetryFirst;
  for (;;) {
    while (!this->Follows)
      co_await this->sleep(std::chrono::hours(1));
    const auto StartedAt = std::chrono::steady_clock::now();
    const bool Done =
        this->Listed ? co_await this->readOn() : co_await this->list();
    if (!Done) {
      co_await this->sleep(Retry);
      Retry = std::min(Retry * 2, this->Pace.RetryMost);
      continue;
    }
    Retry = this->Pace.RetryFirst;
    const auto Took = std::chrono::duration_cast<Duration>(
        std::chrono::steady_clock::now() - StartedAt);
    if (Took < this->Pace.LeastInterval)
      co_await this->sleep(this->Pace.LeastInterval - Took);
  }
}

Task<bool> KeyedFollower::list() {
  std::vector<KeyedRecord> All;
  std::optional<LogOffset> UpTo;
  for (bool More = true; More;) {
    std::string After = All.empty() ? std::string() : All.back().Key;
    NewestResult Result =
        co_await this->Store.newest(this->Topic, std::move(After));
    if (const auto *Failure = std::get_if<StoreFailure>(&Result)) {
      this->note(*Failure);
      co_return false;
    }
    NewestPage &Page = std::get<NewestPage>(Result);
    // Pages are no snapshot: what is written meanwhile is read from the end
    // that the first page saw.
    if (!UpTo)
      UpTo = Page.EndOffset;
    More = Page.More && !Page.Records.empty();
    std::move(Page.Records.begin(), Page.Records.end(),
              std::back_inserter(All));
  }
  this->Listed = true;
  this->NextOffset = *UpTo;
  this->noteReachable();
  this->Tell.OnRecords(All, true, this->NextOffset);
  co_return true;
}

Task<bool> KeyedFollower::readOn() {
  ReadResult Result =
      co_await this->Store.read(this->Topic, this->NextOffset, this->Pace.Wait);
  co_return match(
      Result,
      [&](const RecordsRead &Read) {
        this->NextOffset = std::max(this->NextOffset, Read.NextOffset);
        this->noteReachable();
        this->Tell.OnRecords(Read.Records, false, this->NextOffset);
        return true;
      },
      [&](const HistoryLost &) {
        this->Listed = false;
        return true;
      },
      [&](const StoreFailure &Failure) {
        this->note(Failure);
        return false;
      });
}

Task<void> KeyedFollower::sleep(Duration For) {
  this->Timer.expires_after(For);
  ErrorCode Ignored;
  co_await this->Timer.async_wait(into(Ignored));
}

void KeyedFollower::note(const StoreFailure &Failure) {
  this->Reachable = false;
  this->Tell.OnReachable(false, Failure.Message);
}

void KeyedFollower::noteReachable() {
  if (this->Reachable == true)
    return;
  this->Reachable = true;
  this->Tell.OnReachable(true, "");
}

} // namespace banyanpick
