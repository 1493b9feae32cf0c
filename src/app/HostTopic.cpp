#include "app/HostTopic.h"

#include "app/HostRecord.h"
#include "app/QuarantineRecord.h"
#include "base/EventNumbers.h"
#include "logging/LineLog.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace banyanpick {

namespace {

constexpr std::string_view AnnouncementMetric = "announcements";
constexpr std::string_view QuarantineMetric = "quarantine_records";

} // namespace

Task<void> HostTopic::announce(bool Present) {
  const Identity &Self = this->Context.Self;
  KeyedRecord Record = writeHostRecord(
      {Self.Host, Self.Zone, Self.Callers, Self.Peers, false, Self.Processor});
  if (Present) {
    this->IsAnnounced = true;
    co_await this->append(std::move(Record), AnnouncementMetric);
    co_return;
  }
  if (!this->IsAnnounced)
    co_return;
  // A failed withdrawal is not retried, because peers detect the death of a
  // stopped host.
  Record.Value.reset();
  co_await this->tryAppend(std::move(Record), AnnouncementMetric);
}

Task<void> HostTopic::readHosts() {
  const auto Records = co_await this->read("");
  if (!Records) {
    this->Context.Events.send(HostListReadFailed{});
    co_return;
  }
  HostListRead Read;
  for (const KeyedRecord &Record : *Records)
    if (auto Host = readHostRecord(Record))
      Read.Hosts.push_back(std::move(*Host));
  this->Context.Events.send(std::move(Read));
}

Task<void> HostTopic::storeQuarantine(StoreQuarantine Wanted) {
  co_await this->append(writeQuarantineRecord(Wanted), QuarantineMetric);
}

Task<std::optional<std::vector<KeyedRecord>>>
HostTopic::read(std::string After) {
  std::vector<KeyedRecord> All;
  for (bool More = true; More;) {
    NewestResult Result = co_await this->Store.newest(StoreTopic::Hosts, After);
    if (std::holds_alternative<StoreFailure>(Result))
      co_return std::nullopt;
    NewestPage &Page = std::get<NewestPage>(Result);
    More = Page.More && !Page.Records.empty();
    if (More)
      After = Page.Records.back().Key;
    std::ranges::move(Page.Records, std::back_inserter(All));
  }
  co_return All;
}

Task<void> HostTopic::readQuarantines() {
  if (std::exchange(this->HasReadQuarantines, true))
    co_return;
  const std::string First(QuarantineKeyPrefix);
  Duration Retry = this->Context.Values.Engines.InitialRetryDelay;
  auto Records = co_await this->read(First);
  while (!Records) {
    co_await this->pause(Retry);
    Records = co_await this->read(First);
  }
  this->takeQuarantines(*Records);
}

void HostTopic::takeQuarantines(std::span<const KeyedRecord> Records) {
  QuarantinesRead Read;
  for (const KeyedRecord &Record : Records) {
    if (!isQuarantineRecord(Record))
      continue;
    if (const auto Content = readQuarantineRecord(Record))
      Read.Contents.push_back(*Content);
    else
      writeLogLine(logEvent(events::StoredQuarantineUnreadable)
                       .with("key", Record.Key)
                       .with("offset", Record.Offset)
                       .build(),
                   this->Context.Clock.now());
  }
  if (!Read.Contents.empty())
    this->Context.Events.send(GatewayEvent(std::move(Read)));
}

Task<void> HostTopic::append(KeyedRecord Record, std::string_view Metric) {
  Duration Retry = this->Context.Values.Engines.InitialRetryDelay;
  while (!co_await this->tryAppend(Record, Metric))
    co_await this->pause(Retry);
}

Task<bool> HostTopic::tryAppend(KeyedRecord Record, std::string_view Metric) {
  const StoreAppendResult Result =
      co_await this->Store.append(StoreTopic::Hosts, std::move(Record));
  const bool IsAccepted = std::holds_alternative<AppendAccepted>(Result);
  this->Context.HostMetrics.record({RecordMeasurement::Kind::Count, Metric,
                                    IsAccepted ? "taken" : "failed", 1});
  co_return IsAccepted;
}

Task<void> HostTopic::pause(Duration &Retry) const {
  net::steady_timer Timer(this->Executor, Retry);
  Retry = std::min(Retry * 2, this->Context.Values.Engines.MaxRetryDelay);
  ErrorCode Ignored;
  co_await Timer.async_wait(into(Ignored));
}

} // namespace banyanpick
