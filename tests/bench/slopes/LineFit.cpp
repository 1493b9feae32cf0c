#include "LineFit.h"

#include <cmath>

namespace banyanpick {

namespace {

Point meanOf(std::span<const Point> Points) {
  Point Sum;
  for (const Point &Each : Points) {
    Sum.Size += Each.Size;
    Sum.Cost += Each.Cost;
  }
  const auto Count = static_cast<double>(Points.size());
  return {Sum.Size / Count, Sum.Cost / Count};
}

} // namespace

LineFit fitLine(std::span<const Point> Points) {
  const Point Mean = meanOf(Points);
  double Spread = 0;
  double Shared = 0;
  for (const Point &Each : Points) {
    Spread += (Each.Size - Mean.Size) * (Each.Size - Mean.Size);
    Shared += (Each.Size - Mean.Size) * (Each.Cost - Mean.Cost);
  }
  LineFit Fit;
  Fit.Slope = Shared / Spread;
  Fit.Base = Mean.Cost - Fit.Slope * Mean.Size;
  double Residual = 0;
  for (const Point &Each : Points) {
    const double Off = Each.Cost - Fit.Base - Fit.Slope * Each.Size;
    Residual += Off * Off;
  }
  const double Freedom = static_cast<double>(Points.size()) - 2;
  if (Freedom > 0)
    Fit.SlopeError = std::sqrt(Residual / Freedom / Spread);
  return Fit;
}

} // namespace banyanpick
