#include "catalogue/CatalogueText.h"

#include "base/Error.h"
#include "catalogue/CatalogueJson.h"

namespace banyanpick {

namespace {

using nlohmann::json;

/// Bytes that are no UTF-8 can't come through the wire format; should they
/// come all the same, every host replaces them alike.
std::string dump(const json &Value) {
  return Value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

std::string canonicalText(const EntryMap &Entries) {
  std::string Result;
  for (const json &Each : toJson(Entries))
    Result += dump(Each) + "\n";
  return Result;
}

EntryMap entriesFromCanonicalText(std::string_view Text) {
  json Entries = json::array();
  while (!Text.empty()) {
    const std::size_t End = Text.find('\n');
    if (End == std::string_view::npos)
      throw Error(ErrorKind::BadInput, "the catalogue's text ends in a line",
                  "read the snapshot again or take it from another host");
    json Line = json::parse(Text.substr(0, End), nullptr, false);
    if (Line.is_discarded())
      throw Error(ErrorKind::BadInput,
                  "a line of the catalogue's text is no "
                  "JSON",
                  "read the snapshot again or take it from another host");
    Entries.push_back(std::move(Line));
    Text.remove_prefix(End + 1);
  }
  return entryMapFromJson(Entries);
}

} // namespace banyanpick
