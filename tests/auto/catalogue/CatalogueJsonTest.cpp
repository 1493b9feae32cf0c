#include "catalogue/CatalogueJson.h"
#include "auto/catalogue/Samples.h"
#include "base/Error.h"

#include <array>
#include <gtest/gtest.h>

namespace banyanpick {
namespace {

using nlohmann::json;

ChangeSet sampleSet() {
  ChangeSet Set{ChangeId("c-1"), OwnerId("ring"), {}};
  for (const auto &[Key, Value] : sampleEntries())
    Set.Changes.push_back({Key, Value.Version, Value.Owner, Value.Body});
  const EntryKey Removed{EntryKind::Team, "old"};
  Set.Changes.push_back(Change{Removed, 3, OwnerId("ring"), std::nullopt});
  return Set;
}

std::string errorFor(const json &Source) {
  try {
    changeSetFromJson(Source);
  } catch (const Error &Caught) {
    EXPECT_EQ(Caught.kind(), ErrorKind::BadInput);
    EXPECT_FALSE(Caught.remedy().empty());
    return Caught.what();
  }
  return "";
}

TEST(CatalogueJson, RoundTripsChangeSetsEntriesAndVerdicts) {
  EXPECT_EQ(changeSetFromJson(json::parse(toJson(sampleSet()).dump())),
            sampleSet());
  EXPECT_EQ(entryMapFromJson(toJson(sampleEntries())), sampleEntries());
  for (const ChangeVerdict &Verdict :
       {ChangeVerdict(ChangeAccepted{9}), ChangeVerdict(ChangeRefused{"no"})})
    EXPECT_EQ(changeVerdictFromJson(toJson(Verdict)), Verdict);
}

TEST(CatalogueJson, ErrorsNamePathOfInvalidMember) {
  const auto ErrorWith = [](std::string_view Pointer, const json &Value) {
    json Source = toJson(sampleSet());
    Source[json::json_pointer(std::string(Pointer))] = Value;
    return errorFor(Source);
  };
  const std::vector<std::array<std::string, 2>> Cases{
      {"/changes/0/body/key", "changes[0].body.key is not a salted hash"},
      {"/changes/0/kind", "changes[0].kind"},
      {"/changes/0/name", "changes[0].name is malformed"},
      {"/changes/0/base_version", "changes[0].base_version is not a whole"},
      {"/changes/2/body/first_token", "changes[2].body.first_token is not a"},
      {"/changes/2/body/target", "changes[2].body.target names no target"},
      {"/changes/1/body/unheard", "changes[1].body.unheard is not a known"},
      {"/changes/1/body", "changes[1].body is not an object"},
      {"/changes", "changes is not a list"},
  };
  for (const auto &[Pointer, Expected] : Cases)
    EXPECT_NE(ErrorWith(Pointer, "a b").find(Expected), std::string::npos)
        << ErrorWith(Pointer, "a b");
  EXPECT_NE(ErrorWith("/changes/2/body/urgency", 10).find("0 to 9"),
            std::string::npos);
  EXPECT_NE(errorFor(json::array()).find("not an object"), std::string::npos);
}

} // namespace
} // namespace banyanpick
