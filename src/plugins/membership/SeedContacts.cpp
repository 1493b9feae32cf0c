#include "plugins/membership/SeedContacts.h"

#include "base/Text.h"
#include "kernel/AddressText.h"

#include <algorithm>

namespace banyanpick {

SeedContacts::SeedContacts(std::string_view Text, const Address &Self) {
  while (!trimmed(Text).empty()) {
    const std::size_t Comma = std::min(Text.find(','), Text.size());
    const std::string_view Each = trimmed(Text.substr(0, Comma));
    Text.remove_prefix(std::min(Comma + 1, Text.size()));
    if (Each.empty())
      continue;
    HostListing Contact;
    Contact.Id.Value = "seed " + std::string(Each);
    Contact.Peers = addressFromText(Each);
    if (Contact.Peers != Self)
      this->Contacts.push_back(std::move(Contact));
  }
}

std::vector<HostListing>
SeedContacts::unknown(std::span<const Member> Known) const {
  std::vector<HostListing> Result;
  for (const HostListing &Each : this->Contacts) {
    const bool Met = std::ranges::any_of(Known, [&](const Member &Member) {
      return Member.Listing.Peers == Each.Peers &&
             Member.State != MemberState::Dead;
    });
    if (!Met)
      Result.push_back(Each);
  }
  return Result;
}

} // namespace banyanpick
