/// \file
#include "plugins/catalogue/SnapshotText.h"

#include "base/Error.h"
#include "catalogue/CatalogueJson.h"

namespace banyanpick {

namespace {

constexpr int FormatVersion = 1;

[[noreturn]] void throwUnreadable(const std::string &What) {
  throw Error(ErrorKind::BadInput, "the snapshot is unreadable: " + What,
              "let a host of this version write a new one");
}

} // namespace

std::string snapshotText(const Catalogue &Source) {
  nlohmann::json Verdicts = nlohmann::json::array();
  for (const KnownVerdict &Each : Source.verdicts())
    Verdicts.push_back(
        {{"id", Each.Id.Value}, {"verdict", toJson(Each.Verdict)}});
  return nlohmann::json{{"format", FormatVersion},
                        {"entries", toJson(Source.entries())},
                        {"verdicts", std::move(Verdicts)}}
      .dump();
}

SnapshotState snapshotFromText(std::string_view Text) {
  try {
    const nlohmann::json Given = nlohmann::json::parse(Text);
    if (Given.at("format") != FormatVersion)
      throwUnreadable("its format is not known");
    SnapshotState Result{entryMapFromJson(Given.at("entries")), {}};
    for (const nlohmann::json &Each : Given.at("verdicts"))
      Result.Verdicts.push_back({ChangeId(Each.at("id").get<std::string>()),
                                 changeVerdictFromJson(Each.at("verdict"))});
    return Result;
  } catch (const nlohmann::json::exception &Problem) {
    throwUnreadable(Problem.what());
  }
}

} // namespace banyanpick
