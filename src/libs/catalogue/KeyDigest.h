/// \file
/// Parses presented keys, `NAME.SECRET`, and computes salted digests of their
/// secrets with libsodium's BLAKE2b.
#pragma once

#include "catalogue/Entry.h"

#include <optional>
#include <string_view>

namespace banyanpick {

/// The two parts of a presented key.
struct PresentedKey {
  std::string_view Name;   ///< Name of the team or owner, before the first dot.
  std::string_view Secret; ///< The other part. The catalogue holds its digest.
};

/// Splits `NAME.SECRET`. Returns nothing when there is no dot or a part is
/// empty.
std::optional<PresentedKey> splitKey(std::string_view Presented);

/// Returns the digest of the secret \p Key with the salt \p SaltHex,
/// `salt:hash` in hexadecimal. Throws Error(BadInput) when the salt is not 32
/// hexadecimal digits.
KeyDigest digestOfKey(std::string_view Key, std::string_view SaltHex);

/// Returns whether \p Key is the secret of \p Digest. Compares in constant
/// time. A malformed digest matches no key.
bool matchesDigest(std::string_view Key, const KeyDigest &Digest);

/// Returns whether \p Digest has the form `salt:hash` with the expected number
/// of hexadecimal digits.
bool isWellFormed(const KeyDigest &Digest);

} // namespace banyanpick
