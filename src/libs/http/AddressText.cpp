#include "http/AddressText.h"

#include "base/Error.h"

namespace banyanpick {

Tcp::endpoint endpointOf(const Address &At) {
  ErrorCode Failure;
  const auto Ip = net::ip::make_address(At.Ip, Failure);
  if (Failure)
    throw Error(ErrorKind::BadInput, "'" + At.Ip + "' is not an IP number",
                "give an address such as 127.0.0.1");
  return {Ip, At.Port};
}

} // namespace banyanpick
