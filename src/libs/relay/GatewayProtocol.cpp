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
                "no gateway protocol is called " + std::string(Name),
                "set [gateway] protocol to one that the program has");
  return Found->second();
}

} // namespace banyanpick
