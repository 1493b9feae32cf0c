#include "plugins/engineload/ReadCost.h"

#include <algorithm>

namespace banyanpick {

double readMs(const EngineParameters &Of, std::uint64_t Tokens) {
  constexpr double Million = 1e6;
  const auto Count = static_cast<double>(Tokens);
  const double Pairs = Count * (Count + 1) / 2;
  return Count / std::max(Of.ReadTokensPerMs, 1e-3) +
         Pairs / Million * Of.MsPerMillionPairs;
}

double writePassMs(const EngineParameters &Of, std::uint32_t Writers,
                   std::uint64_t ContextTokens) {
  if (Writers == 0)
    return 0;
  constexpr double Thousand = 1e3;
  const double StepMs =
      Of.StepMs + Writers * Of.StepMsPerWriter +
      static_cast<double>(ContextTokens) / Thousand * Of.StepMsPerKiloContext;
  return Of.StepsPerPass * StepMs;
}

} // namespace banyanpick
