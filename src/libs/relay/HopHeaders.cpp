#include "relay/HopHeaders.h"

#include <array>
#include <string>
#include <vector>

namespace banyanpick {

namespace {

constexpr std::array<http::field, 9> HopFields{http::field::connection,
                                               http::field::keep_alive,
                                               http::field::proxy_connection,
                                               http::field::proxy_authenticate,
                                               http::field::proxy_authorization,
                                               http::field::te,
                                               http::field::trailer,
                                               http::field::transfer_encoding,
                                               http::field::upgrade};

} // namespace

void removeHopHeaders(http::fields &Headers) {
  std::vector<std::string> Named;
  const auto Range = Headers.equal_range(http::field::connection);
  for (auto Each = Range.first; Each != Range.second; ++Each)
    for (const auto &Name : http::token_list(Each->value()))
      Named.emplace_back(Name.data(), Name.size());
  for (const std::string &Name : Named)
    Headers.erase(Name);
  for (const http::field Each : HopFields)
    Headers.erase(Each);
}

} // namespace banyanpick
