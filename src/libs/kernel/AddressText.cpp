#include "kernel/AddressText.h"

#include "base/Error.h"

#include <arpa/inet.h>
#include <charconv>

namespace banyanpick {

namespace {

[[noreturn]] void throwMalformed(std::string_view Text) {
  throw Error(ErrorKind::BadInput,
              "'" + std::string(Text) + "' is not an address",
              "give an IP number and a port, such as 127.0.0.1:8080");
}

bool isIpAddress(const std::string &Text) {
  in6_addr Unused{};
  return inet_pton(AF_INET, Text.c_str(), &Unused) == 1 ||
         inet_pton(AF_INET6, Text.c_str(), &Unused) == 1;
}

} // namespace

Address addressFromText(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    throwMalformed(Text);
  std::string_view Ip = Text.substr(0, Colon);
  if (Ip.size() > 2 && Ip.front() == '[' && Ip.back() == ']')
    Ip = Ip.substr(1, Ip.size() - 2);
  Address Result{std::string(Ip), 0};
  const char *End = Text.data() + Text.size();
  const auto [Parsed, Failure] =
      std::from_chars(Text.data() + Colon + 1, End, Result.Port);
  if (Failure != std::errc() || Parsed != End || !isIpAddress(Result.Ip))
    throwMalformed(Text);
  return Result;
}

std::string text(const Address &At) {
  const bool IsIpv6 = At.Ip.find(':') != std::string::npos;
  const std::string Ip = IsIpv6 ? "[" + At.Ip + "]" : At.Ip;
  return Ip + ":" + std::to_string(At.Port);
}

} // namespace banyanpick
