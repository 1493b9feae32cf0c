#include "app/CallerRequest.h"

#include "app/ContentHash.h"
#include "http/BoundedJson.h"

#include <optional>

namespace banyanpick {

namespace {

using nlohmann::json;

constexpr std::size_t LongestName = 256;
constexpr std::uint64_t LongestTimeoutMs = 24ULL * 3600 * 1000;

[[noreturn]] void throwWrong(std::string_view Member, std::string_view Remedy) {
  throw Error(ErrorKind::BadInput,
              "member '" + std::string(Member) + "' is wrong", Remedy);
}

/// The text of a member; empty when absent.
std::string textOf(const json &Of, const char *Name) {
  const auto Found = Of.find(Name);
  if (Found == Of.end())
    return {};
  const auto *Text = Found->get_ptr<const std::string *>();
  if (!Text || Text->size() > LongestName)
    throwWrong(Name, "give a string of at most 256 bytes");
  return *Text;
}

std::optional<std::uint64_t> wholeOf(const json &Of, const char *Name) {
  const auto Found = Of.find(Name);
  if (Found == Of.end())
    return std::nullopt;
  if (!Found->is_number_unsigned())
    throwWrong(Name, "give a whole number from 0 on");
  return Found->get<std::uint64_t>();
}

bool flagOf(const json &Of, const char *Name) {
  const auto Found = Of.find(Name);
  if (Found == Of.end())
    return false;
  if (!Found->is_boolean())
    throwWrong(Name, "give true or false");
  return Found->get<bool>();
}

json parseObject(const HttpExchange &Each) {
  json Given = parseBoundedJson(Each.body(), MaxCallerJsonValues);
  if (!Given.is_object())
    throw Error(ErrorKind::BadInput, "the body is not a JSON object",
                "send an object as docs/PROTOCOLS.md shows");
  return Given;
}

/// What calls and completions share.
RequestHead headFrom(const HttpExchange &Each, const json &Given) {
  RequestHead Result;
  Result.TeamKey = bearerKey(Each);
  Result.Class.Value = textOf(Given, "class");
  if (Result.Class.Value.empty())
    throwWrong("class", "name a class of the catalogue");
  Result.Session = textOf(Given, "session");
  if (const auto Timeout = wholeOf(Given, "timeout_ms")) {
    if (*Timeout == 0 || *Timeout > LongestTimeoutMs)
      throwWrong("timeout_ms", "give 1 to 86400000");
    Result.Timeout = milliseconds(*Timeout);
  }
  const std::string Key = textOf(Given, "operation_key");
  if (!Key.empty())
    Result.Operation = OperationKey(Key);
  return Result;
}

void measure(CallerRequest &Of) {
  Of.Head.PromptTokens = estimateTokens(Of.Content.Text);
  Of.Head.Content = contentFingerprint(Of.Head.Class, Of.Content.Text);
  if (Of.Head.Operation)
    Of.Content.OperationKey = Of.Head.Operation->Value;
}

} // namespace

std::string bearerKey(const HttpExchange &Each) {
  constexpr std::string_view Scheme = "Bearer ";
  const std::string_view Given = Each.header("Authorization");
  return Given.starts_with(Scheme) ? std::string(Given.substr(Scheme.size()))
                                   : std::string();
}

CallerRequest completionFrom(const HttpExchange &Each) {
  json Given = parseObject(Each);
  CallerRequest Result;
  Result.Head = headFrom(Each, Given);
  Result.Head.MaxOutputTokens = wholeOf(Given, "max_tokens").value_or(0);
  Result.Head.Streamed = flagOf(Given, "stream");
  const auto Prompt = Given.find("prompt");
  if (Prompt == Given.end() || !Prompt->is_string())
    throwWrong("prompt", "give a string");
  Result.Content.Text = std::move(Prompt->get_ref<std::string &>());
  measure(Result);
  Result.Head.Blocks = promptBlocks(Result.Content.Text);
  return Result;
}

CallerRequest callFrom(const HttpExchange &Each) {
  const json Given = parseObject(Each);
  CallerRequest Result;
  Result.Head = headFrom(Each, Given);
  const auto Body = Given.find("body");
  if (Body == Given.end())
    throwWrong("body", "give the call's JSON value");
  Result.Content.What = RequestContent::Kind::Call;
  Result.Content.Text = dumpJson(*Body);
  measure(Result);
  return Result;
}

} // namespace banyanpick
