/// \file
/// The settings of the section [routing].
#pragma once

#include "base/Time.h"
#include "settings/Settings.h"

#include <string>
#include <vector>

namespace banyanpick {

/// Parts of the prediction that can be left out, to measure what each is
/// worth.
struct RoutingParts {
  bool Priorities = true; ///< Engine priorities by urgency.
  bool LongPool = true;   ///< Long work only on the engines open to it.
  bool Zones = true;      ///< Own data centre first.
  bool Sampling = true;   ///< A few candidates instead of all.
  bool OwnWork = true;    ///< Own work not yet reported.
  bool PeerWork = true;   ///< Peers' work not yet reported.
  bool ReportAge = true;  ///< Reported work shrinks as the report ages.
  bool QueueBound = true; ///< Requests wait here while engines are behind.
  bool Cache = true;      ///< Cached prefixes shorten the prefill.
};

struct RoutingSettings {
  std::string Policy;
  RoutingParts Parts;
  std::uint64_t OwnCandidates = 0;   ///< Sampled in the own zone.
  std::uint64_t OtherCandidates = 0; ///< Sampled in other zones.
  Duration CrossZoneDelay{};         ///< Added for another zone.
  Duration EngineQueue{};            ///< Prefill ahead an engine may have.
  Duration LongQueue{};              ///< The same for long prompts.
  std::uint64_t LongPrompt = 0;      ///< Uncached tokens from which it is long.
  Duration StepDelay{};              ///< Of a running step with lower work.
  Duration MemoryTurnover{}; ///< In which an engine's memory turns over.
  std::uint64_t MaxGroupEngines = 0;
  double DelayWeight = 0; ///< Of the delay that others suffer.

  static std::vector<SettingDeclaration> declarations();
  static RoutingSettings from(const Settings &Values);
};

} // namespace banyanpick
