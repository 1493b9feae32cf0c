#include "plugins/requests/RunningRequests.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// Returns the time at which the request ends at the latest.
Time expiryOf(const RunningRequest &Entry) {
  return std::min(Entry.Original.Deadline, Entry.AbandonAt.value_or(Never));
}

} // namespace

RunningRequest &RunningRequests::add(RunningRequest Admitted) {
  const RequestId Id = Admitted.Original.id();
  this->Expiries.emplace(expiryOf(Admitted), Id);
  if (!Admitted.ResumeToken.empty())
    this->ByResumeToken.emplace(Admitted.ResumeToken, Id);
  return this->ById.emplace(Id, std::move(Admitted)).first->second;
}

void RunningRequests::remove(const RequestId &Id) {
  const auto Found = this->ById.find(Id);
  if (Found == this->ById.end())
    return;
  RunningRequest &Removed = Found->second;
  if (const Attempt *Running = Removed.attempt())
    this->ByAttempt.erase(Running->Id);
  this->ByResumeToken.erase(Removed.ResumeToken);
  this->Expiries.erase({expiryOf(Removed), Id});
  this->ById.erase(Found);
}

RunningRequest *RunningRequests::find(const RequestId &Id) {
  const auto Found = this->ById.find(Id);
  return Found == this->ById.end() ? nullptr : &Found->second;
}

const RunningRequest *RunningRequests::find(const RequestId &Id) const {
  const auto Found = this->ById.find(Id);
  return Found == this->ById.end() ? nullptr : &Found->second;
}

RunningRequest *RunningRequests::findByAttempt(const AttemptId &Id) {
  const auto Found = this->ByAttempt.find(Id);
  return Found == this->ByAttempt.end() ? nullptr : this->find(Found->second);
}

const RunningRequest *
RunningRequests::findByAttempt(const AttemptId &Id) const {
  const auto Found = this->ByAttempt.find(Id);
  return Found == this->ByAttempt.end() ? nullptr : this->find(Found->second);
}

std::vector<AttemptId> RunningRequests::attemptsOn(const UpstreamId &Id,
                                                   Incarnation Life) const {
  std::vector<AttemptId> Result;
  for (const auto &[Request, Entry] : this->ById) {
    const Attempt *Running = Entry.attempt();
    if (Running && Running->Upstream == Id && Running->UpstreamLife == Life)
      Result.push_back(Running->Id);
  }
  return Result;
}

RunningRequest *RunningRequests::findByToken(const std::string &ResumeToken) {
  const auto Found = this->ByResumeToken.find(ResumeToken);
  return Found == this->ByResumeToken.end() ? nullptr
                                            : this->find(Found->second);
}

void RunningRequests::setAttempt(RunningRequest &Entry, Attempt Started) {
  const AttemptId Id = Started.Id;
  this->setPhase(Entry, OnUpstream{std::move(Started)});
  this->ByAttempt.emplace(Id, Entry.Original.id());
}

void RunningRequests::setPhase(RunningRequest &Entry, RequestPhase Phase) {
  if (const Attempt *Running = Entry.attempt())
    this->ByAttempt.erase(Running->Id);
  Entry.Phase = std::move(Phase);
}

void RunningRequests::setAbandonAt(RunningRequest &Entry,
                                   std::optional<Time> When) {
  this->Expiries.erase({expiryOf(Entry), Entry.Original.id()});
  Entry.AbandonAt = When;
  this->Expiries.emplace(expiryOf(Entry), Entry.Original.id());
}

std::vector<RequestId> RunningRequests::expired(Time Now) const {
  std::vector<RequestId> Result;
  for (const auto &[When, Id] : this->Expiries) {
    if (When > Now)
      break;
    Result.push_back(Id);
  }
  return Result;
}

Time RunningRequests::nextExpiry() const {
  return this->Expiries.empty() ? Never : this->Expiries.begin()->first;
}

std::vector<RequestId> RunningRequests::ids() const {
  std::vector<RequestId> Result;
  Result.reserve(this->ById.size());
  for (const auto &[Id, Running] : this->ById)
    Result.push_back(Id);
  return Result;
}

} // namespace banyanpick
