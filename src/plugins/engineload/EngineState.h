/// \file
/// What is known of engines when a request is placed on them.
#pragma once

#include "kernel/GatewayServices.h"

#include <algorithm>
#include <span>
#include <vector>

namespace banyanpick {

/// Answers on one engine that may all pause for the same time.
struct GapGroup {
  double PauseMs = 0; ///< Allowed between two of their events.
  double ValueMs = 0; ///< What they are worth: engine time, in milliseconds.

  bool operator==(const GapGroup &) const = default;
};

/// What decides of one engine that may get the work.
struct EngineState {
  const RegisteredEngine *Engine = nullptr;
  std::size_t Position = 0; ///< In the order that all hosts share.
  double BacklogMs = 0;     ///< Reading to be done before anything new.
  bool Overdue = false;     ///< Some of it should have been done by now.
  double PassMs = 0;        ///< One pass over those that write.
  double Slowdown = 1;      ///< How many times longer than declared reading
                            ///< takes there; the two above allow for it.
  bool IsLimited = false;   ///< It names how many requests it takes.
  std::uint32_t Running = 0;
  std::uint32_t FreeSlots = 1;
  std::uint64_t FreeTokens = 0; ///< Memory.
  double ExtraMs = 0; ///< The way there, and what tells hosts' choices apart.
  std::vector<GapGroup> Answers; ///< That are written there.

  /// When a part could begin there.
  double startMs() const { return this->BacklogMs + this->PassMs; }
  /// When a part would be read there.
  double endMs(double PartMs) const {
    return this->startMs() + PartMs * this->Slowdown;
  }
  /// The value of the answers that a pass with so much more reading would make
  /// pause for too long. One that pauses for several times as long loses its
  /// caller, and what was read and written for it.
  double delayedValue(double PartMs) const {
    constexpr double LostFrom = 5;
    constexpr double LostCost = 1.5;
    constexpr double LateCost = 0.75;
    const double PassMs = this->endMs(PartMs);
    double Sum = 0;
    for (const GapGroup &Each : this->Answers) {
      const bool Lost = PassMs > Each.PauseMs * LostFrom;
      const double Late = PassMs > Each.PauseMs ? LateCost : 0;
      Sum += Each.ValueMs * (Lost ? LostCost : Late);
    }
    return Sum;
  }
};

/// The weights of placing. Everything in milliseconds is weighed against the
/// predicted time to the first token.
struct PlacementWeights {
  double PositionMs = 0;  ///< For each place behind the front, for short ones.
  double RunningMs = 0;   ///< For each request running, up to EasyShare,
  double CrowdedMs = 0;   ///< and for each beyond.
  double EasyShare = 0;   ///< Of an engine's slots.
  double FullMs = 0;      ///< For a full engine, or one short of memory.
  double PauseCostMs = 0; ///< For a whole pass that holds answers up.
  double FillShare = 0;   ///< Of the slots, taken on each engine of the front.
  double PauseShare = 0;  ///< Of the allowed pause, that a pass may take.
  double BudgetShare = 0; ///< Of the objective; what is predicted to need more
                          ///< may be late.
  double LateShare = 0;   ///< What a late answer is worth of one in time.
  double AheadMs = 0; ///< A shared prompt is sent when its engines have no more
                      ///< than this to read before it.
  std::size_t MaxHelpers = 0;
};

/// A chosen engine with its helpers.
struct PromptPlacement {
  std::size_t At = 0;               ///< Index into the states given.
  std::vector<std::size_t> Helpers; ///< Likewise.
  std::size_t ReservingHelpers = 0; ///< So many of Helpers set memory aside,
                                    ///< the chosen engine first,
  std::uint64_t ReservedTokens = 0; ///< each so much.
  double AheadMs = 0; ///< The most reading before it on any of them.
  double StartMs = 0; ///< When the last of them could begin.
  double FirstTokenMs = 0;
  double SoonestMs = 0; ///< The first token at the soonest, whatever it costs.
  double GainMs = 0;    ///< What it brings, less what it holds up; as ValueMs.
};

/// What a prompt is, to those that place it.
struct PromptWork {
  double PrefillMs = 0; ///< On one engine alone, at its declared pace.
  std::uint64_t PromptTokens = 0;
  std::uint64_t Tokens = 0; ///< With its answer; the memory that it takes.
  double ValueMs = 0;       ///< Engine time, as in GapGroup.
  double PauseMs = 0;       ///< Its answer may pause for so long.
};

/// When a prompt's first token should come, from now.
struct PlacementTimes {
  double ObjectiveMs = 0; ///< Later, it counts as late,
  double LateMs = 0;      ///< and later than this it is lost.
};

} // namespace banyanpick
