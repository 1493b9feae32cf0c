#include "plugins/engineload/PrefillCost.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// Value of an answer token in prompt tokens, by common prices of engines.
constexpr double PromptTokensPerOutputToken = 10;

} // namespace

double prefillMs(const EngineParameters &Model, std::uint64_t Tokens) {
  constexpr double Million = 1e6;
  const auto Count = static_cast<double>(Tokens);
  const double Pairs = Count * (Count + 1) / 2;
  return Count / std::max(Model.PrefillTokensPerMs, 1e-3) +
         Pairs / Million * Model.MsPerMillionPairs;
}

double decodePassMs(const EngineParameters &Model, std::uint32_t Decoding,
                    std::uint64_t ContextTokens) {
  if (Decoding == 0)
    return 0;
  constexpr double Thousand = 1e3;
  const double StepMs = Model.StepMs + Decoding * Model.StepMsPerDecode +
                        static_cast<double>(ContextTokens) / Thousand *
                            Model.StepMsPerKiloContext;
  return Model.StepsPerPass * StepMs;
}

double valueMs(const EngineParameters &Model, std::uint64_t PromptTokens,
               std::uint64_t OutputTokens) {
  const double Tokens =
      static_cast<double>(PromptTokens) +
      static_cast<double>(OutputTokens) * PromptTokensPerOutputToken;
  return Tokens / std::max(Model.PrefillTokensPerMs, 1e-3);
}

double prefillBudgetMs(const EngineParameters &Model, double MaxGapMs) {
  return MaxGapMs -
         decodePassMs(Model, Model.Slots, Model.Slots * Model.MeanPromptTokens);
}

double slotWaitMs(const EngineParameters &Model, std::uint32_t Running) {
  if (Running < Model.Slots)
    return 0;
  const double Passes = static_cast<double>(Model.MeanAnswerTokens) /
                        std::max(Model.StepsPerPass, 1U);
  const double AnswerMs =
      Passes *
      decodePassMs(Model, Model.Slots, Model.Slots * Model.MeanPromptTokens);
  return AnswerMs / std::max(Model.Slots, 1U) * (Running - Model.Slots + 1);
}

} // namespace banyanpick
