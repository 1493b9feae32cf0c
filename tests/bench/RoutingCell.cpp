#include "bench/RoutingCell.h"

#include "harness/TestCatalogue.h"
#include "harness/VirtualDeployment.h"

#include <algorithm>
#include <cmath>

namespace banyanpick {

namespace {

/// Time for the hosts and engines to discover each other before the first
/// request, and time at the start of the load that is not measured.
constexpr Duration SettleTime = seconds(5);
constexpr Duration WarmUpTime = seconds(10);
/// Longer than the longest latency target of a class.
constexpr Duration DrainTime = seconds(150);
/// Network time from a caller to its host and back.
constexpr Duration CallerRoundTrip = milliseconds(10);

std::string teamName(std::uint32_t Team) {
  return "team-" + std::to_string(Team);
}
std::string zoneName(std::uint32_t Zone) {
  return "zone-" + std::to_string(Zone);
}

ClassEntry makeClass(std::uint64_t MaxPrompt, std::uint32_t Urgency,
                     Duration Base) {
  ClassEntry Class = testClass(TargetKind::Model, MaxPrompt, Urgency);
  Class.FirstTokenBase = Base;
  Class.FirstTokenPerThousandTokens = milliseconds(100);
  Class.AnswerBase = seconds(5);
  Class.AnswerPerToken = milliseconds(100);
  return Class;
}

const std::map<std::string, ClassEntry> &classes() {
  static const std::map<std::string, ClassEntry> All = {
      {"short", makeClass(4'000, 9, seconds(2))},
      {"long", makeClass(100'000, 5, seconds(5))},
      {"review", makeClass(1'000'000, 2, seconds(20))},
  };
  return All;
}

std::vector<Change> catalogue() {
  std::vector<Change> All;
  All.push_back(
      declared(EntryKind::Owner, TestOwner, OwnerEntry{testDigest(TestOwner)}));
  All.push_back(
      declared(EntryKind::Model, TestModel, ModelEntry{"w", 1'000'000, 1, 0}));
  for (const auto &[Name, Class] : classes())
    All.push_back(declared(EntryKind::Class, Name, Class));
  for (std::uint32_t Team = 0; Team < Teams; ++Team)
    All.push_back(
        declared(EntryKind::Team, teamName(Team), testTeam(teamName(Team))));
  return All;
}

DeploymentOptions deploymentOptions(const CellOptions &Options) {
  DeploymentOptions Result;
  Result.Seed = Options.Seed;
  Result.CheckEveryEvent = false;
  Result.Settings = {{"routing", "policy", Options.Policy},
                     {"routing", "without", Options.Without}};
  for (const std::string &Setting : Options.Settings) {
    const std::size_t Dot = Setting.find('.');
    const std::size_t Equals = Setting.find('=');
    Result.Settings.push_back({Setting.substr(0, Dot),
                               Setting.substr(Dot + 1, Equals - Dot - 1),
                               Setting.substr(Equals + 1)});
  }
  return Result;
}

/// Runs a simulated deployment with its callers.
class CellRun {
public:
  explicit CellRun(const CellOptions &Options)
      : Options(Options), Deployed(deploymentOptions(Options)),
        Rng(Options.Seed) {}

  CellResult run() {
    this->build();
    this->Deployed.runFor(SettleTime);
    const auto Arrivals =
        makeWorkload(this->Options.Shape, this->Options.Load,
                     WarmUpTime + this->Options.Length, this->Options.Seed,
                     this->Options.WithLongPrompts);
    this->scheduleFault();
    for (const Arrival &Next : Arrivals)
      this->Deployed.queue().after(Next.At, [this, Next] { this->send(Next); });
    this->Deployed.runFor(WarmUpTime + this->Options.Length + DrainTime);
    return this->evaluate();
  }

private:
  void build() {
    this->Deployed.network().Far = this->Options.Shape.Far;
    for (std::uint32_t Number = 0; Number < this->Options.Shape.Engines;
         ++Number) {
      EngineShape Shape;
      Shape.Id = UpstreamId("engine-" + std::to_string(Number));
      Shape.Models = {ModelId(TestModel)};
      this->Deployed.addEngine(Shape, zoneName(Number % Zones));
    }
    for (std::uint32_t Number = 0; Number < this->Options.Shape.Hosts; ++Number)
      this->Deployed.addHost("host-" + std::to_string(Number),
                             zoneName(Number % Zones));
    this->Deployed.seedCatalogue(catalogue());
  }

  void scheduleFault() {
    const Duration When = WarmUpTime + this->Options.Length / 3;
    EventQueue &Queue = this->Deployed.queue();
    if (this->Options.Scenario == "engine-death") {
      Queue.after(When, [this] { this->Deployed.killUpstream("engine-0"); });
      Queue.after(When + seconds(20),
                  [this] { this->Deployed.restartUpstream("engine-0"); });
    }
    if (this->Options.Scenario == "host-death")
      Queue.after(When, [this] { this->Deployed.killHost("host-0"); });
    if (this->Options.Scenario == "log-outage")
      Queue.after(When, [this] { this->Deployed.log().Down = true; });
    if (this->Options.Scenario == "stale-reports")
      for (auto &[Name, Engine] : this->Deployed.engines())
        Engine.LoadLag = seconds(2);
  }

  void send(const Arrival &Arrived) {
    RequestHead Head = testRequest(teamName(Arrived.Team), Arrived.Class,
                                   Arrived.PromptTokens, Arrived.Content);
    Head.MaxOutputTokens = Arrived.OutputTokens;
    const std::uint64_t SharedBlocks = Arrived.PrefixTokens / PromptBlockTokens;
    const RequestHead Prefix = testRequest(
        "", Arrived.Class, Arrived.PrefixTokens, Arrived.PrefixContent);
    std::copy_n(Prefix.Blocks.begin(), SharedBlocks, Head.Blocks.begin());
    const std::size_t Caller = this->Deployed.send(this->host(Arrived), Head);
    this->Sent.emplace_back(Caller, Arrived);
  }

  /// Returns a random live host of the caller's zone, or of any zone if there
  /// is none.
  std::string host(const Arrival &Arrived) {
    std::vector<std::string> SameZone;
    std::vector<std::string> All;
    for (const auto &[Name, Host] : this->Deployed.hosts()) {
      if (!Host->isRunning())
        continue;
      All.push_back(Name);
      if (Host->listing().Zone.Value == zoneName(Arrived.Zone))
        SameZone.push_back(Name);
    }
    const auto &Choice = SameZone.empty() ? All : SameZone;
    return Choice[this->Rng.below(Choice.size())];
  }

  CellResult evaluate() {
    CellResult Result;
    Result.Seconds = inSeconds(this->Options.Length);
    Result.Violations = this->Deployed.violations().size();
    for (const auto &[Caller, Arrived] : this->Sent)
      if (Arrived.At >= WarmUpTime)
        this->evaluateCall(this->Deployed.callers()[Caller], Arrived, Result);
    for (const auto &[Name, Engine] : this->Deployed.engines()) {
      Result.Prefilled += static_cast<double>(Engine.Model.prefilledTokens());
      Result.Wasted += static_cast<double>(Engine.Model.wastedPrefillTokens());
    }
    return Result;
  }

  static bool isInTime(const CallerRecord &Record, const Arrival &Arrived) {
    const ClassEntry &Class = classes().at(Arrived.Class);
    const Time FirstTokenDeadline =
        Record.SentAt + CallerRoundTrip + Class.FirstTokenBase +
        Duration(Class.FirstTokenPerThousandTokens.count() *
                 static_cast<Duration::rep>(Arrived.PromptTokens) / 1000);
    const Time EndDeadline =
        FirstTokenDeadline + Class.AnswerBase +
        Class.AnswerPerToken * static_cast<Duration::rep>(Arrived.OutputTokens);
    return Record.FirstTokenAt && *Record.FirstTokenAt <= FirstTokenDeadline &&
           Record.EndedAt && *Record.EndedAt <= EndDeadline;
  }

  static void evaluateCall(const CallerRecord &Record, const Arrival &Arrived,
                           CellResult &Result) {
    const std::size_t Bucket = bucketOf(Arrived.PromptTokens);
    ++Result.Sent;
    ++Result.Offered[Bucket];
    ++Result.TeamOffered[Arrived.Team];
    // An admitted request without a first token counts with its waiting time.
    const auto WaitedUntil =
        Record.FirstTokenAt ? Record.FirstTokenAt : Record.EndedAt;
    if (Record.AcceptedAt && WaitedUntil)
      Result.FirstToken[Bucket].push_back(
          inSeconds(*WaitedUntil - Record.SentAt));
    const bool IsComplete =
        Record.Answer && std::holds_alternative<CompleteAnswer>(*Record.Answer);
    const bool IsNotRun =
        Record.Answer && std::holds_alternative<NotRun>(*Record.Answer);
    if (Record.ConnectionLost) {
      ++Result.Lost;
    } else if (!Record.AcceptedAt) {
      ++Result.Refused;
    } else if (IsComplete && isInTime(Record, Arrived)) {
      ++Result.InTime[Bucket];
      ++Result.TeamInTime[Arrived.Team];
      Result.GoodTokens +=
          static_cast<double>(Arrived.PromptTokens + Arrived.OutputTokens);
    } else {
      ++(IsNotRun ? Result.RefusedLate : Result.Missed);
    }
  }

  const CellOptions &Options;
  VirtualDeployment Deployed;
  Random Rng;
  std::vector<std::pair<std::size_t, Arrival>> Sent;
};

} // namespace

CellResult runCell(const CellOptions &Options) {
  return CellRun(Options).run();
}

void CellResult::merge(const CellResult &Other) {
  for (std::size_t Index = 0; Index < LengthBuckets.size(); ++Index) {
    this->FirstToken[Index].insert(this->FirstToken[Index].end(),
                                   Other.FirstToken[Index].begin(),
                                   Other.FirstToken[Index].end());
    this->Offered[Index] += Other.Offered[Index];
    this->InTime[Index] += Other.InTime[Index];
  }
  this->Sent += Other.Sent;
  this->Refused += Other.Refused;
  this->RefusedLate += Other.RefusedLate;
  this->Missed += Other.Missed;
  this->Lost += Other.Lost;
  this->GoodTokens += Other.GoodTokens;
  this->Seconds += Other.Seconds;
  this->Prefilled += Other.Prefilled;
  this->Wasted += Other.Wasted;
  this->Violations += Other.Violations;
  for (std::size_t Index = 0; Index < Teams; ++Index) {
    this->TeamOffered[Index] += Other.TeamOffered[Index];
    this->TeamInTime[Index] += Other.TeamInTime[Index];
  }
}

double CellResult::percentile(std::size_t Bucket, double Part) const {
  std::vector<double> Sorted = this->FirstToken[Bucket];
  if (Sorted.empty())
    return 0;
  std::sort(Sorted.begin(), Sorted.end());
  const auto Rank = static_cast<std::size_t>(
      std::ceil(Part * static_cast<double>(Sorted.size())));
  return Sorted[std::clamp<std::size_t>(Rank, 1, Sorted.size()) - 1];
}

double CellResult::fairness() const {
  double Sum = 0;
  double Squares = 0;
  for (std::size_t Team = LargeTeams; Team < Teams; ++Team) {
    const double Part =
        this->TeamInTime[Team] / std::max(this->TeamOffered[Team], 1.0);
    Sum += Part;
    Squares += Part * Part;
  }
  return Squares > 0 ? Sum * Sum / (Squares * (Teams - LargeTeams)) : 0;
}

} // namespace banyanpick
