/// \file
/// Least-squares fit of a line to measured points.
#pragma once

#include <span>

namespace banyanpick {

/// One measurement.
struct Point {
  double Size = 0;
  double Cost = 0;
};

/// Cost = Base + Slope * Size.
struct LineFit {
  double Base = 0;
  double Slope = 0;
  double SlopeError = 0; ///< Standard error of the slope.
};

/// Fits a line. Needs at least two points of different size.
LineFit fitLine(std::span<const Point> Points);

} // namespace banyanpick
