#include "relay/HopHeaders.h"

#include <array>
#include <charconv>
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

Duration keepAliveTimeout(const http::response_header<> &Head) {
  const auto Value = Head[http::field::keep_alive];
  const std::string_view Text(Value.data(), Value.size());
  constexpr std::string_view Parameter = "timeout=";
  const std::size_t Position = Text.find(Parameter);
  if (Position == std::string_view::npos)
    return Duration(0);
  const std::string_view Number = Text.substr(Position + Parameter.size());
  std::uint64_t Result = 0;
  std::from_chars(Number.data(), Number.data() + Number.size(), Result);
  return seconds(Result);
}

} // namespace banyanpick
