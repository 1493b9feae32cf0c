#include "http/HttpTarget.h"

#include "base/Error.h"

#include <charconv>

namespace banyanpick {

namespace {

constexpr std::size_t EscapeLength = 3;

char decodeEscape(std::string_view Escape) {
  unsigned Value = 0;
  const char *End = Escape.data() + Escape.size();
  const auto [Rest, Failure] =
      std::from_chars(Escape.data() + 1, End, Value, 16);
  if (Escape.size() != EscapeLength || Failure != std::errc() || Rest != End)
    throw Error(ErrorKind::BadInput, "the target has a malformed escape",
                "write a percent sign as %25");
  return static_cast<char>(Value);
}

std::string decode(std::string_view Text) {
  std::string Result;
  while (!Text.empty()) {
    const bool Escaped = Text.front() == '%';
    Result +=
        Escaped ? decodeEscape(Text.substr(0, EscapeLength)) : Text.front();
    Text.remove_prefix(Escaped ? EscapeLength : 1);
  }
  return Result;
}

} // namespace

std::optional<std::string> HttpTarget::value(std::string_view Name) const {
  const auto Found = this->Query.find(Name);
  if (Found == this->Query.end())
    return std::nullopt;
  return Found->second;
}

std::uint64_t HttpTarget::number(std::string_view Name,
                                 std::uint64_t Otherwise) const {
  const auto Found = this->Query.find(Name);
  if (Found == this->Query.end())
    return Otherwise;
  std::uint64_t Value = 0;
  const char *End = Found->second.data() + Found->second.size();
  const auto [Rest, Failure] =
      std::from_chars(Found->second.data(), End, Value);
  if (Failure != std::errc() || Rest != End)
    throw Error(ErrorKind::BadInput,
                std::string(Name) + " is not a whole number",
                "give a whole number from 0 on");
  return Value;
}

std::optional<std::string>
HttpTarget::afterPrefix(std::string_view Prefix) const {
  if (!this->Path.starts_with(Prefix))
    return std::nullopt;
  return this->Path.substr(Prefix.size());
}

HttpTarget parseTarget(std::string_view Text) {
  HttpTarget Result;
  const std::size_t Mark = Text.find('?');
  Result.Path = decode(Text.substr(0, Mark));
  if (Mark == std::string_view::npos)
    return Result;
  std::string_view Rest = Text.substr(Mark + 1);
  while (!Rest.empty()) {
    const std::size_t End = std::min(Rest.find('&'), Rest.size());
    const std::string_view Item = Rest.substr(0, End);
    const std::size_t Equals = std::min(Item.find('='), Item.size());
    Result.Query[decode(Item.substr(0, Equals))] =
        decode(Item.substr(std::min(Equals + 1, Item.size())));
    Rest.remove_prefix(std::min(End + 1, Rest.size()));
  }
  return Result;
}

} // namespace banyanpick
