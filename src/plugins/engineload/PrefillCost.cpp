#include "plugins/engineload/PrefillCost.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// What a token of an answer is worth in tokens of a prompt, by what engines
/// are commonly paid for them.
constexpr double PromptTokensPerOutputToken = 10;

} // namespace

double prefillMs(const EngineParameters &Of, std::uint64_t Tokens) {
  constexpr double Million = 1e6;
  const auto Count = static_cast<double>(Tokens);
  const double Pairs = Count * (Count + 1) / 2;
  return Count / std::max(Of.PrefillTokensPerMs, 1e-3) +
         Pairs / Million * Of.MsPerMillionPairs;
}

double decodePassMs(const EngineParameters &Of, std::uint32_t Writers,
                    std::uint64_t ContextTokens) {
  if (Writers == 0)
    return 0;
  constexpr double Thousand = 1e3;
  const double StepMs =
      Of.StepMs + Writers * Of.StepMsPerDecode +
      static_cast<double>(ContextTokens) / Thousand * Of.StepMsPerKiloContext;
  return Of.StepsPerPass * StepMs;
}

double valueMs(const EngineParameters &Of, std::uint64_t PromptTokens,
               std::uint64_t OutputTokens) {
  const double Tokens =
      static_cast<double>(PromptTokens) +
      static_cast<double>(OutputTokens) * PromptTokensPerOutputToken;
  return Tokens / std::max(Of.PrefillTokensPerMs, 1e-3);
}

double prefillBudgetMs(const EngineParameters &Of, double PauseMs) {
  return PauseMs - decodePassMs(Of, Of.Slots, Of.Slots * Of.MeanPromptTokens);
}

double slotWaitMs(const EngineParameters &Of, std::uint32_t Running) {
  if (Running < Of.Slots)
    return 0;
  const double Passes =
      static_cast<double>(Of.MeanAnswerTokens) / std::max(Of.StepsPerPass, 1U);
  const double AnswerMs =
      Passes * decodePassMs(Of, Of.Slots, Of.Slots * Of.MeanPromptTokens);
  return AnswerMs / std::max(Of.Slots, 1U) * (Running - Of.Slots + 1);
}

} // namespace banyanpick
