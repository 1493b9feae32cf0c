/// \file
/// The inputs and results of placing a request on engines.
#pragma once

#include "kernel/GatewayServices.h"

#include <algorithm>
#include <span>
#include <vector>

namespace banyanpick {

/// Answers on one engine with the same bound on their inter-event gap.
struct GapGroup {
  double GapMs = 0;   ///< Longest allowed gap between two events.
  double ValueMs = 0; ///< Value of the answers: engine time, in milliseconds.

  bool operator==(const GapGroup &) const = default;
};

/// State of one eligible engine, for placement.
struct EngineState {
  const RegisteredEngine *Engine = nullptr;
  std::size_t Position = 0; ///< In the order that is common to all hosts.
  double BacklogMs = 0;     ///< Prefill work ahead of a new request.
  /// Some of the backlog was predicted to be done by now.
  bool Overdue = false;
  double PassMs = 0;      ///< One decode pass over the running answers.
  double Slowdown = 1;    ///< How many times longer than declared work takes;
                          ///< included in the two times above.
  bool IsLimited = false; ///< The engine names a request limit.
  std::uint32_t Running = 0;
  std::uint32_t FreeSlots = 1;
  std::uint64_t FreeTokens = 0; ///< Free KV cache memory.
  double ExtraMs = 0;           ///< Network delay and random jitter.
  /// Cost of a new connection from this host; zero while one is idle.
  double ConnectMs = 0;
  std::size_t Zone = 0; ///< Number of its zone; zero is the host's own.
  /// Short prompts in prefill or decoding; set where fronts differ by zone.
  std::uint32_t ShortRunning = 0;
  std::vector<GapGroup> Answers; ///< Answers being decoded on the engine.

  /// Returns when the prefill of a part could start.
  double startMs() const { return this->BacklogMs + this->PassMs; }
  /// Returns when the prefill of a part would end.
  double endMs(double PartMs) const {
    return this->startMs() + PartMs * this->Slowdown;
  }
  /// Returns the value of the answers whose gap bound a pass with this much
  /// additional prefill would exceed. An answer that pauses for several times
  /// its bound loses its caller, and with it the work already done.
  double delayedValue(double PartMs) const {
    constexpr double LostThreshold = 5;
    constexpr double LostCost = 1.5;
    constexpr double LateCost = 0.75;
    const double PassMs = this->endMs(PartMs);
    double Sum = 0;
    for (const GapGroup &Group : this->Answers) {
      const bool Lost = PassMs > Group.GapMs * LostThreshold;
      const double Late = PassMs > Group.GapMs ? LateCost : 0;
      Sum += Group.ValueMs * (Lost ? LostCost : Late);
    }
    return Sum;
  }
};

/// Weights of the placement cost. Values in milliseconds are added to the
/// predicted time to the first token.
struct PlacementWeights {
  /// For each position behind the front; short prompts only.
  double PositionMs = 0;
  /// For each running request, up to EasyShare of the slots.
  double RunningMs = 0;
  double CrowdedMs = 0; ///< For each running request above EasyShare.
  double EasyShare = 0; ///< Share of an engine's slots.
  double FullMs = 0;    ///< For an engine that is full or short of memory.
  /// For a full pass that delays answers beyond their gap bound.
  double GapCostMs = 0;
  double FillShare = 0;   ///< Share of the slots to fill on each front engine.
  double GapShare = 0;    ///< Share of the gap bound that a pass may take.
  double BudgetShare = 0; ///< Share of the objective; a prompt that is
                          ///< predicted to need more may be late.
  double LateShare = 0; ///< Value of a late answer, as a share of one in time.
  double AheadMs = 0; ///< A shared prompt is sent when its engines have at most
                      ///< this much prefill work ahead of it.
  std::size_t MaxHelpers = 0;
  /// For each transfer between zones that the engines of a prompt cause.
  double HelperZoneMs = 0;
  /// Share of an engine's memory that is left for requests of other hosts that
  /// are not reported yet. Where it is set, nothing is sent to an engine
  /// without enough memory.
  double MemoryMargin = 0;
  bool ZoneFront = false; ///< Short prompts gather in the host's zone first.
};

/// Returns whether the prompt may be sent to an engine that lacks memory for
/// it. An engine that is asked to hold more than its memory crashes.
inline bool mayExceedMemory(const PlacementWeights &Weights) {
  return Weights.MemoryMargin <= 0;
}

/// The engine chosen for a prompt, with its helpers.
struct PromptPlacement {
  std::size_t Chosen = 0; ///< Index of the engine in the given states.
  /// Indices of the helpers in the given states.
  std::vector<std::size_t> Helpers;
  /// Number of leading entries of Helpers that reserve memory; the chosen
  /// engine comes first.
  std::size_t ReservingHelpers = 0;
  /// Tokens of memory that each of them reserves.
  std::uint64_t ReservedTokens = 0;
  double AheadMs = 0; ///< The largest backlog among the engines.
  double StartMs = 0; ///< When the last of the engines could start.
  double FirstTokenMs = 0;
  /// The earliest possible first token, whatever the cost.
  double SoonestMs = 0;
  double GainMs = 0; ///< Value of the answer less the value of delayed answers,
                     ///< in the unit of ValueMs.
};

/// The properties of a prompt that placement needs.
struct PromptWork {
  double PrefillMs = 0; ///< Prefill on one idle engine at the declared speed.
  std::uint64_t PromptTokens = 0;
  /// Including the answer; the memory that the request needs.
  std::uint64_t Tokens = 0;
  double ValueMs = 0;  ///< Engine time, as in GapGroup.
  double MaxGapMs = 0; ///< Longest allowed inter-event gap of the answer.
};

/// Time bounds of a prompt's first token, from now.
struct PlacementTimes {
  double ObjectiveMs = 0; ///< A first token after this time is late.
  double LateMs = 0;      ///< A first token after this time has no value.
};

} // namespace banyanpick
