/// \file
/// Salted digests of keys, by libsodium's BLAKE2b.
#pragma once

#include "catalogue/Entry.h"

#include <string_view>

namespace banyanpick {

/// The digest of \p Key under \p SaltHex, `salt:hash` in hexadecimal.
/// Throws Error(BadInput) when the salt is not 32 hexadecimal digits.
KeyDigest digestOfKey(std::string_view Key, std::string_view SaltHex);

/// Whether \p Key is the key of \p Digest; compares in constant time. A
/// malformed digest matches nothing.
bool matchesDigest(std::string_view Key, const KeyDigest &Digest);

/// Whether \p Digest is well formed.
bool isWellFormed(const KeyDigest &Digest);

} // namespace banyanpick
