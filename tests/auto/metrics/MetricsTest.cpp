#include "metrics/Metrics.h"

#include <gtest/gtest.h>
#include <limits>
#include <thread>

namespace banyanpick {
namespace {

using Kind = RecordMeasurement::Kind;

bool has(const Metrics &Of, std::string_view Line) {
  return Of.prometheusText().find(std::string(Line) + "\n") !=
         std::string::npos;
}

TEST(Metrics, CountsAndKeepsTheLastGauge) {
  Metrics Of;
  Of.record({Kind::Count, "refused", "over \"limit\"", 1});
  Of.record({Kind::Count, "refused", "over \"limit\"", 2});
  Of.record({Kind::Gauge, "queue", "", 7});
  Of.record({Kind::Gauge, "queue", "", 3});
  EXPECT_TRUE(has(Of, "# TYPE banyanpick_refused_total counter"));
  EXPECT_TRUE(
      has(Of, "banyanpick_refused_total{label=\"over \\\"limit\\\"\"} 3"));
  EXPECT_TRUE(has(Of, "banyanpick_queue 3"));
}

TEST(Metrics, FillsHistogramsWithCumulativeBuckets) {
  Metrics Of;
  for (const double Value :
       {0.0, 0.5, 2.0, 1e9, std::numeric_limits<double>::quiet_NaN()})
    Of.record({Kind::Histogram, "first_token_seconds", "short", Value});
  const std::string Name = "banyanpick_first_token_seconds";
  EXPECT_TRUE(has(Of, "# TYPE " + Name + " histogram"));
  EXPECT_TRUE(has(Of, Name + "_bucket{label=\"short\",le=\"1.58e-05\"} 1"));
  EXPECT_TRUE(has(Of, Name + "_bucket{label=\"short\",le=\"1\"} 2"));
  EXPECT_TRUE(has(Of, Name + "_bucket{label=\"short\",le=\"2.51\"} 3"));
  EXPECT_TRUE(has(Of, Name + "_bucket{label=\"short\",le=\"+Inf\"} 4"));
  EXPECT_TRUE(has(Of, Name + "_count{label=\"short\"} 4"));
}

TEST(Metrics, BoundsTheLabelsOfAName) {
  Metrics Of;
  for (int Label = 0; Label < 1000; ++Label)
    Of.record({Kind::Count, "sent", std::to_string(Label), 1});
  EXPECT_TRUE(has(Of, "banyanpick_sent_total{label=\"other\"} 744"));
}

TEST(Metrics, LosesNoCountBetweenThreads) {
  Metrics Of;
  const auto CountMany = [&Of] {
    for (int Left = 10'000; Left > 0; --Left)
      Of.record({Kind::Count, "sent", "", 1});
  };
  std::thread Other(CountMany);
  CountMany();
  Other.join();
  EXPECT_TRUE(has(Of, "banyanpick_sent_total 20000"));
}

} // namespace
} // namespace banyanpick
