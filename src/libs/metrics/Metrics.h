/// \file
/// Counters, gauges and histograms of the process.
#pragma once

#include "kernel/Action.h"

#include <boost/histogram.hpp>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <tuple>

namespace banyanpick {

/// Collects measurements by name and label. Thread-safe.
class Metrics {
public:
  /// Adds to a counter, sets a gauge or adds to a histogram. A name keeps the
  /// kind of its first measurement. Labels beyond the first LabelsPerName of a
  /// name are combined under the label `other`, so that memory stays bounded
  /// regardless of what callers send. NaN values are ignored.
  void record(const RecordMeasurement &Measured);

  /// Returns all metrics in the Prometheus text format. Names get the prefix
  /// `banyanpick_`, and counters get the suffix `_total`.
  std::string prometheusText() const;

  static constexpr std::size_t LabelsPerName = 256;

private:
  using LogAxis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Counts = boost::histogram::histogram<std::tuple<LogAxis>>;

  /// A histogram with the sum and the count that the Prometheus format
  /// requires.
  struct Distribution {
    Counts Buckets;
    double Sum = 0;
    std::uint64_t Count = 0;
  };
  /// All measurements with one name, by label.
  struct Family {
    RecordMeasurement::Kind Kind = RecordMeasurement::Kind::Count;
    std::map<std::string, double, std::less<>> Numbers;
    std::map<std::string, Distribution, std::less<>> Distributions;
  };

  static void fill(Family &Target, std::string_view Label, double Value);
  static void writeNumbers(std::string &Text, const std::string &Name,
                           const Family &Source);
  static void writeDistributions(std::string &Text, const std::string &Name,
                                 const Family &Source);

  mutable std::mutex Mutex;
  std::map<std::string, Family, std::less<>> Families;
};

} // namespace banyanpick
