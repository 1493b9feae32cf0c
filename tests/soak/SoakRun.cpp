#include "soak/SoakRun.h"

#include "base/Visitor.h"
#include "process/Deployment.h"
#include "process/LimitWindow.h"
#include "soak/FaultInjector.h"
#include "standins/GatewayDemo.h"

#include <algorithm>
#include <fmt/format.h>

namespace banyanpick::soak {

namespace {

using process::GatewayDeployment;
using standins::demoStream;

/// An answer may come so much after its caller's limit: both sides' timers and
/// a machine that runs other things.
constexpr milliseconds LateMargin(1500);
/// A fault's effects on requests last so long after it: what is read again
/// elsewhere, hosts that find each other again.
constexpr milliseconds Aftermath(2500);
/// After the last fault everything is well again within so long.
constexpr seconds RecoveryLimit(12);
constexpr milliseconds LookAgain(100);

/// When a fault was in effect.
struct FaultSpan {
  Disruption Fault;
  Clock::time_point From;
  Clock::time_point To = Clock::time_point::max();
};

/// Plays a plan and keeps when each fault held.
class PlanPlayer {
public:
  PlanPlayer(FaultInjector &Injector, std::vector<PlannedFault> Plan)
      : Injector(Injector), Plan(std::move(Plan)) {}

  /// Returns after \p Length, once everything is undone.
  void play(Duration Length) {
    const auto Start = Clock::now();
    while (Clock::now() < Start + Length || !this->Active.empty()) {
      this->beginDue(Start);
      this->endDue();
      std::this_thread::sleep_for(milliseconds(5));
    }
  }
  const std::vector<FaultSpan> &spans() const { return this->Spans; }

private:
  struct Running {
    std::size_t Span;
    Clock::time_point Ends;
  };

  void beginDue(Clock::time_point Start) {
    for (; this->Next < this->Plan.size() &&
           Clock::now() >= Start + this->Plan[this->Next].StartAt;
         ++this->Next) {
      const PlannedFault &Each = this->Plan[this->Next];
      this->Spans.push_back({Each.Fault, Clock::now()});
      this->Injector.inject(Each.Fault);
      this->Active.push_back(
          {this->Spans.size() - 1, Clock::now() + Each.Length});
    }
  }

  void endDue() {
    std::erase_if(this->Active, [&](const Running &Each) {
      if (Clock::now() < Each.Ends ||
          !this->Injector.undo(this->Spans[Each.Span].Fault))
        return false;
      this->Spans[Each.Span].To = Clock::now();
      return true;
    });
  }

  FaultInjector &Injector;
  std::vector<PlannedFault> Plan;
  std::size_t Next = 0;
  std::vector<FaultSpan> Spans;
  std::vector<Running> Active;
};

bool isWhole(const CallRecord &Of) {
  if (!Of.Reply.isComplete() || Of.Reply.Status != 200)
    return false;
  return Of.Kind == CallKind::Stream
             ? Of.Reply.Body == demoStream()
             : Of.Reply.Body.ends_with(": " + Of.Payload);
}

/// Judges what callers saw against what upstreams ran.
class Judge {
public:
  Judge(const std::map<std::string, int> &Runs,
        const std::vector<FaultSpan> &Faults)
      : Runs(Runs), Faults(Faults) {}

  std::vector<std::string> violations(const CallRecord &Of) const {
    std::vector<std::string> Result;
    const auto Found = this->Runs.find(Of.Attempt);
    const int Count = Found == this->Runs.end() ? 0 : Found->second;
    const auto Add = [&](std::string_view Violation) {
      Result.push_back(fmt::format(
          "{} (attempt {}, host {}, status {}, runs {}, after {} ms)",
          Violation, Of.Attempt, Of.Host, Of.Reply.Status, Count,
          std::chrono::duration_cast<milliseconds>(Of.End - Of.Start).count()));
    };
    if (Of.Kind == CallKind::Unsafe && Count > 1)
      Add("ran twice");
    if (Of.Reply.isComplete() && Of.Reply.Status == 503 && Count > 0)
      Add("ran though the answer says that it did not");
    if (Of.Reply.isComplete() && Of.Reply.Status == 200 && !isWhole(Of))
      Add("a complete answer that is not whole, or another's");
    if (Of.Kind == CallKind::Stream && Of.Reply.Status == 200 &&
        !demoStream().starts_with(Of.Reply.Body))
      Add("a stream out of order");
    if (this->isUndisturbed(Of)) {
      if (!Of.Reply.isComplete())
        Add("broken off with nothing to excuse it");
      if (Of.End > Of.Start + Of.Timeout + LateMargin)
        Add("answered late with nothing to excuse it");
    }
    return Result;
  }

private:
  /// Whether no fault that may break this request was near.
  bool isUndisturbed(const CallRecord &Of) const {
    return std::ranges::none_of(this->Faults, [&](const FaultSpan &Each) {
      const bool Near =
          Each.From <= Of.End && (Each.To == Clock::time_point::max() ||
                                  Of.Start <= Each.To + Aftermath);
      return Near &&
             mayBreakRequests(Each.Fault, Of.Host, Of.Kind == CallKind::Stream);
    });
  }

  const std::map<std::string, int> &Runs;
  const std::vector<FaultSpan> &Faults;
};

/// Whether every host is ready, names all, and serves each kind.
bool isWell(GatewayDeployment &Deployed, SoakTraffic &Traffic) {
  constexpr seconds Timeout(3);
  for (std::size_t Index = 0; Index < Deployed.hosts(); ++Index) {
    if (Deployed.readiness(Index) != 200 ||
        Deployed.directory(Index).size() != Deployed.hosts())
      return false;
    for (const CallKind Kind :
         {CallKind::Safe, CallKind::Unsafe, CallKind::Stream})
      if (!isWhole(Traffic.call(Kind, Index, Timeout)))
        return false;
    // The last version has the route that earlier ones may lack.
    if (Deployed.ask(Index, "/extra/x", "end").Status != 200)
      return false;
  }
  return true;
}

/// A way to one target through a new proxy.
std::string proxied(std::vector<std::unique_ptr<LoopbackProxy>> &Into,
                    const std::string &Target) {
  Into.push_back(
      std::make_unique<LoopbackProxy>(process::freeAddress(), Target));
  return Into.back()->address();
}

bool isWellSoon(GatewayDeployment &Deployed, SoakTraffic &Traffic) {
  const auto GiveUp = Clock::now() + RecoveryLimit;
  while (!isWell(Deployed, Traffic)) {
    if (Clock::now() >= GiveUp)
      return false;
    std::this_thread::sleep_for(LookAgain);
  }
  return true;
}

/// Whether a fault keeps a host from heeding what an upstream names, or makes
/// requests pile up on their way to the first upstream.
bool excusesFromLimit(const Disruption &Fault, std::size_t Host) {
  return match(
      Fault, [&](const HostStopped &Failure) { return Failure.Host == Host; },
      [&](const HostKilled &Failure) { return Failure.Host == Host; },
      [&](const HostPaused &Failure) { return Failure.Host == Host; },
      [](const UpstreamKilled &Failure) { return Failure.Upstream == 0; },
      [](const UpstreamPaused &Failure) { return Failure.Upstream == 0; },
      [](const UpstreamLinkFailed &Failure) { return Failure.Upstream == 0; },
      [](const auto &) { return false; });
}

/// Judges whether the first upstream got more than the limit that it names,
/// from hosts that nothing kept from heeding it.
void judgeLimit(const GatewayDeployment &Deployed,
                std::span<const CallRecord> Records,
                const std::vector<FaultSpan> &Faults, SoakReport &Into) {
  std::map<std::string, std::size_t> HostOf;
  for (const CallRecord &Each : Records)
    HostOf[Each.Attempt] = Each.Host;
  const auto Arrivals = Deployed.arrivalsUnderLimit(0);
  std::vector<Clock::time_point> Counted;
  for (const auto &Each : Arrivals.Requests) {
    const auto Host = HostOf.find(Each.Attempt);
    const bool Counts =
        Host != HostOf.end() &&
        Each.ReceivedAt >= Arrivals.LimitNamedAt + process::LimitObeyedWithin &&
        std::ranges::none_of(Faults, [&](const FaultSpan &Span) {
          return excusesFromLimit(Span.Fault, Host->second);
        });
    if (Counts)
      Counted.push_back(Each.ReceivedAt);
  }
  const std::size_t Most = process::maxInLimitWindow(Counted);
  if (Most > process::allowedInLimitWindow())
    Into.Violations.push_back(fmt::format(
        "an upstream that names a limit got {} requests in a window; {} are "
        "allowed",
        Most, process::allowedInLimitWindow()));
}

void judgeAll(std::span<const CallRecord> Records, const Judge &Of,
              SoakReport &Into) {
  for (const CallRecord &Each : Records) {
    ++Into.Sent;
    Into.Correct += isWhole(Each) ? 1 : 0;
    Into.Refused += Each.Reply.isComplete() && Each.Reply.Status != 200 ? 1 : 0;
    Into.Interrupted += Each.Reply.isComplete() ? 0 : 1;
    for (std::string &Line : Of.violations(Each))
      Into.Violations.push_back(std::move(Line));
  }
}

} // namespace

SoakReport runSoak(std::uint64_t Seed, Duration Length, const SoakSize &Size) {
  SoakLinks Links;
  process::GatewayLinks Ways;
  Ways.ToStore = [&](std::size_t, const std::string &Target) {
    return proxied(Links.Stores, Target);
  };
  Ways.ToUpstream = [&](std::size_t, const std::string &Target) {
    return proxied(Links.Upstreams, Target);
  };
  std::vector<std::string> Upstreams(Size.Upstreams, "");
  // In every other run the first upstream is in need.
  const bool IsInNeed = Seed % 2 == 1 && Size.Upstreams > 1;
  if (IsInNeed)
    Upstreams.front() = "limit";
  GatewayDeployment Deployed(Upstreams, Size.Hosts, Ways);
  for (std::size_t Index = 0; Index < Size.Hosts; ++Index)
    proxied(Links.Callers, Deployed.host(Index).Callers);
  SoakReport Report;
  FaultInjector Injector(Deployed, Links);
  PlanPlayer Player(Injector,
                    planFaults(Seed, Length, Size.Hosts, Size.Upstreams));
  SoakTraffic Traffic(Deployed, Links.Callers, Seed, Size.Callers);
  Player.play(Length);
  Injector.configure(true);
  Injector.waitForStore();
  const std::vector<CallRecord> Records = Traffic.finish();
  if (!isWellSoon(Deployed, Traffic))
    Report.Violations.emplace_back("not all is well again after the faults");
  Injector.checkUnexpectedExits(Report.Violations);
  const std::map<std::string, int> Runs = Deployed.recordedRuns();
  judgeAll(Records, Judge(Runs, Player.spans()), Report);
  if (IsInNeed)
    judgeLimit(Deployed, Records, Player.spans(), Report);
  Report.Faults = Player.spans().size();
  for (const FaultSpan &Each : Player.spans())
    Report.Plan.push_back(describe(Each.Fault));
  if (!Report.Violations.empty())
    Report.Logs = Deployed.keepLogs();
  return Report;
}

} // namespace banyanpick::soak
