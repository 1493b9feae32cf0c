#include "plugins/requests/RunningRequests.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// When the request ends at the latest.
Time limitOf(const RunningRequest &Entry) {
  return std::min(Entry.Original.Deadline, Entry.AbandonAt.value_or(Never));
}

} // namespace

RunningRequest &RunningRequests::add(RunningRequest Admitted) {
  const RequestId Id = Admitted.Original.id();
  this->Limits.emplace(limitOf(Admitted), Id);
  if (!Admitted.ResumeToken.empty())
    this->Tokens.emplace(Admitted.ResumeToken, Id);
  return this->Requests.emplace(Id, std::move(Admitted)).first->second;
}

void RunningRequests::remove(const RequestId &Id) {
  const auto Found = this->Requests.find(Id);
  if (Found == this->Requests.end())
    return;
  RunningRequest &Removed = Found->second;
  if (const Attempt *Running = Removed.attempt())
    this->Attempts.erase(Running->Id);
  this->Tokens.erase(Removed.ResumeToken);
  this->Limits.erase({limitOf(Removed), Id});
  this->Requests.erase(Found);
}

RunningRequest *RunningRequests::find(const RequestId &Id) {
  const auto Found = this->Requests.find(Id);
  return Found == this->Requests.end() ? nullptr : &Found->second;
}

const RunningRequest *RunningRequests::find(const RequestId &Id) const {
  const auto Found = this->Requests.find(Id);
  return Found == this->Requests.end() ? nullptr : &Found->second;
}

RunningRequest *RunningRequests::findByAttempt(const AttemptId &Id) {
  const auto Found = this->Attempts.find(Id);
  return Found == this->Attempts.end() ? nullptr : this->find(Found->second);
}

const RunningRequest *
RunningRequests::findByAttempt(const AttemptId &Id) const {
  const auto Found = this->Attempts.find(Id);
  return Found == this->Attempts.end() ? nullptr : this->find(Found->second);
}

std::vector<AttemptId> RunningRequests::attemptsOn(const UpstreamId &Id,
                                                   Incarnation Life) const {
  std::vector<AttemptId> Result;
  for (const auto &[Request, Each] : this->Requests) {
    const Attempt *Running = Each.attempt();
    if (Running && Running->Upstream == Id && Running->UpstreamLife == Life)
      Result.push_back(Running->Id);
  }
  return Result;
}

RunningRequest *RunningRequests::findByToken(const std::string &ResumeToken) {
  const auto Found = this->Tokens.find(ResumeToken);
  return Found == this->Tokens.end() ? nullptr : this->find(Found->second);
}

void RunningRequests::setAttempt(RunningRequest &Entry, Attempt Started) {
  const AttemptId Id = Started.Id;
  this->setPhase(Entry, OnUpstream{std::move(Started)});
  this->Attempts.emplace(Id, Entry.Original.id());
}

void RunningRequests::setPhase(RunningRequest &Entry, RequestPhase Phase) {
  if (const Attempt *Running = Entry.attempt())
    this->Attempts.erase(Running->Id);
  Entry.Phase = std::move(Phase);
}

void RunningRequests::setAbandonAt(RunningRequest &Entry,
                                   std::optional<Time> When) {
  this->Limits.erase({limitOf(Entry), Entry.Original.id()});
  Entry.AbandonAt = When;
  this->Limits.emplace(limitOf(Entry), Entry.Original.id());
}

std::vector<RequestId> RunningRequests::due(Time Now) const {
  std::vector<RequestId> Result;
  for (const auto &[When, Id] : this->Limits) {
    if (When > Now)
      break;
    Result.push_back(Id);
  }
  return Result;
}

Time RunningRequests::nextDue() const {
  return this->Limits.empty() ? Never : this->Limits.begin()->first;
}

std::vector<RequestId> RunningRequests::ids() const {
  std::vector<RequestId> Result;
  Result.reserve(this->Requests.size());
  for (const auto &[Id, Running] : this->Requests)
    Result.push_back(Id);
  return Result;
}

} // namespace banyanpick
