/// \file
/// Where a prompt is read: which engine, and which others read a part of it.
#pragma once

#include "gateway/RequestClass.h"
#include "kernel/GatewayServices.h"

#include <optional>
#include <span>
#include <vector>

namespace banyanpick {

/// What decides of one engine that may get the work.
struct EngineState {
  const KnownEngine *Engine = nullptr;
  std::size_t Position = 0; ///< In the order that all hosts share.
  double BacklogMs = 0;     ///< Reading to be done before anything new.
  double PassMs = 0;        ///< One pass over those that write.
  double Pace = 1;          ///< How many times longer than declared reading
                            ///< takes there; the two above allow for it.
  std::uint32_t Running = 0;
  /// Requests whose answers may pause only briefly: those with short and
  /// middle prompts.
  std::uint32_t SwiftRunning = 0;
  std::uint32_t LongWriting = 0; ///< Long answers; they may pause by a second.
  std::uint64_t FreeTokens = 0;  ///< Memory.
  double ExtraMs = 0; ///< The way there, and what tells hosts' choices apart.

  bool isClear() const { return this->SwiftRunning == 0; }
};

/// The weights of placing. Everything in milliseconds is weighed against the
/// predicted time to the first token.
struct PlacementWeights {
  double PositionMs = 0; ///< For each place behind the front, for swift ones.
  double RunningMs = 0;  ///< For each request running, up to EasyRunning,
  double CrowdedMs = 0;  ///< and for each beyond.
  std::uint32_t EasyRunning = 0;
  std::uint32_t MostRunning = 0; ///< Beyond it an engine counts as full.
  double FullMs = 0;             ///< For a full engine, or one short of memory.
  double SwiftPartMs = 0;   ///< No longer part is read beside swift requests,
  double PauseMs = 0;       ///< and no pass there takes longer, if it can be.
  double PauseCostMs = 0;   ///< For each swift request that one would hold up.
  double LongPauseMs = 0;   ///< No pass beside a long answer takes longer, if
                            ///< it can be.
  double LongestPartMs = 0; ///< A part of a long prompt takes no longer.
  double BudgetShare = 0;   ///< Of the objective, for a long prompt's first
                            ///< token; swift requests are held up only beyond.
  std::size_t MostHelpers = 0;
  double FrontRunning = 1; ///< Swift requests on each engine of the front.
  double LongRoom = 0; ///< Engines kept for long prompts, against those that
                       ///< they keep busy.
  std::uint32_t MostHeldUp = 0; ///< Swift requests that one long prompt may
                                ///< hold up to be in time.
};

/// A chosen engine with its helpers.
struct Placed {
  std::size_t At = 0;               ///< Index into the states given.
  std::vector<std::size_t> Helpers; ///< Likewise.
  std::size_t Keepers = 0; ///< So many of Helpers set memory aside, the chosen
                           ///< engine first,
  std::uint64_t KeptTokens = 0; ///< each so much.
  double FirstTokenMs = 0;
};

/// Short and middle prompts are spread over the \p Front first engines of the
/// common order, so that those behind stay clear: an engine reads a long prompt
/// in pieces of up to StepsPerPass chunks, and whatever writes there waits
/// meanwhile, for longer than a short answer may pause. What would be a long
/// part there is shared with clear engines.
Placed placeSwift(std::span<const EngineState> States, std::size_t Front,
                  double ReadMs, std::uint64_t Tokens,
                  const PlacementWeights &Weights);

/// How many engines make up the front, with so many engines in all: those that
/// long prompts do not need, and no fewer than \p SwiftRunning requests do.
std::size_t frontEngines(std::size_t Engines, double LongEngines,
                         std::uint32_t SwiftRunning,
                         const PlacementWeights &Weights);

/// When a prompt's first token should come, from now.
struct PlacementTimes {
  double BudgetMs = 0;    ///< With a margin to its objective.
  double ObjectiveMs = 0; ///< Later, it counts as late,
  double LateMs = 0;      ///< and later than this it is lost.
};

/// Long prompts are read in even parts on several clear engines. Others are
/// taken only when the answer could not begin within the budget else. One that
/// will be late whatever is done takes no more engines than it needs to be
/// answered at all.
Placed placeLong(std::span<const EngineState> States, double ReadMs,
                 std::uint64_t Tokens, const PlacementTimes &Times,
                 const PlacementWeights &Weights);

/// Like placeLong() for a prompt that no engine holds alone: the engines that
/// keep it stand first among the helpers, with what each sets aside.
///
/// Nothing when there are not enough idle engines: such a prompt keeps several
/// engines busy for as long as hundreds of short ones or some eight long ones.
std::optional<Placed> placeHuge(std::span<const EngineState> States,
                                double ReadMs, std::uint64_t Tokens,
                                std::uint64_t EngineTokens,
                                const PlacementTimes &Times,
                                const PlacementWeights &Weights);

} // namespace banyanpick
