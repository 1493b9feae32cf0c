#include "auto/engineload/AdmissionReplay.h"

#include <fmt/format.h>

namespace banyanpick {

ReplaySetup cataloguingSetup() {
  ReplaySetup Result;
  Result.Hosts = 12;
  Result.Engines = 45;
  Result.Model.Slots = 12;
  Result.Model.MemoryTokens = 344'250;
  Result.Model.StepsPerPass = 34;
  Result.Model.StepMs = 1.31;
  Result.Model.StepMsPerDecode = 0.02;
  Result.Model.StepMsPerKiloContext = 0.0025;
  Result.Model.PrefillTokensPerMs = 154;
  Result.Model.MsPerMillionPairs = 0.162;
  Result.Model.MeanPromptTokens = 5000;
  Result.Model.MeanAnswerTokens = 1500;
  Result.Kinds[0] = {
      5000, 0.9, 62.8, milliseconds(300), seconds(10), milliseconds(250),
      1500, 1,   0};
  Result.Kinds[1] = {
      45'000, 0.5, 4.41, milliseconds(1500), seconds(10), milliseconds(500),
      2000,   6,   1};
  Result.Kinds[2] = {260'000,    0.55,        1.43,
                     seconds(4), seconds(15), milliseconds(1000),
                     3000,       26,          2};
  Result.BurstFactor = 2.9;
  Result.BurstFor = milliseconds(9500);
  return Result;
}

ReplaySetup retailSetup() {
  ReplaySetup Result = cataloguingSetup();
  Result.Engines = 78;
  Result.Model.MemoryTokens = 197'200;
  Result.Model.PrefillTokensPerMs = 206;
  Result.Model.MsPerMillionPairs = 0.121;
  Result.Kinds[0].PerSecond = 97.5;
  Result.Kinds[0].Objective = milliseconds(250);
  Result.Kinds[1].PerSecond = 11.5;
  Result.Kinds[2].PerSecond = 4.08;
  Result.Kinds[2].MeanTokens = 190'000;
  Result.Kinds[2].Objective = seconds(6);
  Result.BurstFactor = 2.2;
  Result.BurstFor = seconds(6);
  return Result;
}

std::string describe(const std::array<ReplayCount, 3> &Counts) {
  static constexpr std::array Names{"short", "middle", "long"};
  std::string Result;
  double Value = 0;
  double Max = 0;
  for (std::size_t Kind = 0; Kind < Counts.size(); ++Kind) {
    const ReplayCount &Count = Counts[Kind];
    Value += Count.Value;
    Max += Count.MaxValue;
    Result +=
        fmt::format("{:6} sent {:4} in time {:4} late {:3} refused {:3} "
                    "left {:3} lost {:3} largest {}/{} value {:.3f}\n",
                    Names[Kind], Count.Sent, Count.InTime, Count.Late,
                    Count.Refused, Count.GaveUp, Count.Lost,
                    Count.LargestServed, Count.LargestSent, Count.share());
  }
  return Result + fmt::format("all value {:.3f}\n", Value / std::max(Max, 1.0));
}

} // namespace banyanpick
