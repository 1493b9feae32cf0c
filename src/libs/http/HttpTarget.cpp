#include "http/HttpTarget.h"

#include "base/Error.h"

#include <charconv>

namespace banyanpick {

namespace {

constexpr std::size_t EscapeLength = 3;

char decodeEscape(std::string_view Escape) {
  unsigned Value = 0;
  const char *End = Escape.data() + Escape.size();
  const auto [ParseEnd, Failure] =
      std::from_chars(Escape.data() + 1, End, Value, 16);
  if (Escape.size() != EscapeLength || Failure != std::errc() ||
      ParseEnd != End)
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
                                 std::uint64_t Default) const {
  const auto Found = this->Query.find(Name);
  if (Found == this->Query.end())
    return Default;
  std::uint64_t Value = 0;
  const char *End = Found->second.data() + Found->second.size();
  const auto [ParseEnd, Failure] =
      std::from_chars(Found->second.data(), End, Value);
  if (Failure != std::errc() || ParseEnd != End)
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
  const std::size_t QueryStart = Text.find('?');
  Result.Path = decode(Text.substr(0, QueryStart));
  if (QueryStart == std::string_view::npos)
    return Result;
  std::string_view Remaining = Text.substr(QueryStart + 1);
  while (!Remaining.empty()) {
    const std::size_t End = std::min(Remaining.find('&'), Remaining.size());
    const std::string_view Parameter = Remaining.substr(0, End);
    const std::size_t Equals = std::min(Parameter.find('='), Parameter.size());
    Result.Query[decode(Parameter.substr(0, Equals))] =
        decode(Parameter.substr(std::min(Equals + 1, Parameter.size())));
    Remaining.remove_prefix(std::min(End + 1, Remaining.size()));
  }
  return Result;
}

} // namespace banyanpick
