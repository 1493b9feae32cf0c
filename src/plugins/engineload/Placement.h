/// \file
/// Where a prompt is read: which engine, and which others read a part of it.
#pragma once

#include "gateway/RequestClass.h"
#include "kernel/GatewayServices.h"

#include <span>
#include <vector>

namespace banyanpick {

/// What decides of one engine that may get the work.
struct EngineState {
  const KnownEngine *Engine = nullptr;
  std::size_t Position = 0; ///< In the order that all hosts share.
  double BacklogMs = 0;     ///< Reading to be done before anything new.
  double PassMs = 0;        ///< One pass over those that write.
  std::uint32_t Running = 0;
  std::uint32_t ShortRunning = 0;
  std::uint64_t FreeTokens = 0; ///< Memory.
  double ExtraMs = 0; ///< The way there, and what tells hosts' choices apart.
};

/// The weights of placing. Everything in milliseconds is weighed against the
/// predicted time to the first token.
struct PlacementWeights {
  double PositionMs = 0;    ///< For each place further back, for short ones.
  double RunningMs = 0;     ///< For each request running, up to EasyRunning,
  double CrowdedMs = 0;     ///< and for each beyond.
  std::uint32_t EasyRunning = 0;
  std::uint32_t MostRunning = 0; ///< Beyond it an engine counts as full.
  double FullMs = 0;        ///< For a full engine, or one short of memory.
  double LongestPartMs = 0; ///< A part of a prompt should take no longer.
  double HarmMs = 0; ///< For each short request that a long part holds up.
  std::size_t MostHelpers = 0;
};

/// A chosen engine with its helpers.
struct Placed {
  std::size_t At = 0;               ///< Index into the states given.
  std::vector<std::size_t> Helpers; ///< Likewise.
  double FirstTokenMs = 0;
};

/// Short prompts gather on the engines at the front of the common order, so
/// that those behind stay free of them: an engine reads a long prompt in
/// pieces of up to StepsPerPass chunks, and whatever writes there waits
/// meanwhile, for longer than a short answer may pause.
Placed placeShort(std::span<const EngineState> States, double ReadMs,
                  std::uint64_t Tokens, const PlacementWeights &Weights);

/// Longer prompts are read in even parts on several engines, those without
/// short requests first, so that no part holds the others up for long.
Placed placeLong(std::span<const EngineState> States, double ReadMs,
                 std::uint64_t Tokens, const PlacementWeights &Weights);

} // namespace banyanpick
