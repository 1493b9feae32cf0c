#include "app/RelayTable.h"

#include <algorithm>

namespace banyanpick {

std::uint64_t RelayTable::takeId() {
  const std::uint64_t Result = this->NextId;
  this->NextId += this->IdStep;
  return Result;
}

std::shared_ptr<RelayEntry> RelayTable::open(CallerRequest Req) {
  Req.Head.Id = RequestId(this->takeId());
  auto Result =
      this->add(Req.Head.Id, Req.Head.Streamed, std::move(Req.Content), 0);
  this->Events.send(RequestArrived{std::move(Req.Head)});
  return Result;
}

std::shared_ptr<RelayEntry> RelayTable::openResume(std::string TeamKey,
                                                   std::string ResumeToken,
                                                   std::uint64_t NextIndex) {
  const RequestId Id(this->takeId());
  auto Result = this->add(Id, true, {}, NextIndex);
  this->Events.send(
      ResumeRequest{Id, std::move(TeamKey), std::move(ResumeToken), NextIndex});
  return Result;
}

std::shared_ptr<RelayEntry> RelayTable::adopt(const RequestId &Id,
                                              std::uint64_t NextIndex) {
  auto Result = this->add(Id, true, {}, NextIndex);
  Result->accept({});
  return Result;
}

std::shared_ptr<RelayEntry> RelayTable::find(const RequestId &Id) const {
  const auto Found = this->Entries.find(Id);
  return Found == this->Entries.end() ? nullptr : Found->second;
}

std::size_t RelayTable::unsentAnswers() const {
  return static_cast<std::size_t>(std::count_if(
      this->Entries.begin(), this->Entries.end(), [](const auto &Item) {
        const RelayEntry &Entry = *Item.second;
        return !Entry.isStreamed() || Entry.hasWriter();
      }));
}

void RelayTable::removeLater(const RequestId &Id) {
  net::co_spawn(this->Executor, this->removeAfterWait(Id), net::detached);
}

std::shared_ptr<RelayEntry> RelayTable::add(const RequestId &Id, bool Streamed,
                                            RequestContent Content,
                                            std::uint64_t FirstIndex) {
  auto Result = std::make_shared<RelayEntry>(this->Executor, Id, Streamed,
                                             std::move(Content), FirstIndex,
                                             this->Limits);
  this->Entries[Id] = Result;
  return Result;
}

Task<void> RelayTable::removeAfterWait(RequestId Id) {
  net::steady_timer Timer(this->Executor, this->KeepEnded);
  ErrorCode Ignored;
  co_await Timer.async_wait(into(Ignored));
  const auto Found = this->find(Id);
  if (Found && !Found->hasWriter())
    this->remove(Id);
}

} // namespace banyanpick
