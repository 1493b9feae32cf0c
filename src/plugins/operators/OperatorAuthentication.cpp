/// \file
#include "plugins/operators/OperatorAuthentication.h"

#include "catalogue/KeyDigest.h"

namespace banyanpick {

namespace {

/// The root key is compared by its salted digest, so that the time of the
/// comparison does not depend on the key.
constexpr std::string_view RootSalt = "00000000000000000000000000000000";

} // namespace

std::optional<OwnerId> authenticatedOwner(const Catalogue &InForce,
                                          std::string_view OperatorKey,
                                          std::string_view RootKey) {
  const auto Presented = splitKey(OperatorKey);
  if (!Presented)
    return std::nullopt;
  const OwnerId Owner{std::string(Presented->Name)};
  const std::string_view Secret = Presented->Secret;
  if (Owner.Value == RootOwner) {
    const bool IsValid = !RootKey.empty() &&
                         matchesDigest(Secret, digestOfKey(RootKey, RootSalt));
    return IsValid ? std::optional(Owner) : std::nullopt;
  }
  const OwnerEntry *Entry = InForce.owner(Owner);
  if (!Entry || !matchesDigest(Secret, Entry->Key))
    return std::nullopt;
  return Owner;
}

} // namespace banyanpick
