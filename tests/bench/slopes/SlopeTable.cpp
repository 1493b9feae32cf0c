#include "SlopeTable.h"

#include <fmt/format.h>

namespace banyanpick {

void SlopeTable::print() const {
  fmt::print("\n### {}\n\n| {} | {} |\n| ---: | ---: |\n", this->Title,
             this->SizeName, this->CostName);
  for (const Point &Measured : this->Points)
    fmt::print("| {:g} | {:.4g} |\n", Measured.Size, Measured.Cost);
  if (this->Points.size() < 2)
    return;
  const LineFit Fit = fitLine(this->Points);
  fmt::print("\n{} = {:.4g} + {:.4g} (± {:.2g}) × {}\n", this->CostName,
             Fit.Base, Fit.Slope, Fit.SlopeError, this->SizeName);
  std::fflush(stdout);
}

} // namespace banyanpick
