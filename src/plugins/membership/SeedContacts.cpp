#include "plugins/membership/SeedContacts.h"

#include "base/Text.h"
#include "kernel/AddressText.h"

#include <algorithm>

namespace banyanpick {

SeedContacts::SeedContacts(std::string_view Text, const Address &Self) {
  while (!trimmed(Text).empty()) {
    const std::size_t Comma = std::min(Text.find(','), Text.size());
    const std::string_view Seed = trimmed(Text.substr(0, Comma));
    Text.remove_prefix(std::min(Comma + 1, Text.size()));
    if (Seed.empty())
      continue;
    HostListing Contact;
    Contact.Id.Value = "seed " + std::string(Seed);
    Contact.Peers = addressFromText(Seed);
    if (Contact.Peers == Self)
      this->IsSelfListed = true;
    else
      this->Contacts.push_back(std::move(Contact));
  }
}

std::vector<HostListing>
SeedContacts::unresolved(std::span<const Member> KnownPeers) const {
  std::vector<HostListing> Result;
  for (const HostListing &Seed : this->Contacts) {
    const bool IsKnown =
        std::ranges::any_of(KnownPeers, [&](const Member &Member) {
          return Member.Listing.Peers == Seed.Peers &&
                 Member.State != MemberState::Dead;
        });
    if (!IsKnown)
      Result.push_back(Seed);
  }
  return Result;
}

} // namespace banyanpick
