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
                             FollowOptions Options, Listener CallbacksGiven)
    : Executor(ExecutorGiven), Store(Store), Topic(Topic), Options(Options),
      Callbacks(std::move(CallbacksGiven)), Timer(ExecutorGiven) {}

void KeyedFollower::start() {
  net::co_spawn(
      this->Executor,
      [Self = this->shared_from_this()]() { return Self->run(); },
      net::detached);
}

void KeyedFollower::setFollowing(bool Enabled) {
  this->IsFollowing = Enabled;
  if (Enabled)
    this->Timer.cancel();
}

Task<void> KeyedFollower::run() {
  Duration RetryDelay = this->Options.InitialRetryDelay;
  for (;;) {
    while (!this->IsFollowing)
      co_await this->sleep(std::chrono::hours(1));
    const auto StartedAt = std::chrono::steady_clock::now();
    const bool Succeeded = co_await this->readOnce();
    if (!Succeeded) {
      co_await this->sleep(RetryDelay);
      RetryDelay = std::min(RetryDelay * 2, this->Options.MaxRetryDelay);
      continue;
    }
    RetryDelay = this->Options.InitialRetryDelay;
    const auto Elapsed = std::chrono::duration_cast<Duration>(
        std::chrono::steady_clock::now() - StartedAt);
    if (Elapsed < this->Options.MinInterval)
      co_await this->sleep(this->Options.MinInterval - Elapsed);
  }
}

Task<bool> KeyedFollower::readOnce() {
  try {
    if (this->HasListed)
      co_return co_await this->readNext();
    co_return co_await this->list();
  } catch (const std::exception &Failure) {
    // The follower must not end, and what it has missed is in the next listing.
    this->HasListed = false;
    this->reportFailure({StoreFailure::Why::Malformed, Failure.what()});
  }
  co_return false;
}

Task<bool> KeyedFollower::list() {
  std::vector<KeyedRecord> AllRecords;
  std::optional<LogOffset> UpTo;
  for (bool More = true; More;) {
    std::string After =
        AllRecords.empty() ? std::string() : AllRecords.back().Key;
    NewestResult Result =
        co_await this->Store.newest(this->Topic, std::move(After));
    if (const auto *Failure = std::get_if<StoreFailure>(&Result)) {
      this->reportFailure(*Failure);
      co_return false;
    }
    NewestPage &Page = std::get<NewestPage>(Result);
    // The pages are not one snapshot. Reading continues at the end offset of
    // the first page, so that records written during the listing are included.
    if (!UpTo)
      UpTo = Page.EndOffset;
    More = Page.More && !Page.Records.empty();
    const bool IsRepeated = More && !AllRecords.empty() &&
                            Page.Records.back().Key == AllRecords.back().Key;
    if (IsRepeated) {
      this->reportFailure(
          {StoreFailure::Why::Malformed, "the same page came twice"});
      co_return false;
    }
    std::move(Page.Records.begin(), Page.Records.end(),
              std::back_inserter(AllRecords));
  }
  this->HasListed = true;
  this->NextOffset = *UpTo;
  this->reportReachable();
  this->Callbacks.OnRecords(AllRecords, true, this->NextOffset);
  co_return true;
}

Task<bool> KeyedFollower::readNext() {
  ReadResult Result = co_await this->Store.read(this->Topic, this->NextOffset,
                                                this->Options.Wait);
  co_return match(
      Result,
      [&](const RecordsRead &Read) {
        this->NextOffset = std::max(this->NextOffset, Read.NextOffset);
        this->reportReachable();
        this->Callbacks.OnRecords(Read.Records, false, this->NextOffset);
        return true;
      },
      [&](const RecordsExpired &) {
        this->HasListed = false;
        return true;
      },
      [&](const StoreFailure &Failure) {
        this->reportFailure(Failure);
        return false;
      });
}

Task<void> KeyedFollower::sleep(Duration Length) {
  this->Timer.expires_after(Length);
  ErrorCode Ignored;
  co_await this->Timer.async_wait(into(Ignored));
}

void KeyedFollower::reportFailure(const StoreFailure &Failure) {
  this->Reachable = false;
  this->Callbacks.OnReachable(false, Failure.Message);
}

void KeyedFollower::reportReachable() {
  if (this->Reachable == true)
    return;
  this->Reachable = true;
  this->Callbacks.OnReachable(true, "");
}

} // namespace banyanpick
