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
  std::vector<std::string> ConnectionNames;
  const auto Range = Headers.equal_range(http::field::connection);
  for (auto Header = Range.first; Header != Range.second; ++Header)
    for (const auto &Name : http::token_list(Header->value()))
      ConnectionNames.emplace_back(Name.data(), Name.size());
  for (const std::string &Name : ConnectionNames)
    Headers.erase(Name);
  for (const http::field Field : HopFields)
    Headers.erase(Field);
}

} // namespace banyanpick
