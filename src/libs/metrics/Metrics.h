/// \file
/// Counters, gauges and histograms of one process.
#pragma once

#include "kernel/Action.h"

#include <boost/histogram.hpp>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <tuple>

namespace banyanpick {

/// Collects measurements by name and label. Safe from any thread.
class Metrics {
public:
  /// Adds to a counter, replaces a gauge or fills a histogram. A name keeps
  /// the kind that it was first used with. Labels past the first
  /// LabelsPerName of a name are counted together as `other`, so that memory
  /// stays bounded whatever callers send.
  void record(const RecordMeasurement &Measured);

  /// Everything in the Prometheus text format. Names get the prefix
  /// `banyanpick_`, counters the suffix `_total`.
  std::string prometheusText() const;

  static constexpr std::size_t LabelsPerName = 256;

private:
  using LogAxis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Counts = boost::histogram::histogram<std::tuple<LogAxis>>;

  /// One histogram with the sum that Prometheus wants beside it.
  struct Distribution {
    Counts Buckets;
    double Sum = 0;
    std::uint64_t Count = 0;
  };
  /// Everything under one name, by label.
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
