/// \file
/// Settings of the connections between entry hosts.
#pragma once

#include "peers/CurveKeys.h"
#include "settings/Settings.h"

namespace banyanpick {

struct PeerSettings {
  CurveKeyPair OwnKeys;
  AllowedKeys Allowed; ///< Includes the public key of this host.
  std::uint64_t MaxMessageBytes = 0;
  std::uint64_t QueueMessages = 0; ///< Per peer and direction.
  bool Encrypted = true;           ///< false: the keys are not used.
};

/// Returns the declarations of section [peers].
std::vector<SettingDeclaration> peerSettingDeclarations();

/// Returns a problem for each required key that is not set.
std::vector<SettingsProblem> missingPeerKeys(const Settings &Values);

/// Reads section [peers]. Throws Error(BadInput) when a key is malformed.
PeerSettings peerSettings(const Settings &Values);

} // namespace banyanpick
