/// \file
/// Gateway configuration and settings for tests.
#pragma once

#include "gateway/Configuration.h"
#include "settings/Settings.h"

#include <memory>
#include <span>
#include <string>

namespace banyanpick {

/// Returns a configuration with four routes of the host `a.example`. `/safe/`
/// (repeatable, two attempts) and `/once/` (at most once) lead to the service
/// `desk`. `/stream/` and, for long prompts, `/review/` (both resumable, two
/// attempts) lead to the model engines `ring`. There is one team with one key.
std::shared_ptr<const GatewayConfiguration>
gatewayDeclarations(std::uint64_t Version);

/// A setting that differs from the default.
struct SettingChange {
  std::string Section;
  std::string Key;
  std::string Value;
};

/// Returns the default settings, with host discovery by gossip and \p Changes.
Settings gatewaySettingsForTests(std::span<const SettingChange> Changes = {});

} // namespace banyanpick
