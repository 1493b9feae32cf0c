/// \file
/// Prints measured points and the line fitted to them.
#pragma once

#include "LineFit.h"

#include <string>
#include <vector>

namespace banyanpick {

/// Points of a cost by size, such as decision time by number of engines.
struct SlopeTable {
  std::string Title;
  std::string SizeName; ///< With the unit.
  std::string CostName; ///< With the unit.
  std::vector<Point> Points;

  void add(double Size, double Cost) { this->Points.push_back({Size, Cost}); }
  /// Prints the table in Markdown to standard output.
  void print() const;
};

} // namespace banyanpick
