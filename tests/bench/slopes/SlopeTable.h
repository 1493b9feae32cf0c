/// \file
/// Prints one measured slope: its points and the line through them.
#pragma once

#include "LineFit.h"

#include <string>
#include <vector>

namespace banyanpick {

/// One dependence, such as decision time on engines known.
struct SlopeTable {
  std::string Title;
  std::string SizeName; ///< With its unit.
  std::string CostName; ///< With its unit.
  std::vector<Point> Points;

  void add(double Size, double Cost) { this->Points.push_back({Size, Cost}); }
  /// To standard output, in Markdown.
  void print() const;
};

} // namespace banyanpick
