#include "plugins/fleet/WorkLedger.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// A report shows an attempt when it was measured this much after sending.
constexpr Duration DispatchTravel = milliseconds(10);

} // namespace

void WorkLedger::add(const Request &Asked, const Attempt &Started) {
  const std::uint64_t Tokens = Asked.Head.PromptTokens + Asked.OutputTokens;
  this->Attempts[Started.Id] = {Started.Upstream, Started.SentAt,
                                Started.UncachedTokens, Tokens};
  this->ByUpstream[Started.Upstream].push_back(Started.Id);
  OwnWork &Sum = this->Own[Started.Upstream];
  Sum.UnreportedPrefillTokens += Started.UncachedTokens;
  Sum.Tokens += Tokens;
  ++Sum.Requests;
}

void WorkLedger::noteFirstToken(const AttemptId &Id) {
  const auto Found = this->Attempts.find(Id);
  if (Found != this->Attempts.end())
    this->settlePrefill(Found->second);
}

void WorkLedger::remove(const AttemptId &Id) {
  const auto Found = this->Attempts.find(Id);
  if (Found == this->Attempts.end())
    return;
  Running Ended = Found->second;
  this->settlePrefill(Ended);
  OwnWork &Sum = this->Own[Ended.On];
  Sum.Tokens -= Ended.Tokens;
  --Sum.Requests;
  std::erase(this->ByUpstream[Ended.On], Id);
  if (Sum.Requests == 0) {
    this->Own.erase(Ended.On);
    this->ByUpstream.erase(Ended.On);
  }
  this->Attempts.erase(Found);
}

void WorkLedger::noteReport(const UpstreamId &On, Time MeasuredAt) {
  const auto Found = this->ByUpstream.find(On);
  if (Found == this->ByUpstream.end())
    return;
  for (const AttemptId &Id : Found->second) {
    Running &Each = this->Attempts.at(Id);
    if (Each.SentAt + DispatchTravel <= MeasuredAt)
      this->settlePrefill(Each);
  }
}

std::vector<UpstreamId>
WorkLedger::takePeerWork(const HostId &From, const WorkSent &Work, Time Now) {
  PeerWord &Word = this->Words[From];
  std::vector<UpstreamId> Concerned = this->forget(Word);
  Word = {Now, Work.Items};
  for (const WorkSent::Item &Each : Word.Items) {
    PeerWork &Sum = this->Peers[Each.Engine];
    Sum.PrefillTokens += Each.PrefillTokens;
    Sum.Requests += Each.Requests;
    Concerned.push_back(Each.Engine);
  }
  return Concerned;
}

std::vector<UpstreamId> WorkLedger::dropPeerWorkBefore(Time Oldest) {
  std::vector<UpstreamId> Concerned;
  std::erase_if(this->Words, [&](const auto &Each) {
    if (Each.second.At >= Oldest)
      return false;
    const auto Forgotten = this->forget(Each.second);
    Concerned.insert(Concerned.end(), Forgotten.begin(), Forgotten.end());
    return true;
  });
  return Concerned;
}

OwnWork WorkLedger::own(const UpstreamId &On) const {
  const auto Found = this->Own.find(On);
  return Found == this->Own.end() ? OwnWork{} : Found->second;
}

PeerWork WorkLedger::ofPeers(const UpstreamId &On) const {
  const auto Found = this->Peers.find(On);
  return Found == this->Peers.end() ? PeerWork{} : Found->second;
}

WorkSent WorkLedger::toTell(std::size_t Most) const {
  WorkSent Result;
  for (const auto &[On, Sum] : this->Own)
    Result.Items.push_back({On, Sum.UnreportedPrefillTokens, Sum.Requests});
  const auto IsMore = [](const WorkSent::Item &First,
                         const WorkSent::Item &Second) {
    return std::tie(Second.PrefillTokens, Second.Requests, First.Engine) <
           std::tie(First.PrefillTokens, First.Requests, Second.Engine);
  };
  std::ranges::sort(Result.Items, IsMore);
  if (Result.Items.size() > Most)
    Result.Items.resize(Most);
  return Result;
}

void WorkLedger::settlePrefill(Running &Of) {
  this->Own[Of.On].UnreportedPrefillTokens -= Of.PrefillTokens;
  Of.PrefillTokens = 0;
}

std::vector<UpstreamId> WorkLedger::forget(const PeerWord &Word) {
  std::vector<UpstreamId> Concerned;
  for (const WorkSent::Item &Each : Word.Items) {
    PeerWork &Sum = this->Peers[Each.Engine];
    Sum.PrefillTokens -= Each.PrefillTokens;
    Sum.Requests -= Each.Requests;
    if (Sum.PrefillTokens == 0 && Sum.Requests == 0)
      this->Peers.erase(Each.Engine);
    Concerned.push_back(Each.Engine);
  }
  return Concerned;
}

} // namespace banyanpick
