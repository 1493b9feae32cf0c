#include "plugins/engineload/Placement.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace banyanpick {

namespace {

/// What the requests that run there add to the time of one more.
double crowdMs(const EngineState &Of, const PlacementWeights &Weights) {
  const double Easy = std::min(Of.Running, Weights.EasyRunning);
  const double Beyond = Of.Running - Easy;
  const double Full = Of.Running >= Weights.MostRunning ? Weights.FullMs : 0;
  return Easy * Weights.RunningMs + Beyond * Weights.CrowdedMs + Full;
}

double memoryMs(const EngineState &Of, std::uint64_t Tokens,
                const PlacementWeights &Weights) {
  return Tokens > Of.FreeTokens ? Weights.FullMs : 0;
}

/// What a pass with so much more reading does to those that write there.
double pauseMs(const EngineState &Of, double ReadMs,
               const PlacementWeights &Weights) {
  const bool Long = Of.BacklogMs + ReadMs + Of.PassMs > Weights.PauseMs;
  return Long ? Of.SwiftRunning * Weights.PauseCostMs : 0;
}

double placesBehind(const EngineState &Of, std::size_t Front) {
  return Of.Position < Front ? 0 : static_cast<double>(Of.Position - Front + 1);
}

/// When a part could begin there.
double startMs(const EngineState &Of) { return Of.BacklogMs + Of.PassMs; }

/// When a part would be read there.
double endMs(const EngineState &Of, double PartMs) {
  return startMs(Of) + PartMs * Of.Pace;
}

/// When the last of the engines would have read its even part.
double lastEndMs(std::span<const EngineState> States,
                 std::span<const std::size_t> Taken, double ReadMs) {
  const double PartMs = ReadMs / static_cast<double>(Taken.size());
  double Result = 0;
  for (const std::size_t At : Taken)
    Result = std::max(Result, endMs(States[At], PartMs));
  return Result;
}

/// A number of engines of an order, and when they would have read all parts.
struct PartCount {
  std::size_t Engines = 1;
  double FirstTokenMs = 0;
};

/// As many of the first \p Most engines of the order as end soonest: each more
/// shortens the parts, and may be busier.
PartCount soonest(std::span<const EngineState> States,
                  std::span<const std::size_t> Order, std::size_t Most,
                  double ReadMs) {
  PartCount Best;
  for (std::size_t Taken = 1; Taken <= Most; ++Taken) {
    const double Ms = lastEndMs(States, Order.first(Taken), ReadMs);
    if (Taken == 1 || Ms < Best.FirstTokenMs)
      Best = {Taken, Ms};
  }
  return Best;
}

/// As few of the first \p Most engines of the order as end by \p LatestMs, or
/// all of them.
PartCount fewest(std::span<const EngineState> States,
                 std::span<const std::size_t> Order, std::size_t Most,
                 double ReadMs, double LatestMs) {
  PartCount Result;
  for (std::size_t Taken = 1; Taken <= Most; ++Taken) {
    Result = {Taken, lastEndMs(States, Order.first(Taken), ReadMs)};
    if (Result.FirstTokenMs <= LatestMs)
      break;
  }
  return Result;
}

/// Engines that could read a part at once without holding anything up for
/// long: clear ones first, then those with the least to do.
std::vector<std::size_t> idleHelpers(std::span<const EngineState> States,
                                     double PartMs,
                                     const PlacementWeights &Weights) {
  std::vector<std::size_t> Result;
  for (std::size_t At = 0; At < States.size(); ++At)
    if (endMs(States[At], PartMs) <= Weights.PauseMs)
      Result.push_back(At);
  std::ranges::sort(Result, {}, [&](std::size_t At) {
    const EngineState &Each = States[At];
    return std::pair(!Each.isClear(), startMs(Each) + Each.ExtraMs);
  });
  return Result;
}

} // namespace

std::size_t frontEngines(std::size_t Engines, double LongEngines,
                         std::uint32_t SwiftRunning,
                         const PlacementWeights &Weights) {
  const double All = static_cast<double>(Engines);
  // One engine is always kept for a long prompt that comes unexpected.
  const double ForLong = std::ceil(LongEngines * Weights.LongRoom) + 1;
  const double ForSwift =
      std::ceil(SwiftRunning / std::max(double(Weights.MostRunning) - 2, 1.0));
  // No more than swift requests use well, so that long prompts that come
  // together find clear engines before the demand shows.
  const double Easy = std::ceil(SwiftRunning / Weights.FrontRunning) + 1;
  const double Front =
      std::clamp(std::max(std::min(All - ForLong, Easy), ForSwift),
                 std::min(2.0, All), All);
  return static_cast<std::size_t>(Front);
}

Placed placeSwift(std::span<const EngineState> States, std::size_t Front,
                  double ReadMs, std::uint64_t Tokens,
                  const PlacementWeights &Weights) {
  std::vector<std::size_t> Helpers;
  const double Parts = std::ceil(ReadMs / std::max(Weights.SwiftPartMs, 1.0));
  if (Parts > 1)
    Helpers = idleHelpers(States, ReadMs / Parts, Weights);
  Helpers.resize(std::min({Helpers.size(), static_cast<std::size_t>(Parts) - 1,
                           Weights.MostHelpers}));
  const double PartMs = ReadMs / static_cast<double>(Helpers.size() + 1);
  Placed Best;
  double BestCost = 0;
  for (std::size_t At = 0; At < States.size(); ++At) {
    const EngineState &Each = States[At];
    const double FirstMs = endMs(Each, PartMs);
    const double Cost = FirstMs + Each.ExtraMs + crowdMs(Each, Weights) +
                        memoryMs(Each, Tokens, Weights) +
                        pauseMs(Each, PartMs, Weights) +
                        placesBehind(Each, Front) * Weights.PositionMs;
    if (At != 0 && Cost >= BestCost)
      continue;
    BestCost = Cost;
    Best.At = At;
    Best.FirstTokenMs = FirstMs;
  }
  for (const std::size_t At : Helpers)
    if (At != Best.At)
      Best.Helpers.push_back(At);
  return Best;
}

Placed placeLong(std::span<const EngineState> States, double ReadMs,
                 std::uint64_t Tokens, const PlacementTimes &Times,
                 const PlacementWeights &Weights) {
  const double PartMs = std::min(ReadMs, Weights.LongestPartMs);
  const auto HoldsUp = [&](const EngineState &Each) {
    return Each.SwiftRunning +
           (Each.LongWriting > 0 && endMs(Each, PartMs) > Weights.LongPauseMs
                ? 1
                : 0);
  };
  // The engines in the order in which they would be taken: those where nothing
  // is held up by when they are free, then those where least is.
  std::vector<std::size_t> Order(States.size());
  std::iota(Order.begin(), Order.end(), 0);
  std::ranges::sort(Order, {}, [&](std::size_t At) {
    const EngineState &Each = States[At];
    return std::pair(HoldsUp(Each), endMs(Each, PartMs) + Each.ExtraMs);
  });
  const auto Clear = static_cast<std::size_t>(std::ranges::count_if(
      States, [&](const auto &Each) { return HoldsUp(Each) == 0; }));
  const auto Wanted = static_cast<std::size_t>(
      std::ceil(ReadMs / std::max(Weights.LongestPartMs, 1.0)));
  const std::size_t Most = std::min({std::max<std::size_t>(Wanted, 1),
                                     Order.size(), Weights.MostHelpers + 1});
  const std::size_t Least = std::max<std::size_t>(Clear, 1);
  PartCount Best = soonest(States, Order, std::min(Least, Most), ReadMs);
  std::uint32_t HeldUp = 0;
  for (std::size_t Allowed = Least + 1;
       Allowed <= Order.size() && Best.FirstTokenMs > Times.BudgetMs;
       ++Allowed) {
    HeldUp += States[Order[Allowed - 1]].SwiftRunning;
    if (HeldUp > Weights.MostHeldUp)
      break;
    const PartCount Next =
        soonest(States, Order, std::min(Allowed, Most), ReadMs);
    if (Next.FirstTokenMs < Best.FirstTokenMs)
      Best = Next;
  }
  if (Best.FirstTokenMs > Times.ObjectiveMs)
    Best = fewest(States, Order, std::min(Least, Most), ReadMs, Times.LateMs);
  Order.resize(Best.Engines);
  // The first engine keeps the whole prompt; that with most memory free.
  const auto First = std::ranges::max_element(Order, {}, [&](std::size_t At) {
    const EngineState &Each = States[At];
    return -memoryMs(Each, Tokens, Weights) - crowdMs(Each, Weights) -
           Each.ExtraMs;
  });
  Placed Result;
  Result.At = *First;
  Result.FirstTokenMs = Best.FirstTokenMs;
  for (const std::size_t At : Order)
    if (At != Result.At)
      Result.Helpers.push_back(At);
  return Result;
}

std::optional<Placed> placeHuge(std::span<const EngineState> States,
                                double ReadMs, std::uint64_t Tokens,
                                std::uint64_t EngineTokens,
                                const PlacementTimes &Times,
                                const PlacementWeights &Weights) {
  /// What an engine gives away at most: small reservations of others and
  /// rounding to blocks need the rest.
  constexpr double UsableShare = 0.85;
  const double Usable = static_cast<double>(EngineTokens) * UsableShare;
  const auto Keepers = static_cast<std::size_t>(
      std::ceil(static_cast<double>(Tokens) / std::max(Usable, 1.0)));
  std::vector<std::size_t> Order;
  for (std::size_t At = 0; At < States.size(); ++At)
    if (States[At].Running == 0 && States[At].BacklogMs <= 0)
      Order.push_back(At);
  // As many again stay idle for what comes meanwhile.
  if (Order.size() < Keepers * 2 && Order.size() < States.size())
    return std::nullopt;
  std::ranges::sort(Order, {}, [&](std::size_t At) {
    const EngineState &Each = States[At];
    return std::pair(-static_cast<double>(Each.Position), Each.ExtraMs);
  });
  const std::size_t Most = std::min(Order.size(), Weights.MostHelpers);
  PartCount Best = soonest(States, Order, Most, ReadMs);
  if (Best.FirstTokenMs > Times.ObjectiveMs)
    Best = fewest(States, Order, Most, ReadMs, Times.LateMs);
  Order.resize(std::min(std::max(Best.Engines, Keepers), Order.size()));
  Placed Result;
  Result.At = Order.front();
  Result.Helpers = Order;
  Result.Keepers = std::min(Keepers, Order.size());
  /// Tokens are kept in blocks; a share is rounded up by some.
  constexpr std::uint64_t Rounding = 64;
  Result.KeptTokens = Tokens / Result.Keepers + Rounding;
  Result.FirstTokenMs = Best.FirstTokenMs;
  return Result;
}

} // namespace banyanpick
