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

/// Allowed lateness of an answer after the timeout of its caller. It covers the
/// inaccuracy of the timers on both sides and other load on the machine.
constexpr milliseconds LatenessMargin(1500);
/// Time after a fault during which it may still affect requests, because data
/// is read again from another source and hosts reconnect to each other.
constexpr milliseconds EffectTime(2500);
/// Time within which the deployment recovers after the last fault.
constexpr seconds RecoveryLimit(12);
constexpr milliseconds PollInterval(100);
/// Time until the connection to a host without a process is reset.
constexpr milliseconds ResetTime(200);

/// A fault with the time during which it was active.
struct FaultSpan {
  Disruption Fault;
  Clock::time_point From;
  Clock::time_point To = Clock::time_point::max();
};

/// Injects the faults of a plan and records when each was active.
class PlanPlayer {
public:
  PlanPlayer(FaultInjector &Injector, std::vector<PlannedFault> Plan)
      : Injector(Injector), Plan(std::move(Plan)) {}

  /// Returns after \p Length, when all faults are undone.
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
      const PlannedFault &Planned = this->Plan[this->Next];
      this->Spans.push_back({Planned.Fault, Clock::now()});
      this->Injector.inject(Planned.Fault);
      this->Active.push_back(
          {this->Spans.size() - 1, Clock::now() + Planned.Length});
    }
  }

  void endDue() {
    std::erase_if(this->Active, [&](const ActiveFault &Fault) {
      if (Clock::now() < Fault.EndsAt ||
          !this->Injector.undo(this->Spans[Fault.Span].Fault))
        return false;
      this->Spans[Fault.Span].To = Clock::now();
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
  return isStream(Call.Kind) ? Call.Reply.Body == demoStream()
                             : Call.Reply.Body.ends_with(": " + Call.Payload);
}

/// Compares the answers that callers got with the runs that upstreams recorded.
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
      Add("ran although the answer says that it did not");
    if (Call.Reply.isComplete() && Call.Reply.Status == 200 && !isCorrect(Call))
      Add("a complete answer whose content is not whole or belongs to another "
          "call");
    if (isStream(Call.Kind) && Call.Reply.Status == 200 &&
        !demoStream().starts_with(Call.Reply.Body))
      Add("a stream out of order");
    if (this->isUnaffected(Call)) {
      // A host may close an idle connection at the moment at which a caller
      // uses it again, if it reads nothing.
      const bool CrossedClose =
          Call.OnKeptConnection && Call.Reply.Status == 0 && Count == 0;
      // The host may have exited since a directory named it. Its proxy then
      // resets the connection.
      const bool IsGone = Call.ToOldAddress && Call.Reply.Status == 0 &&
                          Count == 0 && Call.End < Call.Start + ResetTime;
      if (!Call.Reply.isComplete() && !CrossedClose && !IsGone)
        Add("broken off with nothing to explain it");
      if (Call.End > Call.Start + Call.Timeout + LatenessMargin)
        Add("answered late with nothing to explain it");
    }
    return Result;
  }

private:
  /// Whether no fault that may affect this call was active near its time.
  bool isUnaffected(const CallRecord &Call) const {
    return std::ranges::none_of(this->Faults, [&](const FaultSpan &Span) {
      const bool IsNear =
          Span.From <= Call.End && (Span.To == Clock::time_point::max() ||
                                    Call.Start <= Span.To + EffectTime);
      return IsNear &&
             mayBreakRequests(Span.Fault, Call.Host, isStream(Call.Kind));
    });
  }

  const std::map<std::string, int> &Runs;
  const std::vector<FaultSpan> &Faults;
};

/// Whether every host is ready, lists all hosts and serves each kind of call.
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
    // The last version contains the extra route, which earlier ones may lack.
    if (Deployed.ask(Index, "/extra/x", "end").Status != 200)
      return false;
  }
  return true;
}

/// Starts a proxy for one target and returns its address.
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

/// Whether a fault prevents a host from obeying the limit of an upstream, or
/// makes requests accumulate on the way to the first upstream.
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

/// Checks whether the first upstream got more requests than the limit it names.
/// Only requests from hosts without a fault that excuses them are counted.
void checkLimit(const GatewayDeployment &Deployed,
                std::span<const CallRecord> Records,
                const std::vector<FaultSpan> &Faults, SoakReport &Report) {
  std::map<std::string, std::size_t> HostOf;
  for (const CallRecord &Call : Records)
    HostOf[Call.Attempt] = Call.Host;
  const auto Arrivals = Deployed.arrivalsUnderLimit(0);
  std::vector<Clock::time_point> Counted;
  for (const auto &Arrival : Arrivals.Requests) {
    const auto Host = HostOf.find(Arrival.Attempt);
    const bool IsCounted =
        Host != HostOf.end() &&
        Arrival.ReceivedAt >=
            Arrivals.LimitNamedAt + process::LimitObeyedWithin &&
        std::ranges::none_of(Faults, [&](const FaultSpan &Span) {
          return excusesFromLimit(Span.Fault, Host->second);
        });
    if (IsCounted)
      Counted.push_back(Arrival.ReceivedAt);
  }
  const std::size_t Max = process::maxInLimitWindow(Counted);
  if (Max > process::allowedInLimitWindow())
    Report.Violations.push_back(fmt::format(
        "an upstream that names a limit got {} requests in a window; {} are "
        "allowed",
        Max, process::allowedInLimitWindow()));
}

void checkCalls(std::span<const CallRecord> Records, const CallChecker &Checker,
                SoakReport &Report) {
  for (const CallRecord &Call : Records) {
    ++Report.Sent;
    Report.Correct += isCorrect(Call) ? 1 : 0;
    Report.Refused +=
        Call.Reply.isComplete() && Call.Reply.Status != 200 ? 1 : 0;
    Report.Interrupted += Call.Reply.isComplete() ? 0 : 1;
    for (std::string &Violation : Checker.violations(Call))
      Report.Violations.push_back(std::move(Violation));
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
  // With an odd seed, the first upstream names a limit.
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
    Report.Violations.emplace_back(
        "not all hosts are healthy after the faults");
  Injector.checkUnexpectedExits(Report.Violations);
  const std::map<std::string, int> Runs = Deployed.recordedRuns();
  checkCalls(Records, CallChecker(Runs, Player.spans()), Report);
  if (NamesLimit)
    checkLimit(Deployed, Records, Player.spans(), Report);
  Report.Faults = Player.spans().size();
  for (const FaultSpan &Span : Player.spans())
    Report.Plan.push_back(describe(Span.Fault));
  if (!Report.Violations.empty())
    Report.Logs = Deployed.keepLogs();
  return Report;
}

} // namespace banyanpick::soak
