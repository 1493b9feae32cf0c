/// \file
/// An engine of a gateway deployment that answers with prepared bytes.
#pragma once

#include "auto/http/RawServer.h"
#include "platform/WireNames.h"
#include "process/GatewayDeployment.h"

#include <fmt/format.h>

namespace banyanpick::process {

/// Returns the value of a header of a request.
inline std::string headerOf(std::string_view Head, std::string_view Name) {
  const std::size_t Found = Head.find(std::string(Name) + ": ");
  if (Found == std::string_view::npos)
    return {};
  const std::size_t From = Found + Name.size() + 2;
  return std::string(Head.substr(From, Head.find('\r', From) - From));
}

/// Returns the headers that mark the answer to the request as the engine's.
inline std::string markedHeaders(std::string_view RequestHead) {
  return fmt::format("{}: {}\r\n{}: seal\r\n", platform::header::AttemptId,
                     headerOf(RequestHead, platform::header::AttemptId),
                     platform::header::Seal);
}

/// Serves and is registered until it is destroyed.
class RawEngine {
public:
  /// Waits until the hosts know the engine.
  RawEngine(const GatewayDeployment &Gateway, std::string IdGiven,
            RawServer::Script Answer)
      : Gateway(Gateway), Id(std::move(IdGiven)), Server(std::move(Answer)) {
    constexpr milliseconds RegistrationTime(400);
    const Address At = this->Server.at();
    this->Gateway.put(
        std::string(platform::topic::Engines), this->Id,
        fmt::format(R"({{"Service":"desk","Address":"{}:{}","Zone":"east",)"
                    R"("Version":"v1","Slots":6,"State":"ready"}})",
                    At.Ip, At.Port));
    std::this_thread::sleep_for(RegistrationTime);
  }
  ~RawEngine() { this->Gateway.unregister(this->Id); }
  RawEngine(const RawEngine &) = delete;
  RawEngine &operator=(const RawEngine &) = delete;

private:
  const GatewayDeployment &Gateway;
  std::string Id;
  RawServer Server;
};

} // namespace banyanpick::process
