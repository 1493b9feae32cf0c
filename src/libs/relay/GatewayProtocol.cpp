#include "relay/GatewayProtocol.h"

#include <map>

namespace banyanpick {

namespace {

/// Filled during static initialization only.
std::map<std::string, GatewayProtocolRegistration::Maker, std::less<>> &
makers() {
  static std::map<std::string, GatewayProtocolRegistration::Maker, std::less<>>
      Registered;
  return Registered;
}

} // namespace

GatewayProtocolRegistration::GatewayProtocolRegistration(std::string_view Name,
                                                         Maker Make) {
  makers().emplace(Name, Make);
}

std::unique_ptr<GatewayProtocol> makeGatewayProtocol(std::string_view Name) {
  const auto Found = makers().find(Name);
  if (Found == makers().end())
    throw Error(ErrorKind::BadInput,
                "there is no gateway protocol named " + std::string(Name),
                "set [gateway] protocol to a protocol of this program");
  return Found->second();
}

} // namespace banyanpick
