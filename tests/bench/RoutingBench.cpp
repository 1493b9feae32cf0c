/// \file
/// Measures routing under load. docs/MEASURING.md explains the figures.
#include "bench/RoutingTable.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <atomic>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

DEFINE_string(deployments, "auction,ateliers", "deployments to measure");
DEFINE_string(policies,
              "random,round-robin,least-outstanding,least-tokens,predicted",
              "values of routing.policy");
DEFINE_string(without, "", "parts to leave out, each a row of its own");
DEFINE_string(loads, "50,80,95,120,200,400", "per cent of saturation");
DEFINE_string(scenarios, "calm",
              "calm, engine-death, host-death, stale-reports, log-outage");
DEFINE_int32(seeds, 3, "runs of each cell, with the seeds 1, 2, ...");
DEFINE_int32(length, 60, "seconds of virtual time measured");
DEFINE_int32(threads, 4, "cells run at once");
DEFINE_string(set, "", "more settings: section.key=value,...");
DEFINE_string(csv, "", "file for the same figures as CSV");

namespace banyanpick {
namespace {

std::vector<std::string> splitList(const std::string &Text) {
  std::vector<std::string> Result;
  std::istringstream In(Text);
  for (std::string Item; std::getline(In, Item, ',');)
    Result.push_back(Item);
  return Result;
}

DeploymentShape deploymentShape(const std::string &Name) {
  if (Name == "auction")
    return {Name, 14, 7, milliseconds(2)};
  return {Name, 16, 8, milliseconds(1)};
}

/// One run for a row of the table, with or without long prompts.
struct Job {
  std::size_t Row = 0;
  CellOptions Options;
  CellResult Result;
};

std::vector<TableRow> makeRows() {
  std::vector<std::pair<std::string, std::string>> Policies;
  for (const std::string &Policy : splitList(FLAGS_policies))
    Policies.emplace_back(Policy, "nothing");
  for (const std::string &Without : splitList(FLAGS_without))
    Policies.emplace_back("predicted", Without);
  std::vector<TableRow> Rows;
  for (const std::string &Deployment : splitList(FLAGS_deployments))
    for (const std::string &Scenario : splitList(FLAGS_scenarios))
      for (const std::string &Load : splitList(FLAGS_loads))
        for (const auto &[Policy, Without] : Policies) {
          CellOptions Options;
          Options.Shape = deploymentShape(Deployment);
          Options.Policy = Policy;
          Options.Without = Without;
          Options.Scenario = Scenario;
          Options.Load = std::stod(Load) / 100;
          Options.Length = seconds(FLAGS_length);
          Options.Settings = splitList(FLAGS_set);
          Rows.push_back({Options, {}, 0});
        }
  return Rows;
}

std::vector<Job> jobsFor(const std::vector<TableRow> &Rows) {
  std::vector<Job> Jobs;
  for (std::size_t Row = 0; Row < Rows.size(); ++Row)
    for (int Seed = 1; Seed <= FLAGS_seeds; ++Seed)
      for (const bool WithLongPrompts : {true, false}) {
        Job New{Row, Rows[Row].Options, {}};
        New.Options.Seed = static_cast<std::uint64_t>(Seed);
        New.Options.WithLongPrompts = WithLongPrompts;
        if (WithLongPrompts || New.Options.Scenario == "calm")
          Jobs.push_back(std::move(New));
      }
  return Jobs;
}

void runAll(std::vector<Job> &Jobs) {
  std::atomic<std::size_t> Next = 0;
  std::vector<std::thread> Workers;
  for (int Worker = 0; Worker < std::min(FLAGS_threads, 4); ++Worker)
    Workers.emplace_back([&Jobs, &Next] {
      for (std::size_t Index = Next++; Index < Jobs.size(); Index = Next++)
        Jobs[Index].Result = runCell(Jobs[Index].Options);
    });
  for (std::thread &Worker : Workers)
    Worker.join();
}

void collect(const std::vector<Job> &Jobs, std::vector<TableRow> &Rows) {
  std::vector<CellResult> Baseline(Rows.size());
  for (const Job &Finished : Jobs)
    (Finished.Options.WithLongPrompts ? Rows[Finished.Row].Result
                                      : Baseline[Finished.Row])
        .merge(Finished.Result);
  for (std::size_t Row = 0; Row < Rows.size(); ++Row) {
    const double BaselineP95 = Baseline[Row].percentile(0, 0.95);
    if (BaselineP95 > 0)
      Rows[Row].Slowdown = Rows[Row].Result.percentile(0, 0.95) / BaselineP95;
  }
}

int measure() {
  std::vector<TableRow> Rows = makeRows();
  std::vector<Job> Jobs = jobsFor(Rows);
  runAll(Jobs);
  collect(Jobs, Rows);
  printTable(std::cout, Rows);
  if (!FLAGS_csv.empty()) {
    std::ofstream Csv(FLAGS_csv);
    writeCsv(Csv, Rows);
  }
  return 0;
}

} // namespace
} // namespace banyanpick

int main(int Count, char **Arguments) {
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  return banyanpick::measure();
}
