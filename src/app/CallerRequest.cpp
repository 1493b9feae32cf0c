#include "app/CallerRequest.h"

#include "app/ContentHash.h"
#include "http/BoundedJson.h"

#include <optional>

namespace banyanpick {

namespace {

using nlohmann::json;

constexpr std::size_t MaxMemberBytes = 256;
constexpr std::uint64_t MaxTimeoutMs = 24ULL * 3600 * 1000;

[[noreturn]] void throwInvalidMember(std::string_view Member,
                                     std::string_view Remedy) {
  throw Error(ErrorKind::BadInput,
              "member '" + std::string(Member) + "' is wrong", Remedy);
}

/// Returns the text of a member, or an empty string when it is absent.
std::string textMember(const json &Object, const char *Name) {
  const auto Found = Object.find(Name);
  if (Found == Object.end())
    return {};
  const auto *Text = Found->get_ptr<const std::string *>();
  if (!Text || Text->size() > MaxMemberBytes)
    throwInvalidMember(Name, "give a string of at most 256 bytes");
  return *Text;
}

std::optional<std::uint64_t> integerMember(const json &Object,
                                           const char *Name) {
  const auto Found = Object.find(Name);
  if (Found == Object.end())
    return std::nullopt;
  if (!Found->is_number_unsigned())
    throwInvalidMember(Name, "give a whole number from 0 on");
  return Found->get<std::uint64_t>();
}

bool flagMember(const json &Object, const char *Name) {
  const auto Found = Object.find(Name);
  if (Found == Object.end())
    return false;
  if (!Found->is_boolean())
    throwInvalidMember(Name, "give true or false");
  return Found->get<bool>();
}

json parseObject(const HttpExchange &Exchange) {
  json Root = parseBoundedJson(Exchange.body(), MaxCallerJsonValues);
  if (!Root.is_object())
    throw Error(ErrorKind::BadInput, "the body is not a JSON object",
                "send an object as docs/PROTOCOLS.md shows");
  return Root;
}

/// Reads the members that calls and completions have in common.
RequestHead headFrom(const HttpExchange &Exchange, const json &Root) {
  RequestHead Result;
  Result.TeamKey = bearerKey(Exchange);
  Result.Class.Value = textMember(Root, "class");
  if (Result.Class.Value.empty())
    throwInvalidMember("class", "name a class of the catalogue");
  Result.Session = textMember(Root, "session");
  if (const auto Timeout = integerMember(Root, "timeout_ms")) {
    if (*Timeout == 0 || *Timeout > MaxTimeoutMs)
      throwInvalidMember("timeout_ms", "give 1 to 86400000");
    Result.Timeout = milliseconds(*Timeout);
  }
  const std::string Key = textMember(Root, "operation_key");
  if (!Key.empty())
    Result.Operation = OperationKey(Key);
  return Result;
}

void setDerivedFields(CallerRequest &Req) {
  Req.Head.PromptTokens = estimateTokens(Req.Content.Text);
  Req.Head.Content = contentFingerprint(Req.Head.Class, Req.Content.Text);
  if (Req.Head.Operation)
    Req.Content.OperationKey = Req.Head.Operation->Value;
}

} // namespace

std::string bearerKey(const HttpExchange &Exchange) {
  constexpr std::string_view Scheme = "Bearer ";
  const std::string_view Header = Exchange.header("Authorization");
  return Header.starts_with(Scheme) ? std::string(Header.substr(Scheme.size()))
                                    : std::string();
}

CallerRequest completionFrom(const HttpExchange &Exchange) {
  json Root = parseObject(Exchange);
  CallerRequest Result;
  Result.Head = headFrom(Exchange, Root);
  Result.Head.MaxOutputTokens = integerMember(Root, "max_tokens").value_or(0);
  Result.Head.Streamed = flagMember(Root, "stream");
  const auto Prompt = Root.find("prompt");
  if (Prompt == Root.end() || !Prompt->is_string())
    throwInvalidMember("prompt", "give a string");
  Result.Content.Text = std::move(Prompt->get_ref<std::string &>());
  setDerivedFields(Result);
  Result.Head.Blocks = promptBlocks(Result.Content.Text);
  return Result;
}

CallerRequest callFrom(const HttpExchange &Exchange) {
  const json Root = parseObject(Exchange);
  CallerRequest Result;
  Result.Head = headFrom(Exchange, Root);
  const auto Body = Root.find("body");
  if (Body == Root.end())
    throwInvalidMember("body", "give the call's JSON value");
  Result.Content.Type = RequestContent::Kind::Call;
  Result.Content.Text = dumpJson(*Body);
  setDerivedFields(Result);
  return Result;
}

} // namespace banyanpick
