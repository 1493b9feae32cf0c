#include "http/BoundedJson.h"

#include "base/Error.h"

namespace banyanpick {

namespace {

using nlohmann::json;

constexpr int MaxJsonDepth = 64;

[[noreturn]] void throwTooLarge() {
  throw Error(ErrorKind::BadInput,
              "the JSON document is nested or split too far",
              "send fewer or flatter values");
}

} // namespace

json parseBoundedJson(std::string_view Text, std::size_t MaxValues) {
  std::size_t Values = 0;
  const auto Check = [&](int Depth, json::parse_event_t, json &) {
    if (Depth > MaxJsonDepth || ++Values > MaxValues)
      throwTooLarge();
    return true;
  };
  try {
    return json::parse(Text, Check);
  } catch (const json::exception &) {
    throw Error(ErrorKind::BadInput, "the body is no JSON",
                "send one JSON document in UTF-8");
  }
}

std::string dumpJson(const json &Value) {
  return Value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace banyanpick
