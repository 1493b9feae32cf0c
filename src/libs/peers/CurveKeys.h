/// \file
/// The CURVE keys with which entry hosts authenticate to each other.
#pragma once

#include "base/StrongId.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banyanpick {

/// A CURVE key pair in Z85, 40 characters each.
struct CurveKeyPair {
  std::string PublicKey;
  std::string SecretKey;
};

/// Generates a key pair. Throws Error(Internal) when ZeroMQ lacks CURVE.
CurveKeyPair makeCurveKeyPair();

/// Returns whether the text is a CURVE key in Z85.
bool isCurveKey(std::string_view Text);

/// The public keys that may connect. Each is valid for any host or bound to
/// one.
class AllowedKeys {
public:
  /// Parses a comma-separated list. Each item is a key, or a host's name
  /// followed by its key. Throws Error(BadInput) when an item has another form.
  static AllowedKeys parse(std::string_view Text);

  /// Allows \p Key for any host.
  void add(std::string_view Key);

  /// Returns whether a connection with this key is allowed.
  bool allows(std::string_view Key) const;

  /// Returns the host that the key is bound to, or nothing when the key is
  /// valid for any host.
  std::optional<HostId> hostOf(std::string_view Key) const;

  /// Returns the key bound to the host, or nothing when there is none.
  std::optional<std::string> keyOf(const HostId &Host) const;

private:
  struct Item {
    std::string Key;
    std::optional<HostId> Host;
  };

  std::vector<Item> Items;
};

} // namespace banyanpick
