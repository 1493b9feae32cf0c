/// \file
/// Settings of the connections between entry hosts.
#pragma once

#include "peers/CurveKeys.h"
#include "settings/Settings.h"

namespace banyanpick {

struct PeerSettings {
  CurveKeyPair OwnKeys;
  AllowedKeys Allowed; ///< The own public key is always among them.
  std::uint64_t MaxMessageBytes = 0;
  std::uint64_t QueueMessages = 0; ///< For each peer and direction.
  bool Encrypted = true;           ///< False: the keys are not used.
};

/// The settings of section [peers].
std::vector<SettingDeclaration> peerSettingDeclarations();

/// The keys that are needed and not given.
std::vector<SettingsProblem> missingPeerKeys(const Settings &Values);

/// Throws Error(BadInput) when a key is malformed.
PeerSettings peerSettings(const Settings &Values);

} // namespace banyanpick
