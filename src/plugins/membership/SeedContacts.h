/// \file
/// Addresses at which other hosts may be found before any of them is known.
#pragma once

#include "kernel/Services.h"

#include <span>
#include <string_view>
#include <vector>

namespace banyanpick {

/// A seed may be stale or down, and its host's name is not known until it
/// answers. Until then it is talked to under a name made of its address.
class SeedContacts {
public:
  SeedContacts() = default;
  /// \p Text: `ip:port` divided by commas. Malformed ones throw
  /// Error(BadInput). \p Self is left out.
  SeedContacts(std::string_view Text, const Address &Self);

  /// Seeds at which no known host stands.
  std::vector<HostListing> unresolved(std::span<const Member> KnownPeers) const;

private:
  std::vector<HostListing> Contacts;
};

} // namespace banyanpick
