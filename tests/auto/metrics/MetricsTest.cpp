/// \file
/// Tests the Prometheus text of counters, gauges and histograms.
///
/// They guard against memory that grows with the labels that callers send, and
/// against counts lost between threads.
#include "metrics/Metrics.h"

#include <gtest/gtest.h>
#include <limits>
#include <thread>

namespace banyanpick {
namespace {

using Kind = RecordMeasurement::Kind;

bool hasLine(const Metrics &Registry, std::string_view Line) {
  return Registry.prometheusText().find(std::string(Line) + "\n") !=
         std::string::npos;
}

TEST(Metrics, CountsAndKeepsTheLastGauge) {
  Metrics Registry;
  Registry.record({Kind::Count, "refused", "over \"limit\"", 1});
  Registry.record({Kind::Count, "refused", "over \"limit\"", 2});
  Registry.record({Kind::Gauge, "queue", "", 7});
  Registry.record({Kind::Gauge, "queue", "", 3});
  EXPECT_TRUE(hasLine(Registry, "# TYPE banyanpick_refused_total counter"));
  EXPECT_TRUE(hasLine(
      Registry, "banyanpick_refused_total{label=\"over \\\"limit\\\"\"} 3"));
  EXPECT_TRUE(hasLine(Registry, "banyanpick_queue 3"));
}

TEST(Metrics, FillsHistogramsWithCumulativeBuckets) {
  Metrics Registry;
  for (const double Value :
       {0.0, 0.5, 2.0, 1e9, std::numeric_limits<double>::quiet_NaN()})
    Registry.record({Kind::Histogram, "first_token_seconds", "short", Value});
  const std::string Name = "banyanpick_first_token_seconds";
  EXPECT_TRUE(hasLine(Registry, "# TYPE " + Name + " histogram"));
  EXPECT_TRUE(
      hasLine(Registry, Name + "_bucket{label=\"short\",le=\"1.58e-05\"} 1"));
  EXPECT_TRUE(hasLine(Registry, Name + "_bucket{label=\"short\",le=\"1\"} 2"));
  EXPECT_TRUE(
      hasLine(Registry, Name + "_bucket{label=\"short\",le=\"2.51\"} 3"));
  EXPECT_TRUE(
      hasLine(Registry, Name + "_bucket{label=\"short\",le=\"+Inf\"} 4"));
  EXPECT_TRUE(hasLine(Registry, Name + "_count{label=\"short\"} 4"));
}

TEST(Metrics, BoundsTheLabelsOfAName) {
  Metrics Registry;
  for (int Label = 0; Label < 1000; ++Label)
    Registry.record({Kind::Count, "sent", std::to_string(Label), 1});
  EXPECT_TRUE(hasLine(Registry, "banyanpick_sent_total{label=\"other\"} 744"));
}

TEST(Metrics, CountsCorrectlyFromSeveralThreads) {
  Metrics Registry;
  const auto CountMany = [&Registry] {
    for (int Remaining = 10'000; Remaining > 0; --Remaining)
      Registry.record({Kind::Count, "sent", "", 1});
  };
  std::thread Other(CountMany);
  CountMany();
  Other.join();
  EXPECT_TRUE(hasLine(Registry, "banyanpick_sent_total 20000"));
}

} // namespace
} // namespace banyanpick
