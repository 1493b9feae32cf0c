/// \file
/// The settings of section [routing].
#pragma once

#include "base/Time.h"
#include "settings/Settings.h"

#include <string>
#include <vector>

namespace banyanpick {

/// Parts of the prediction that can be switched off, to measure the effect of
/// each part.
struct RoutingParts {
  bool Priorities = true; ///< Engine priorities by urgency.
  bool LongPool = true;   ///< Long prompts only on engines open to them.
  bool Zones = true;      ///< Own data centre first.
  bool Sampling = true;   ///< A few candidates instead of all.
  bool OwnWork = true;    ///< Own work not yet reported.
  bool PeerWork = true;   ///< Peers' work not yet reported.
  bool ReportAge = true;  ///< Reported work decreases with the report's age.
  bool QueueBound = true; ///< Requests wait on the host if engines are busy.
  bool Cache = true;      ///< Cached prefixes shorten the prefill.
};

struct RoutingSettings {
  std::string Policy;
  RoutingParts Parts;
  std::uint64_t OwnCandidates = 0;   ///< Sampled in the own zone.
  std::uint64_t OtherCandidates = 0; ///< Sampled in other zones.
  Duration CrossZoneDelay{};         ///< Added for engines of other zones.
  Duration EngineQueue{};            ///< Maximum wait for prefill on an engine.
  Duration LongQueue{};              ///< The same for long prompts.
  std::uint64_t LongPrompt = 0;      ///< Uncached tokens of a long prompt.
  Duration StepDelay{};      ///< Remaining time of a lower-priority step.
  Duration MemoryTurnover{}; ///< Average time until used memory becomes free.
  std::uint64_t MaxGroupEngines = 0;
  double DelayWeight = 0; ///< Weight of the delay caused to other requests.

  static std::vector<SettingDeclaration> declarations();
  static RoutingSettings from(const Settings &Values);
};

} // namespace banyanpick
