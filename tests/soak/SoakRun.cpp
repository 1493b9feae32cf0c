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
constexpr milliseconds LatenessMargin(1500);
/// A fault's effects on requests last so long after it: what is read again
/// elsewhere, hosts that find each other again.
constexpr milliseconds EffectTime(2500);
/// After the last fault everything is well again within so long.
constexpr seconds RecoveryLimit(12);
constexpr milliseconds PollInterval(100);

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
  struct ActiveFault {
    std::size_t Span;
    Clock::time_point EndsAt;
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
    std::erase_if(this->Active, [&](const ActiveFault &Each) {
      if (Clock::now() < Each.EndsAt ||
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
  std::vector<ActiveFault> Active;
};

bool isCorrect(const CallRecord &Call) {
  if (!Call.Reply.isComplete() || Call.Reply.Status != 200)
    return false;
  return Call.Kind == CallKind::Stream
             ? Call.Reply.Body == demoStream()
             : Call.Reply.Body.ends_with(": " + Call.Payload);
}

/// Judges what callers saw against what upstreams ran.
class CallChecker {
public:
  CallChecker(const std::map<std::string, int> &Runs,
              const std::vector<FaultSpan> &Faults)
      : Runs(Runs), Faults(Faults) {}

  std::vector<std::string> violations(const CallRecord &Call) const {
    std::vector<std::string> Result;
    const auto Found = this->Runs.find(Call.Attempt);
    const int Count = Found == this->Runs.end() ? 0 : Found->second;
    const auto Add = [&](std::string_view Violation) {
      Result.push_back(fmt::format(
          "{} (attempt {}, host {}, status {}, runs {}, after {} ms)",
          Violation, Call.Attempt, Call.Host, Call.Reply.Status, Count,
          std::chrono::duration_cast<milliseconds>(Call.End - Call.Start)
              .count()));
    };
    if (Call.Kind == CallKind::Unsafe && Count > 1)
      Add("ran twice");
    if (Call.Reply.isComplete() && Call.Reply.Status == 503 && Count > 0)
      Add("ran though the answer says that it did not");
    if (Call.Reply.isComplete() && Call.Reply.Status == 200 && !isCorrect(Call))
      Add("a complete answer that is not whole, or another's");
    if (Call.Kind == CallKind::Stream && Call.Reply.Status == 200 &&
        !demoStream().starts_with(Call.Reply.Body))
      Add("a stream out of order");
    if (this->isUnaffected(Call)) {
      if (!Call.Reply.isComplete())
        Add("broken off with nothing to excuse it");
      if (Call.End > Call.Start + Call.Timeout + LatenessMargin)
        Add("answered late with nothing to excuse it");
    }
    return Result;
  }

private:
  /// Whether no fault that may break this request was near.
  bool isUnaffected(const CallRecord &Call) const {
    return std::ranges::none_of(this->Faults, [&](const FaultSpan &Each) {
      const bool IsNear =
          Each.From <= Call.End && (Each.To == Clock::time_point::max() ||
                                    Call.Start <= Each.To + EffectTime);
      return IsNear && mayBreakRequests(Each.Fault, Call.Host,
                                        Call.Kind == CallKind::Stream);
    });
  }

  const std::map<std::string, int> &Runs;
  const std::vector<FaultSpan> &Faults;
};

/// Whether every host is ready, names all, and serves each kind.
bool isHealthy(GatewayDeployment &Deployed, SoakTraffic &Traffic) {
  constexpr seconds Timeout(3);
  for (std::size_t Index = 0; Index < Deployed.hosts(); ++Index) {
    if (Deployed.readiness(Index) != 200 ||
        Deployed.directory(Index).size() != Deployed.hosts())
      return false;
    for (const CallKind Kind :
         {CallKind::Safe, CallKind::Unsafe, CallKind::Stream})
      if (!isCorrect(Traffic.call(Kind, Index, Timeout)))
        return false;
    // The last version has the route that earlier ones may lack.
    if (Deployed.ask(Index, "/extra/x", "end").Status != 200)
      return false;
  }
  return true;
}

/// A way to one target through a new proxy.
std::string addProxy(std::vector<std::unique_ptr<LoopbackProxy>> &Proxies,
                     const std::string &Target) {
  Proxies.push_back(
      std::make_unique<LoopbackProxy>(process::freeAddress(), Target));
  return Proxies.back()->address();
}

bool becomesHealthy(GatewayDeployment &Deployed, SoakTraffic &Traffic) {
  const auto Deadline = Clock::now() + RecoveryLimit;
  while (!isHealthy(Deployed, Traffic)) {
    if (Clock::now() >= Deadline)
      return false;
    std::this_thread::sleep_for(PollInterval);
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
void checkLimit(const GatewayDeployment &Deployed,
                std::span<const CallRecord> Records,
                const std::vector<FaultSpan> &Faults, SoakReport &Report) {
  std::map<std::string, std::size_t> HostOf;
  for (const CallRecord &Each : Records)
    HostOf[Each.Attempt] = Each.Host;
  const auto Arrivals = Deployed.arrivalsUnderLimit(0);
  std::vector<Clock::time_point> Counted;
  for (const auto &Each : Arrivals.Requests) {
    const auto Host = HostOf.find(Each.Attempt);
    const bool IsCounted =
        Host != HostOf.end() &&
        Each.ReceivedAt >= Arrivals.LimitNamedAt + process::LimitObeyedWithin &&
        std::ranges::none_of(Faults, [&](const FaultSpan &Span) {
          return excusesFromLimit(Span.Fault, Host->second);
        });
    if (IsCounted)
      Counted.push_back(Each.ReceivedAt);
  }
  const std::size_t Most = process::maxInLimitWindow(Counted);
  if (Most > process::allowedInLimitWindow())
    Report.Violations.push_back(fmt::format(
        "an upstream that names a limit got {} requests in a window; {} are "
        "allowed",
        Most, process::allowedInLimitWindow()));
}

void checkCalls(std::span<const CallRecord> Records, const CallChecker &Checker,
                SoakReport &Report) {
  for (const CallRecord &Each : Records) {
    ++Report.Sent;
    Report.Correct += isCorrect(Each) ? 1 : 0;
    Report.Refused +=
        Each.Reply.isComplete() && Each.Reply.Status != 200 ? 1 : 0;
    Report.Interrupted += Each.Reply.isComplete() ? 0 : 1;
    for (std::string &Line : Checker.violations(Each))
      Report.Violations.push_back(std::move(Line));
  }
}

} // namespace

SoakReport runSoak(std::uint64_t Seed, Duration Length, const SoakSize &Size) {
  SoakLinks Links;
  process::GatewayLinks ProxyLinks;
  ProxyLinks.ToStore = [&](std::size_t, const std::string &Target) {
    return addProxy(Links.Stores, Target);
  };
  ProxyLinks.ToUpstream = [&](std::size_t, const std::string &Target) {
    return addProxy(Links.Upstreams, Target);
  };
  std::vector<std::string> Upstreams(Size.Upstreams, "");
  // In every other run the first upstream is in need.
  const bool NamesLimit = Seed % 2 == 1 && Size.Upstreams > 1;
  if (NamesLimit)
    Upstreams.front() = "limit";
  GatewayDeployment Deployed(Upstreams, Size.Hosts, ProxyLinks);
  for (std::size_t Index = 0; Index < Size.Hosts; ++Index)
    addProxy(Links.Callers, Deployed.host(Index).Callers);
  SoakReport Report;
  FaultInjector Injector(Deployed, Links);
  PlanPlayer Player(Injector,
                    planFaults(Seed, Length, Size.Hosts, Size.Upstreams));
  SoakTraffic Traffic(Deployed, Links.Callers, Seed, Size.Callers);
  Player.play(Length);
  Injector.configure(true);
  Injector.waitForStore();
  const std::vector<CallRecord> Records = Traffic.finish();
  if (!becomesHealthy(Deployed, Traffic))
    Report.Violations.emplace_back("not all is well again after the faults");
  Injector.checkUnexpectedExits(Report.Violations);
  const std::map<std::string, int> Runs = Deployed.recordedRuns();
  checkCalls(Records, CallChecker(Runs, Player.spans()), Report);
  if (NamesLimit)
    checkLimit(Deployed, Records, Player.spans(), Report);
  Report.Faults = Player.spans().size();
  for (const FaultSpan &Each : Player.spans())
    Report.Plan.push_back(describe(Each.Fault));
  if (!Report.Violations.empty())
    Report.Logs = Deployed.keepLogs();
  return Report;
}

} // namespace banyanpick::soak
