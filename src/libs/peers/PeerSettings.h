/// \file
/// Settings of the connections between entry hosts.
#pragma once

#include "peers/CurveKeys.h"
#include "settings/Settings.h"

namespace banyanpick {

struct PeerSettings {
  bool Encrypted = true; ///< False: the keys are not used.
  CurveKeyPair Own;
  AllowedKeys Allowed; ///< The own public key is always among them.
  std::uint64_t MaxMessageBytes = 0;
  std::uint64_t QueueMessages = 0; ///< For each peer and direction.
};

/// The settings of section [peers].
std::vector<SettingDeclaration> peerSettingDeclarations();

/// Throws Error(BadInput) when a key is malformed.
PeerSettings peerSettings(const Settings &Values);

} // namespace banyanpick
