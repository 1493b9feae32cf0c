#include "gateway/RouteTable.h"

#include <algorithm>
#include <cctype>

namespace banyanpick {

namespace {

/// Returns the host name in lower case without the port.
std::string hostKey(std::string_view Host) {
  std::string Result(Host.substr(0, Host.find(':')));
  std::ranges::transform(Result, Result.begin(), [](unsigned char Character) {
    return static_cast<char>(std::tolower(Character));
  });
  return Result;
}

} // namespace

RouteTable::RouteTable(std::shared_ptr<const GatewayConfiguration> Given)
    : Declared(std::move(Given)) {
  for (const RouteEntry &Route : this->Declared->Routes)
    this->ByHost[hostKey(Route.Host)].emplace(Route.PathPrefix, &Route);
}

const RouteEntry *RouteTable::find(std::string_view Host,
                                   std::string_view Path) const {
  const auto Routes = this->ByHost.find(hostKey(Host));
  if (Routes == this->ByHost.end())
    return nullptr;
  // Prefixes end with a slash, so only the parts of the path that end with a
  // slash are candidates.
  std::size_t Length = Path.size();
  while (Length > 0) {
    const std::size_t Slash = Path.rfind('/', Length - 1);
    if (Slash == std::string_view::npos)
      return nullptr;
    const auto Found = Routes->second.find(Path.substr(0, Slash + 1));
    if (Found != Routes->second.end())
      return Found->second;
    Length = Slash;
  }
  return nullptr;
}

const KeyOwner *RouteTable::ownerOf(const std::string &Key) const {
  const auto Found = this->Declared->Keys.find(Key);
  return Found == this->Declared->Keys.end() ? nullptr : &Found->second;
}

const ServiceEntry *RouteTable::service(const ServiceId &Id) const {
  const auto Found = this->Declared->Services.find(Id);
  return Found == this->Declared->Services.end() ? nullptr : &Found->second;
}

} // namespace banyanpick
