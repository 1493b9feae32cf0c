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
  double SumOfSquares = 0;
  double SumOfProducts = 0;
  for (const Point &Each : Points) {
    SumOfSquares += (Each.Size - Mean.Size) * (Each.Size - Mean.Size);
    SumOfProducts += (Each.Size - Mean.Size) * (Each.Cost - Mean.Cost);
  }
  LineFit Fit;
  Fit.Slope = SumOfProducts / SumOfSquares;
  Fit.Base = Mean.Cost - Fit.Slope * Mean.Size;
  double Residual = 0;
  for (const Point &Each : Points) {
    const double Deviation = Each.Cost - Fit.Base - Fit.Slope * Each.Size;
    Residual += Deviation * Deviation;
  }
  const double DegreesOfFreedom = static_cast<double>(Points.size()) - 2;
  if (DegreesOfFreedom > 0)
    Fit.SlopeError = std::sqrt(Residual / DegreesOfFreedom / SumOfSquares);
  return Fit;
}

} // namespace banyanpick
