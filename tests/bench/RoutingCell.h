/// \file
/// One run of a deployment under one policy, load and scenario.
#pragma once

#include "bench/Workload.h"

#include <array>
#include <string>
#include <vector>

namespace banyanpick {

/// The parameters of one run.
struct CellOptions {
  DeploymentShape Shape;
  std::string Policy = "predicted";
  std::string Without = "nothing";
  std::string Scenario = "calm";
  double Load = 0.8;
  bool WithLongPrompts = true;
  std::uint64_t Seed = 1;
  Duration Length = seconds(60);
  std::vector<std::string> Settings; ///< More settings, as `section.key=value`.
};

/// The results that callers saw in the measured part of a run.
struct CellResult {
  std::array<std::vector<double>, LengthBuckets.size()> FirstToken; ///< s
  std::array<std::uint64_t, LengthBuckets.size()> Offered{};
  std::array<std::uint64_t, LengthBuckets.size()>
      InTime{}; ///< Complete, in time.
  std::uint64_t Sent = 0;
  std::uint64_t Refused = 0;     ///< Not admitted.
  std::uint64_t RefusedLate = 0; ///< Answered "not run" after admission.
  std::uint64_t Missed = 0;      ///< Admitted; late, failed or interrupted.
  std::uint64_t Lost = 0;        ///< The host of the caller died.
  double GoodTokens = 0;         ///< Prompt and output tokens of those in time.
  double Seconds = 0;
  double Prefilled = 0;
  double Wasted = 0;
  std::array<double, Teams> TeamOffered{};
  std::array<double, Teams> TeamInTime{};
  std::uint64_t Violations = 0;

  /// Adds the results of another run, such as one with another seed.
  void merge(const CellResult &Other);
  /// Returns a percentile of the time to first token in seconds, or 0 if there
  /// are no samples. \p Part is in [0, 1].
  double percentile(std::size_t Bucket, double Part) const;
  /// Returns Jain's fairness index of the share of requests in time, over the
  /// teams of equal load.
  double fairness() const;
};

CellResult runCell(const CellOptions &Options);

} // namespace banyanpick
