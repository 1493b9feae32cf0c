#include "operators/OperatorJson.h"
#include "auto/catalogue/Samples.h"
#include "base/Error.h"

#include <gtest/gtest.h>

namespace banyanpick {
namespace {

using nlohmann::json;

StatusReport sampleStatus() {
  StatusReport Result{HostId("h1"), true, true, false, 12, 0, {}, {}, {}};
  Result.Hosts.push_back({HostId("h2"), ZoneId("a"), MemberState::Suspect, true,
                          11, milliseconds(1500)});
  Result.Upstreams.push_back({UpstreamId("e1"), UpstreamKind::Engine,
                              ZoneId("b"), "live", 5000, 10, 20, 3,
                              milliseconds(40)});
  Result.Quarantined.push_back({Fingerprint(0xabc), 2, Time(seconds(7))});
  return Result;
}

/// Returns the JSON of the answer after it was serialized and parsed.
json toWire(const OperatorAnswer &Answer) {
  return json::parse(toJson(Answer).dump());
}

TEST(OperatorJson, AnswersSurviveSerialization) {
  const json Status = toWire(sampleStatus());
  EXPECT_EQ(toJson(OperatorAnswer(statusFromJson(Status))), Status);
  const json Shown = toWire(CatalogueShown{9, sampleEntries()});
  EXPECT_EQ(toJson(OperatorAnswer(catalogueShownFromJson(Shown))), Shown);
  const ChangeSet Set{ChangeId("c"), OwnerId("ring"), {}};
  const json History = toWire(HistoryShown{{{4, Set, ChangeRefused{"no"}}}});
  EXPECT_EQ(toJson(OperatorAnswer(historyFromJson(History))), History);
  const json Pending = toWire(VerdictPending{"wait"});
  EXPECT_TRUE(
      std::holds_alternative<VerdictPending>(changeAnswerFromJson(Pending)));
}

TEST(OperatorJson, RejectsMalformedAnswers) {
  json Status = toWire(sampleStatus());
  Status["hosts"][0]["in_force"] = "x";
  try {
    statusFromJson(Status);
    FAIL();
  } catch (const Error &Caught) {
    EXPECT_NE(std::string(Caught.what()).find("hosts[0].in_force"),
              std::string::npos);
  }
  EXPECT_THROW(changeAnswerFromJson(json{{"verdict", "maybe"}}), Error);
  EXPECT_THROW(parseFingerprint("12345678901234567"), Error);
  EXPECT_THROW(parseFingerprint("xyz"), Error);
  EXPECT_EQ(parseFingerprint(fingerprintText(Fingerprint(77))),
            Fingerprint(77));
}

} // namespace
} // namespace banyanpick
