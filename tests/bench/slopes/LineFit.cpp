#include "LineFit.h"

#include <cmath>

namespace banyanpick {

namespace {

Point meanOf(std::span<const Point> Points) {
  Point Sum;
  for (const Point &Measured : Points) {
    Sum.Size += Measured.Size;
    Sum.Cost += Measured.Cost;
  }
  const auto Count = static_cast<double>(Points.size());
  return {Sum.Size / Count, Sum.Cost / Count};
}

} // namespace

LineFit fitLine(std::span<const Point> Points) {
  const Point Mean = meanOf(Points);
  double SumOfSquares = 0;
  double SumOfProducts = 0;
  for (const Point &Measured : Points) {
    SumOfSquares += (Measured.Size - Mean.Size) * (Measured.Size - Mean.Size);
    SumOfProducts += (Measured.Size - Mean.Size) * (Measured.Cost - Mean.Cost);
  }
  LineFit Fit;
  Fit.Slope = SumOfProducts / SumOfSquares;
  Fit.Base = Mean.Cost - Fit.Slope * Mean.Size;
  double Residual = 0;
  for (const Point &Measured : Points) {
    const double Deviation =
        Measured.Cost - Fit.Base - Fit.Slope * Measured.Size;
    Residual += Deviation * Deviation;
  }
  const double DegreesOfFreedom = static_cast<double>(Points.size()) - 2;
  if (DegreesOfFreedom > 0)
    Fit.SlopeError = std::sqrt(Residual / DegreesOfFreedom / SumOfSquares);
  return Fit;
}

} // namespace banyanpick
