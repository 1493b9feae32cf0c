/// \file
#include "plugins/catalogue/SnapshotText.h"

#include "base/Error.h"
#include "catalogue/CatalogueJson.h"

namespace banyanpick {

namespace {

constexpr int FormatVersion = 1;

[[noreturn]] void throwUnreadable(const std::string &Reason) {
  throw Error(ErrorKind::BadInput, "the snapshot is unreadable: " + Reason,
              "let a host of this version write a new one");
}

} // namespace

std::string serializeSnapshot(const Catalogue &Source) {
  nlohmann::json Verdicts = nlohmann::json::array();
  for (const KnownVerdict &Verdict : Source.verdicts())
    Verdicts.push_back(
        {{"id", Verdict.Id.Value}, {"verdict", toJson(Verdict.Verdict)}});
  return nlohmann::json{{"format", FormatVersion},
                        {"entries", toJson(Source.entries())},
                        {"verdicts", std::move(Verdicts)}}
      .dump();
}

SnapshotState parseSnapshot(std::string_view Text) {
  try {
    const nlohmann::json Parsed = nlohmann::json::parse(Text);
    if (Parsed.at("format") != FormatVersion)
      throwUnreadable("its format is not known");
    SnapshotState Result{entryMapFromJson(Parsed.at("entries")), {}};
    for (const nlohmann::json &Verdict : Parsed.at("verdicts"))
      Result.Verdicts.push_back({ChangeId(Verdict.at("id").get<std::string>()),
                                 changeVerdictFromJson(Verdict.at("verdict"))});
    return Result;
  } catch (const nlohmann::json::exception &Problem) {
    throwUnreadable(Problem.what());
  }
}

} // namespace banyanpick
