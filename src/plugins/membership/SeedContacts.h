/// \file
/// Holds the seed addresses used to find other hosts at the start.
#pragma once

#include "kernel/Services.h"

#include <span>
#include <string_view>
#include <vector>

namespace banyanpick {

/// The seed addresses of the settings. A seed may be stale or down, and the
/// name of its host is unknown until it answers. Until then the seed is
/// contacted under a name made from its address.
class SeedContacts {
public:
  SeedContacts() = default;
  /// Parses \p Text, a list of `ip:port` separated by commas, without \p Self.
  /// Throws Error(BadInput) if an address is malformed.
  SeedContacts(std::string_view Text, const Address &Self);

  /// Whether this host is a seed, or there is no other.
  bool isSelfSeed() const {
    return this->IsSelfListed || this->Contacts.empty();
  }
  /// Returns the seeds whose address belongs to no known live host.
  std::vector<HostListing> unresolved(std::span<const Member> KnownPeers) const;

private:
  std::vector<HostListing> Contacts;
  bool IsSelfListed = false;
};

} // namespace banyanpick
