/// \file
/// Keys as they are presented, `NAME.SECRET`, and salted digests of their
/// secrets, by libsodium's BLAKE2b.
#pragma once

#include "catalogue/Entry.h"

#include <optional>
#include <string_view>

namespace banyanpick {

/// A presented key in its two parts.
struct PresentedKey {
  std::string_view Name;   ///< The team's or owner's, before the first dot.
  std::string_view Secret; ///< The rest; its digest stands in the catalogue.
};

/// Splits `NAME.SECRET`; nothing when there is no dot or a part is empty.
std::optional<PresentedKey> splitKey(std::string_view Presented);

/// The digest of the secret \p Key under \p SaltHex, `salt:hash` in
/// hexadecimal. Throws Error(BadInput) when the salt is not 32 hexadecimal
/// digits.
KeyDigest digestOfKey(std::string_view Key, std::string_view SaltHex);

/// Whether \p Key is the secret of \p Digest; compares in constant time. A
/// malformed digest matches nothing.
bool matchesDigest(std::string_view Key, const KeyDigest &Digest);

/// Whether \p Digest is well formed.
bool isWellFormed(const KeyDigest &Digest);

} // namespace banyanpick
