/// \file
/// Replays hard loads and checks what admission achieves.
#include "auto/engineload/AdmissionReplay.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>

namespace banyanpick {
namespace {

struct ReplayCase {
  const char *Name;
  ReplaySetup (*Make)();
};

ReplaySetup longBurst() { return cataloguingSetup(); }
ReplaySetup retailBurst() { return retailSetup(); }
ReplaySetup shortBurst() {
  ReplaySetup Result = cataloguingSetup();
  Result.BurstKind = 0;
  Result.BurstFactor = 2.5;
  return Result;
}
ReplaySetup calm() {
  ReplaySetup Result = cataloguingSetup();
  Result.BurstFactor = 1;
  return Result;
}
/// The rates of the second deployment in proportion to 14 engines.
ReplaySetup fewEngines() {
  ReplaySetup Result = cataloguingSetup();
  Result.Hosts = 7;
  for (ReplayKind &Kind : Result.Kinds)
    Kind.PerSecond *= 14.0 / 45;
  Result.Engines = 14;
  return Result;
}

constexpr std::array Cases{
    ReplayCase{"long", longBurst}, ReplayCase{"retail", retailBurst},
    ReplayCase{"short", shortBurst}, ReplayCase{"calm", calm},
    ReplayCase{"few", fewEngines}};

std::array<ReplayCount, 3> replay(const ReplayCase &Case,
                                  const std::string &Admission,
                                  double FailingShare, std::uint64_t Seed) {
  ReplaySetup Setup = Case.Make();
  Setup.Admission = Admission;
  Setup.FailingShare = FailingShare;
  Setup.Seed = Seed;
  return AdmissionReplay(Setup).run();
}

/// Returns the counts of seeds 1 to \p Seeds together: one burst has some 60
/// long prompts, too few to compare two ways by.
std::array<ReplayCount, 3> replaySeeds(const ReplayCase &Case,
                                       const std::string &Admission,
                                       double FailingShare,
                                       std::uint64_t Seeds) {
  std::array<ReplayCount, 3> Sum;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    const auto Counts = replay(Case, Admission, FailingShare, Seed);
    for (std::size_t Kind = 0; Kind < Sum.size(); ++Kind)
      Sum[Kind] += Counts[Kind];
  }
  return Sum;
}

/// Guards against long prompts that are deferred beyond their objective and
/// then take the engine time of others.
TEST(AdmissionReplay, PlanServesMoreThanQueueInLongBurst) {
  constexpr std::uint64_t Seeds = 6;
  for (const double Failing : {0.0, 0.2}) {
    const auto Queue = replaySeeds(Cases[0], "queue", Failing, Seeds);
    const auto Plan = replaySeeds(Cases[0], "plan", Failing, Seeds);
    EXPECT_GT(Plan[2].share(), Queue[2].share() + 0.05) << Failing;
    EXPECT_GT(Plan[0].share(), Queue[0].share()) << Failing;
  }
}

/// The aim for the long kind in the burst of long prompts. It is not reached;
/// see KNOWN-RED.txt.
TEST(AdmissionReplay, PlanReachesItsAimInLongBurst) {
  const auto Plan = replaySeeds(Cases[0], "plan", 0, 3);
  EXPECT_GE(Plan[2].share(), 0.80);
}

/// Guards against the starvation of the largest prompts of a kind. Fails; see
/// KNOWN-RED.txt.
TEST(AdmissionReplay, PlanServesTheLargestTenthHalfAsOftenAsItsKind) {
  const ReplayCount Long = replaySeeds(Cases[0], "plan", 0, 3)[2];
  const double Kind = static_cast<double>(Long.InTime + Long.Late) /
                      static_cast<double>(Long.Sent);
  const double Largest = static_cast<double>(Long.LargestServed) /
                         static_cast<double>(Long.LargestSent);
  EXPECT_GE(Largest, Kind / 2);
}

/// Guards against a plan that costs value where engines are not scarce.
TEST(AdmissionReplay, PlanLosesNothingInCalmLoad) {
  const auto Queue = replay(Cases[3], "queue", 0, 1);
  const auto Plan = replay(Cases[3], "plan", 0, 1);
  for (std::size_t Kind = 0; Kind < Plan.size(); ++Kind)
    EXPECT_GE(Plan[Kind].share(), Queue[Kind].share() - 0.01);
}

/// Prints the table of docs/design/admission.md. Runs only by hand.
TEST(AdmissionReplay, DISABLED_PrintsTable) {
  const char *Wanted = std::getenv("ADMISSION");
  const char *Only = std::getenv("LOAD");
  const char *SeedsText = std::getenv("BANYANPICK_SEEDS");
  const std::uint64_t Seeds =
      SeedsText ? std::strtoull(SeedsText, nullptr, 10) : 3;
  const std::string Admission = Wanted ? Wanted : "queue";
  for (const ReplayCase &Case : Cases)
    for (const double Failing : {0.0, 0.2}) {
      if (Only && std::string(Only) != Case.Name)
        continue;
      const auto Sum = replaySeeds(Case, Admission, Failing, Seeds);
      std::cout << Admission << " " << Case.Name << " failing " << Failing
                << "\n"
                << describe(Sum);
    }
}

} // namespace
} // namespace banyanpick
