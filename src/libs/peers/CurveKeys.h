/// \file
/// The keys by which entry hosts prove themselves to each other.
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

/// A new key pair.
CurveKeyPair makeCurveKeyPair();

/// Whether the text is a CURVE key in Z85.
bool isCurveKey(std::string_view Text);

/// Public keys that may connect, each for any host or for one.
class AllowedKeys {
public:
  /// \p Text is a list divided by commas; each item is a key, or a host's name
  /// and its key. Throws Error(BadInput) when an item is neither.
  static AllowedKeys parse(std::string_view Text);

  /// Also allows \p Key for any host.
  void add(std::string_view Key);

  /// Whether the key may connect at all.
  bool allows(std::string_view Key) const;

  /// The host that the key is bound to; nothing when it is good for any.
  std::optional<HostId> hostOf(std::string_view Key) const;

  /// The key bound to the host; nothing when none is.
  std::optional<std::string> keyOf(const HostId &Host) const;

private:
  struct Item {
    std::string Key;
    std::optional<HostId> Host;
  };

  std::vector<Item> Items;
};

} // namespace banyanpick
