/// \file
/// Finds the routes of requests.
#pragma once

#include "gateway/Configuration.h"

#include <memory>
#include <string_view>

namespace banyanpick {

/// An immutable index of one version of the configuration.
class RouteTable {
public:
  explicit RouteTable(std::shared_ptr<const GatewayConfiguration> Declared);

  const GatewayConfiguration &configuration() const { return *this->Declared; }
  std::uint64_t version() const { return this->Declared->Version; }

  /// Returns the route of \p Host whose prefix is the longest that matches the
  /// beginning of \p Path, or null. A port in \p Host is ignored.
  const RouteEntry *find(std::string_view Host, std::string_view Path) const;

  /// Returns the owner of the key, or null.
  const KeyOwner *ownerOf(const std::string &Key) const;

  /// Returns the declaration of the service, or null.
  const ServiceEntry *service(const ServiceId &Id) const;

private:
  /// The routes of one host by prefix.
  using ByPrefix = std::map<std::string, const RouteEntry *, std::less<>>;

  std::shared_ptr<const GatewayConfiguration> Declared;
  std::map<std::string, ByPrefix, std::less<>> ByHost;
};

} // namespace banyanpick
