/// \file
/// One run of a deployment under one policy, load and scenario.
#pragma once

#include "bench/Workload.h"

#include <array>
#include <string>
#include <vector>

namespace banyanpick {

struct CellOptions {
  DeploymentShape Shape;
  std::string Policy = "predicted";
  std::string Without = "nothing";
  std::string Scenario = "calm";
  double Load = 0.8;
  bool WithLongPrompts = true;
  std::uint64_t Seed = 1;
  Duration Length = seconds(60);
  std::vector<std::string> Settings; ///< More of `section.key=value`.
};

/// What the callers of the measured part of a run saw.
struct CellResult {
  std::array<std::vector<double>, LengthBuckets.size()> FirstToken; ///< s
  std::array<std::uint64_t, LengthBuckets.size()> Offered{};
  std::array<std::uint64_t, LengthBuckets.size()> InTime{}; ///< Whole, in time.
  std::uint64_t Sent = 0;
  std::uint64_t Refused = 0;     ///< Not admitted.
  std::uint64_t RefusedLate = 0; ///< Told "not run" after admission.
  std::uint64_t Missed = 0;      ///< Admitted; late, failed or cut.
  std::uint64_t Lost = 0;        ///< The caller's host died.
  double GoodTokens = 0;         ///< Prompt and output of those kept.
  double Seconds = 0;
  double Prefilled = 0;
  double Wasted = 0;
  std::array<double, Teams> TeamOffered{};
  std::array<double, Teams> TeamInTime{};
  std::uint64_t Violations = 0;

  /// Joins the runs of several seeds.
  void merge(const CellResult &Other);
  /// Seconds; 0 when there is none. \p Part in [0, 1].
  double percentile(std::size_t Bucket, double Part) const;
  /// Jain's index of the parts kept of what equal teams offered.
  double fairness() const;
};

CellResult runCell(const CellOptions &Options);

} // namespace banyanpick
