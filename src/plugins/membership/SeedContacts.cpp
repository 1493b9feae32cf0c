#include "plugins/membership/SeedContacts.h"

#include "base/Error.h"
#include "base/Text.h"

#include <algorithm>
#include <charconv>

namespace banyanpick {

namespace {

[[noreturn]] void throwBadSeed(std::string_view Text) {
  throw Error(ErrorKind::BadInput,
              "the seed " + std::string(Text) + " is no address",
              "give ip:port, divided by commas");
}

Address seedAddress(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos || Colon == 0)
    throwBadSeed(Text);
  Address Result;
  Result.Ip = std::string(Text.substr(0, Colon));
  const std::string_view Port = Text.substr(Colon + 1);
  const auto Read =
      std::from_chars(Port.data(), Port.data() + Port.size(), Result.Port);
  if (Read.ec != std::errc() || Read.ptr != Port.data() + Port.size())
    throwBadSeed(Text);
  return Result;
}

} // namespace

SeedContacts::SeedContacts(std::string_view Text, const Address &Self) {
  while (!trimmed(Text).empty()) {
    const std::size_t Comma = std::min(Text.find(','), Text.size());
    const std::string_view Each = trimmed(Text.substr(0, Comma));
    Text.remove_prefix(std::min(Comma + 1, Text.size()));
    if (Each.empty())
      continue;
    HostListing Contact;
    Contact.Id.Value = "seed " + std::string(Each);
    Contact.Peers = seedAddress(Each);
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
