#include "DecisionSlopes.h"

#include "BenchWorld.h"
#include "SlopeTable.h"
#include "harness/TestCatalogue.h"

#include <algorithm>
#include <chrono>
#include <fmt/format.h>

namespace banyanpick {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::uint32_t RequestsMeasured = 4000;
constexpr std::uint64_t FirstRequestId = 1'000'000;

double microsecondsSince(Clock::time_point Begin) {
  return std::chrono::duration<double, std::micro>(Clock::now() - Begin)
      .count();
}

/// The processing time of a request in microseconds.
struct DecisionCost {
  double ArrivalP50 = 0; ///< Median of admission and routing.
  double Total = 0;      ///< Median of arrival, first token and end.
  double ArrivalP99 = 0; ///< 99th percentile of admission and routing.
  std::uint32_t Routed = 0;
};

double quantile(std::vector<double> Values, double Part) {
  const auto At =
      Values.begin() + static_cast<std::ptrdiff_t>(
                           Part * static_cast<double>(Values.size() - 1));
  std::nth_element(Values.begin(), At, Values.end());
  return *At;
}

AttemptId attemptIn(const std::vector<Action> &Actions) {
  for (const Action &Candidate : Actions)
    if (const auto *Sent = std::get_if<DispatchAttempt>(&Candidate))
      return Sent->Attempt;
  return {};
}

/// Sends requests to a kernel. Apart from the time, its environment does not
/// change.
DecisionCost measureDecisions(VirtualDeployment &Deployed,
                              std::uint32_t Teams) {
  Kernel &Measured = firstKernel(Deployed);
  std::vector<double> Arrivals;
  std::vector<double> Totals;
  DecisionCost Cost;
  Time Now = Deployed.now();
  for (std::uint32_t Number = 0; Number < RequestsMeasured; ++Number) {
    Now += Duration(100);
    RequestHead Head =
        testRequest(teamName(Number % Teams), "short", 2000, Number);
    Head.Id = RequestId(FirstRequestId + Number);
    const auto Begin = Clock::now();
    const AttemptId Attempt =
        attemptIn(Measured.handle(RequestArrived{std::move(Head)}, Now));
    Arrivals.push_back(microsecondsSince(Begin));
    Cost.Routed += Attempt == AttemptId{} ? 0 : 1;
    Measured.handle(AttemptProgressed{Attempt, 1}, Now);
    Measured.handle(AttemptEnded{Attempt, AttemptComplete{32, ""}}, Now);
    Totals.push_back(microsecondsSince(Begin));
  }
  Cost.ArrivalP50 = quantile(Arrivals, 0.5);
  Cost.ArrivalP99 = quantile(Arrivals, 0.99);
  Cost.Total = quantile(Totals, 0.5);
  return Cost;
}

DecisionCost decisionCost(std::uint32_t Engines, std::uint32_t Teams) {
  const auto Deployed = makeDeployment({1, Engines, Teams, 1});
  const DecisionCost Cost = measureDecisions(*Deployed, Teams);
  fmt::print("engines={} teams={} arrival_p50={:.2f}us arrival_p99={:.2f}us "
             "whole_p50={:.2f}us routed={} of {}\n",
             Engines, Teams, Cost.ArrivalP50, Cost.ArrivalP99, Cost.Total,
             Cost.Routed, RequestsMeasured);
  return Cost;
}

} // namespace

void measureDecisionAgainstEngines() {
  SlopeTable Table{
      "Decision time against engines", "engines", "us/arrival", {}};
  for (const std::uint32_t Engines : {10, 30, 100, 300, 1000})
    Table.add(Engines, decisionCost(Engines, 10).ArrivalP50);
  Table.print();
}

void measureDecisionAgainstTeams() {
  SlopeTable Table{"Decision time against teams", "teams", "us/arrival", {}};
  for (const std::uint32_t Teams : {10, 100, 1000, 10000, 36000})
    Table.add(Teams, decisionCost(100, Teams).ArrivalP50);
  Table.print();
}

void measureIdleAgainstEngines() {
  SlopeTable Table{
      "Idle control time against engines", "engines", "% of a core", {}};
  constexpr Duration Span = seconds(20);
  for (const std::uint32_t Engines : {10, 50, 143, 300}) {
    const auto Deployed = makeDeployment({1, Engines, 10, 1});
    const auto Begin = Clock::now();
    Deployed->runFor(Span);
    const double Spent = microsecondsSince(Begin) / 1e6;
    Table.add(Engines, 100 * Spent / inSeconds(Span));
  }
  Table.print();
}

} // namespace banyanpick
