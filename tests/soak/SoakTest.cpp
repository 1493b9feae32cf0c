/// \file
/// Short soaks with fixed seeds, and tests of the fault plan.
#include "soak/SoakRun.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace banyanpick::soak {
namespace {

/// Seeds that once violated a guarantee are kept here, each with the cause.
class Soak : public testing::TestWithParam<std::uint64_t> {};

TEST_P(Soak, KeepsAllGuarantees) {
  const SoakReport Report = runSoak(GetParam(), seconds(8), {});
  for (const std::string &Violation : Report.Violations)
    ADD_FAILURE() << Violation << "; logs in " << Report.Logs;
  EXPECT_GT(Report.Correct, Report.Sent / 2);
  EXPECT_GT(Report.Faults, 4U);
}

INSTANTIATE_TEST_SUITE_P(Fixed, Soak, testing::Values(1, 2, 3));

TEST(FaultPlan, TheSeedDeterminesThePlan) {
  const auto DescribeAll = [](std::uint64_t Seed) {
    std::string Result;
    for (const PlannedFault &Planned : planFaults(Seed, seconds(30), 3, 4))
      Result += fmt::format("{} {} {}\n", Planned.StartAt.count(),
                            Planned.Length.count(), describe(Planned.Fault));
    return Result;
  };
  EXPECT_EQ(DescribeAll(7), DescribeAll(7));
  EXPECT_NE(DescribeAll(7), DescribeAll(8));
}

TEST(FaultPlan, FaultsOverlapAndEndInTime) {
  const auto Plan = planFaults(3, seconds(60), 3, 4);
  std::size_t Overlaps = 0;
  for (std::size_t Index = 1; Index < Plan.size(); ++Index)
    Overlaps +=
        Plan[Index].StartAt < Plan[Index - 1].StartAt + Plan[Index - 1].Length
            ? 1
            : 0;
  EXPECT_GT(Overlaps, Plan.size() / 4);
  for (const PlannedFault &Planned : Plan)
    EXPECT_LE(Planned.StartAt + Planned.Length,
              Duration(seconds(60) + seconds(1)));
}

} // namespace
} // namespace banyanpick::soak
