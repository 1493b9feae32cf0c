/// \file
/// Finds the route of a request.
#pragma once

#include "gateway/Configuration.h"

#include <memory>
#include <string_view>

namespace banyanpick {

/// An index over one version of the configuration. Never changes.
class RouteTable {
public:
  explicit RouteTable(std::shared_ptr<const GatewayConfiguration> Declared);

  const GatewayConfiguration &configuration() const { return *this->Declared; }
  std::uint64_t version() const { return this->Declared->Version; }

  /// The route of \p Host (a port is ignored) with the longest prefix that
  /// begins \p Path, or null.
  const RouteEntry *find(std::string_view Host, std::string_view Path) const;

  /// Whose key it is, or null.
  const KeyOwner *ownerOf(const std::string &Key) const;

  /// The service's declaration, or null.
  const ServiceEntry *service(const ServiceId &Id) const;

private:
  /// Routes of one host by prefix.
  using ByPrefix = std::map<std::string, const RouteEntry *, std::less<>>;

  std::shared_ptr<const GatewayConfiguration> Declared;
  std::map<std::string, ByPrefix, std::less<>> ByHost;
};

} // namespace banyanpick
