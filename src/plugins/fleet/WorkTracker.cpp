#include "plugins/fleet/WorkTracker.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// A load report includes an attempt if it was measured at least this long
/// after the attempt was sent.
constexpr Duration DispatchTravel = milliseconds(10);

} // namespace

void WorkTracker::add(const Request &ClientRequest, const Attempt &Started) {
  const std::uint64_t Tokens =
      ClientRequest.Head.PromptTokens + ClientRequest.OutputTokens;
  this->Attempts[Started.Id] = {Started.Upstream, Started.SentAt,
                                Started.UncachedTokens, Tokens};
  this->ByUpstream[Started.Upstream].push_back(Started.Id);
  OwnWork &Sum = this->Own[Started.Upstream];
  Sum.UnreportedPrefillTokens += Started.UncachedTokens;
  Sum.Tokens += Tokens;
  ++Sum.Requests;
}

void WorkTracker::noteFirstToken(const AttemptId &Id) {
  const auto Found = this->Attempts.find(Id);
  if (Found != this->Attempts.end())
    this->settlePrefill(Found->second);
}

void WorkTracker::remove(const AttemptId &Id) {
  const auto Found = this->Attempts.find(Id);
  if (Found == this->Attempts.end())
    return;
  RunningAttempt Ended = Found->second;
  this->settlePrefill(Ended);
  OwnWork &Sum = this->Own[Ended.Target];
  Sum.Tokens -= Ended.Tokens;
  --Sum.Requests;
  std::erase(this->ByUpstream[Ended.Target], Id);
  if (Sum.Requests == 0) {
    this->Own.erase(Ended.Target);
    this->ByUpstream.erase(Ended.Target);
  }
  this->Attempts.erase(Found);
}

void WorkTracker::noteReport(const UpstreamId &Target, Time MeasuredAt) {
  const auto Found = this->ByUpstream.find(Target);
  if (Found == this->ByUpstream.end())
    return;
  for (const AttemptId &Id : Found->second) {
    RunningAttempt &Running = this->Attempts.at(Id);
    if (Running.SentAt + DispatchTravel <= MeasuredAt)
      this->settlePrefill(Running);
  }
}

std::vector<UpstreamId>
WorkTracker::applyPeerWork(const HostId &From, const WorkSent &Work, Time Now) {
  PeerReport &Report = this->PeerReports[From];
  std::vector<UpstreamId> Affected = this->subtractReport(Report);
  Report = {Now, Work.Items};
  for (const WorkSent::Item &Item : Report.Items) {
    PeerWork &Sum = this->Peers[Item.Engine];
    Sum.PrefillTokens += Item.PrefillTokens;
    Sum.Requests += Item.Requests;
    Affected.push_back(Item.Engine);
  }
  return Affected;
}

std::vector<UpstreamId> WorkTracker::expirePeerWork(Time Oldest) {
  std::vector<UpstreamId> Affected;
  std::erase_if(this->PeerReports, [&](const auto &Entry) {
    if (Entry.second.ReceivedAt >= Oldest)
      return false;
    const auto Expired = this->subtractReport(Entry.second);
    Affected.insert(Affected.end(), Expired.begin(), Expired.end());
    return true;
  });
  return Affected;
}

OwnWork WorkTracker::own(const UpstreamId &Target) const {
  const auto Found = this->Own.find(Target);
  return Found == this->Own.end() ? OwnWork{} : Found->second;
}

PeerWork WorkTracker::ofPeers(const UpstreamId &Target) const {
  const auto Found = this->Peers.find(Target);
  return Found == this->Peers.end() ? PeerWork{} : Found->second;
}

WorkSent WorkTracker::ownReport(std::size_t MaxUpstreams) const {
  WorkSent Result;
  for (const auto &[Target, Sum] : this->Own)
    Result.Items.push_back({Target, Sum.UnreportedPrefillTokens, Sum.Requests});
  const auto HasMoreWork = [](const WorkSent::Item &First,
                              const WorkSent::Item &Second) {
    return std::tie(Second.PrefillTokens, Second.Requests, First.Engine) <
           std::tie(First.PrefillTokens, First.Requests, Second.Engine);
  };
  std::ranges::sort(Result.Items, HasMoreWork);
  if (Result.Items.size() > MaxUpstreams)
    Result.Items.resize(MaxUpstreams);
  return Result;
}

void WorkTracker::settlePrefill(RunningAttempt &Running) {
  this->Own[Running.Target].UnreportedPrefillTokens -= Running.PrefillTokens;
  Running.PrefillTokens = 0;
}

std::vector<UpstreamId> WorkTracker::subtractReport(const PeerReport &Report) {
  std::vector<UpstreamId> Affected;
  for (const WorkSent::Item &Item : Report.Items) {
    PeerWork &Sum = this->Peers[Item.Engine];
    Sum.PrefillTokens -= Item.PrefillTokens;
    Sum.Requests -= Item.Requests;
    if (Sum.PrefillTokens == 0 && Sum.Requests == 0)
      this->Peers.erase(Item.Engine);
    Affected.push_back(Item.Engine);
  }
  return Affected;
}

} // namespace banyanpick
