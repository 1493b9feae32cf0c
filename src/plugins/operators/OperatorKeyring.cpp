/// \file
#include "plugins/operators/OperatorKeyring.h"

#include "catalogue/KeyDigest.h"

namespace banyanpick {

namespace {

/// The salt only makes the comparison's time independent of the key.
constexpr std::string_view RootSalt = "00000000000000000000000000000000";

} // namespace

std::optional<OwnerId> authenticatedOwner(const Catalogue &InForce,
                                          std::string_view OperatorKey,
                                          std::string_view RootKey) {
  const std::size_t Dot = OperatorKey.find('.');
  if (Dot == std::string_view::npos)
    return std::nullopt;
  const OwnerId Owner{std::string(OperatorKey.substr(0, Dot))};
  const std::string_view Secret = OperatorKey.substr(Dot + 1);
  if (Owner.Value == RootOwner) {
    const bool Right = !RootKey.empty() &&
                       matchesDigest(Secret, digestOfKey(RootKey, RootSalt));
    return Right ? std::optional(Owner) : std::nullopt;
  }
  const OwnerEntry *Known = InForce.owner(Owner);
  if (!Known || !matchesDigest(Secret, Known->Key))
    return std::nullopt;
  return Owner;
}

} // namespace banyanpick
