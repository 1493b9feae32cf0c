#include "auto/log/LogBench.h"

#include "catalogue/KeyDigest.h"

#include <algorithm>

namespace banyanpick {

namespace {

const PluginRegistration Registration(
    {"probe",
     {"log"},
     [] { return std::vector<SettingDeclaration>(); },
     [] { return std::unique_ptr<Plugin>(std::make_unique<ProbePlugin>()); }});

Settings settingsWith(const std::map<std::string, std::string> &Values) {
  Settings Result = Settings::defaults(pluginSettings());
  for (const auto &[Place, Value] : Values) {
    const std::size_t Dot = Place.find('.');
    const std::string Problem =
        Result.set(Place.substr(0, Dot), Place.substr(Dot + 1), Value);
    if (!Problem.empty())
      throw Error(ErrorKind::BadInput, Problem, "fix the test");
  }
  return Result;
}

} // namespace

LogRead LogServiceModel::read(LogOffset From) const {
  LogRead Result{{}, From, this->end(), this->Start, this->end()};
  for (LogOffset At = std::max(From, this->Start); At < this->end(); ++At) {
    std::uint32_t Position = 0;
    for (const LogRecord &Record : this->Appends[At - this->Start])
      Result.Records.push_back({At, Position++, Record});
  }
  return Result;
}

void ProbePlugin::initialize(PluginContext &Context) {
  this->Self = Context.self();
  Context.services().provide<MembershipView>(*this);
  Context.services().provide<ProbePlugin>(*this);
  Context.services().list<LogObserver>().add(*this);
  Context.services().list<ClaimObserver>().add(*this);
}

std::vector<HostId> ProbePlugin::livePeers() const {
  std::vector<HostId> Result;
  for (const Member &Peer : this->Members)
    Result.push_back(Peer.Listing.Id);
  return Result;
}

bool ProbePlugin::isDead(const HostId &, Incarnation Life) const {
  return std::find(this->EndedIncarnations.begin(),
                   this->EndedIncarnations.end(),
                   Life) != this->EndedIncarnations.end();
}

BenchHost::BenchHost(LogServiceModel &Log, std::string Name, std::uint64_t Life,
                     const std::map<std::string, std::string> &Values)
    : Log(Log) {
  this->Host = std::make_unique<Kernel>(
      Identity{HostId(std::move(Name)), Incarnation(Life), ZoneId("z"), {}, {}},
      settingsWith(Values), Life);
  this->Host->checkEveryEvent();
  this->handle(Tick{});
}

void BenchHost::handle(const Event &Incoming) {
  this->collect(this->Host->handle(Incoming, this->Now));
}

void BenchHost::collect(std::vector<Action> NewActions) {
  for (Action &Item : NewActions) {
    if (const auto *Read = std::get_if<ReadLog>(&Item))
      this->Reads.push_back(*Read);
    else if (const auto *Append = std::get_if<AppendToLog>(&Item))
      this->Appends.push_back(*Append);
    this->Requested.push_back(std::move(Item));
  }
}

void BenchHost::advance(Duration Span) {
  this->Now += Span;
  this->handle(Tick{});
}

void BenchHost::answerRead() {
  if (this->Reads.empty())
    return;
  const LogOffset From = this->Reads.front().FromOffset;
  this->Reads.pop_front();
  this->handle(this->Log.read(From));
}

void BenchHost::catchUp() {
  for (int Round = 0; Round < 3; ++Round) {
    this->advance(milliseconds(30));
    this->answerRead();
  }
}

void BenchHost::failRead() {
  if (this->Reads.empty())
    return;
  this->Reads.pop_front();
  this->handle(LogReadFailed{});
}

void BenchHost::answerAppend(AppendOutcome Outcome) {
  if (this->Appends.empty())
    return;
  const AppendToLog Append = this->Appends.front();
  this->Appends.pop_front();
  AppendAnswered Answer{Append.Append, AppendResult::Unknown, 0};
  if (Outcome == AppendOutcome::Taken)
    Answer = {Append.Append, AppendResult::Appended,
              this->Log.append(Append.Records)};
  else if (Outcome == AppendOutcome::Refused)
    Answer.Result = AppendResult::Refused;
  else if (Outcome == AppendOutcome::LostAnswer)
    this->Log.append(Append.Records);
  else if (Outcome == AppendOutcome::Late)
    this->LateAppends.push_back(Append.Records);
  this->handle(Answer);
}

void BenchHost::applyLateAppend() {
  if (this->LateAppends.empty())
    return;
  this->Log.append(std::move(this->LateAppends.front()));
  this->LateAppends.erase(this->LateAppends.begin());
}

void BenchHost::settle() {
  for (int Round = 0; Round < 4; ++Round) {
    this->advance(milliseconds(200));
    this->answerAppend();
    this->answerRead();
  }
}

Member peerHeard(std::string Name, Time Heard, Time Confirmed,
                 LogOffset InForce) {
  Member Result;
  Result.Listing.Id = HostId(std::move(Name));
  Result.Life = Incarnation(7);
  Result.Ready = true;
  Result.InForce = InForce;
  Result.LastHeard = Heard;
  Result.LogConfirmedAt = Confirmed;
  return Result;
}

ChangeSet declareOwner(std::string Id, std::string Name, LogOffset Base) {
  Change Declaration;
  Declaration.Key = {EntryKind::Owner, std::move(Name)};
  Declaration.BaseVersion = Base;
  Declaration.Owner = OwnerId("root");
  Declaration.Body = OwnerEntry{digestOfKey("secret", std::string(32, '0'))};
  ChangeSet Result;
  Result.Id = ChangeId(std::move(Id));
  Result.Author = OwnerId("root");
  Result.Changes.push_back(std::move(Declaration));
  return Result;
}

} // namespace banyanpick
