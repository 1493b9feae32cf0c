/// \file
/// Tests that recorded documents of the platform are converted to the gateway's
/// types.
#include "platform/ConfigurationJson.h"
#include "platform/EngineJson.h"

#include "base/Error.h"

#include "gateway/EngineIncarnation.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace banyanpick::platform {
namespace {

constexpr std::string_view Recorded = R"({"Version":7,"Routes":[
{"Name":"r-2yhvz3p","Host":"ficu95.example","PathPrefix":"/lohu930/",
 "Kind":"streaming","TimeoutMs":10000,"TargetLatencyMs":300,"Priority":1,
 "Split":[{"Service":"huvo11a","Weight":90},{"Service":"wuno96b","Weight":10}],
 "Attempts":2,"Public":false,"Sticky":true,"Resumable":true,
 "TargetGapMs":250},
{"Name":"r-x","Host":"ficu95.example","PathPrefix":"/puxa403/",
 "Kind":"unsafe","TimeoutMs":1500,"TargetLatencyMs":300,"Priority":2,
 "Service":"wuno96b","Attempts":1,"Public":true}],
"Services":[{"Name":"huvo11a","HealthPath":"/health","ConnectionLimit":264,
 "Protocol":"h1","Tls":false,"Engine":{"Slots":16,"KvCacheTokens":405000,
 "Stride":34,"step_ms":1.31,"per_seq_ms":0.000917,"context_per_k":0.00213,
 "read_per_s":154000.0,"pairs_per_m":0.162,"chunk":2048,
 "report_lag_ms":200.0,"HopMs":0.1,
 "usual":{"prompt":13227,"answer":1541}}},
 {"Name":"wuno96b","HealthPath":"/health","ConnectionLimit":96}],
"Limits":{"HeaderBytes":16384,"BodyBytes":4194304,"HeaderTimeoutMs":3000,
 "IdleTimeoutMs":15000},
"Tenants":[{"Name":"hule930","Credentials":["n2ctnfzs","anfqasnm"],
 "Priority":1}]})";

/// Guards against home regions that are not decoded.
TEST(ConfigurationJson, HomeRegionsOfRoutesAndTenants) {
  const auto Read = readConfiguration(R"({"Version":1,"Routes":[
    {"Host":"a","PathPrefix":"/","HomeRegions":["east","west"]},
    {"Host":"b","PathPrefix":"/"}],
    "Tenants":[{"Name":"t","Credentials":["k"],"HomeRegions":["east"]}]})");
  const std::vector Both{RegionId("east"), RegionId("west")};
  EXPECT_EQ(Read->Routes[0].HomeRegions, Both);
  EXPECT_TRUE(Read->Routes[1].HomeRegions.empty());
  const std::vector One{RegionId("east")};
  EXPECT_EQ(Read->Keys.at("k").HomeRegions, One);
  EXPECT_TRUE(Read->Problems.empty());
}

/// Guards against a malformed list of regions that makes the whole
/// configuration ineffective.
TEST(ConfigurationJson, MalformedHomeRegionsAreReportedAndTheRestHolds) {
  const auto Read = readConfiguration(R"({"Version":1,"Routes":[
    {"Host":"a","PathPrefix":"/","HomeRegions":"east"},
    {"Host":"b","PathPrefix":"/","HomeRegions":["west",5,""]},
    {"Host":"c","PathPrefix":"/","HomeRegions":null}]})");
  ASSERT_EQ(Read->Routes.size(), 3U);
  EXPECT_TRUE(Read->Routes[0].HomeRegions.empty());
  EXPECT_EQ(Read->Routes[1].HomeRegions, std::vector{RegionId("west")});
  EXPECT_EQ(Read->Problems.size(), 3U);
}

TEST(ConfigurationJson, BecomesRoutesServicesLimitsAndKeys) {
  const auto Read = readConfiguration(Recorded);
  EXPECT_EQ(Read->Version, 7U);
  ASSERT_EQ(Read->Routes.size(), 2U);
  const RouteEntry &Stream = Read->Routes[0];
  EXPECT_EQ(Stream.Kind, RequestKind::Stream);
  EXPECT_TRUE(Stream.Resumable);
  EXPECT_EQ(Stream.TimeLimit, seconds(10));
  EXPECT_EQ(Stream.MaxEventGap, milliseconds(250));
  ASSERT_EQ(Stream.Split.size(), 2U);
  EXPECT_EQ(Stream.Split[1].Weight, 10);
  EXPECT_EQ(Read->Routes[1].Kind, RequestKind::AtMostOnce);
  EXPECT_TRUE(Read->Routes[1].Public);
  const ServiceEntry &EngineService = Read->Services.at(ServiceId("huvo11a"));
  ASSERT_TRUE(EngineService.Engine);
  EXPECT_EQ(EngineService.Engine->MemoryTokens, 405'000U);
  EXPECT_EQ(EngineService.Engine->PrefillTokensPerMs, 154);
  EXPECT_EQ(EngineService.Engine->MeanPromptTokens, 13'227U);
  EXPECT_EQ(EngineService.Engine->MeanAnswerTokens, 1541U);
  EXPECT_FALSE(Read->Services.at(ServiceId("wuno96b")).Engine);
  EXPECT_EQ(Read->Limits.IdleTimeout, seconds(15));
  EXPECT_TRUE(Read->NeedsKeys);
  EXPECT_EQ(Read->Keys.at("anfqasnm").Team, TeamId("hule930"));
  EXPECT_EQ(Read->Document, Recorded);
}

/// Guards against limits of upstreams that are decoded wrongly, so that hosts
/// overload a cold upstream or open more connections than it accepts.
TEST(ConfigurationJson, NamesTheLimitsOfAService) {
  const auto Read = readConfiguration(
      R"({"Version":1,"Services":[{"Name":"s","ConnectionLimit":578,
      "ColdStartS":3.5,"ColdPerS":23},{"Name":"t","ColdPerS":null}]})");
  const ServiceEntry &Limited = Read->Services.at(ServiceId("s"));
  EXPECT_EQ(Limited.MaxConnections, 578U);
  EXPECT_EQ(Limited.ColdStart, milliseconds(3500));
  EXPECT_EQ(Limited.ColdRequestsPerSecond, 23);
  const ServiceEntry &Unlimited = Read->Services.at(ServiceId("t"));
  EXPECT_EQ(Unlimited.MaxConnections, 0U);
  EXPECT_EQ(Unlimited.ColdStart, Duration(0));
  EXPECT_EQ(Unlimited.ColdRequestsPerSecond, 0);
}

TEST(ConfigurationJson, NeedsNoKeysWithoutTeams) {
  EXPECT_FALSE(readConfiguration(R"({"Version":1})")->NeedsKeys);
}

TEST(ConfigurationJson, ReadsAnUnknownKindAsAtMostOnce) {
  const auto Read = readConfiguration(
      R"({"Version":1,"Routes":[{"Host":"h","PathPrefix":"/","Kind":"new"}]})");
  EXPECT_EQ(Read->Routes[0].Kind, RequestKind::AtMostOnce);
}

TEST(ConfigurationJson, RejectsMalformedDocuments) {
  for (const char *Bad : {"", "[]", "{}", R"({"Version":"x"})",
                          R"({"Version":1,"Routes":[{"Host":1}]})"})
    EXPECT_THROW(readConfiguration(Bad), Error) << Bad;
}

TEST(EngineJson, ARegistrationBecomesARecord) {
  const EngineRecord Read = readEngine(
      "i-7f3a91c2",
      R"({"Service":"huvo11a","Address":"10.128.0.9:8080","Zone":"hall-a",
      "Version":"v1","Slots":16,"State":"draining","ColdRemainingMs":0,
      "Stage":"both","Sequence":4})");
  EXPECT_EQ(Read.Id, UpstreamId("i-7f3a91c2"));
  EXPECT_EQ(Read.At, (Address{"10.128.0.9", 8080}));
  EXPECT_TRUE(Read.Draining);
  EXPECT_THROW(readEngine("i", R"({"Service":"s","Address":"nowhere"})"),
               Error);
}

EngineRecord coldRegistration(const std::string &ColdMember) {
  return readEngine("i-7", "{" + ColdMember +
                               R"("Service":"s","Address":"10.0.0.1:80",
      "Zone":"z","Slots":16,"State":"ready"})");
}

/// Guards against a bad cold time that removes the engine or makes it warm.
TEST(EngineJson, ARegistrationSaysForHowLongTheEngineIsCold) {
  EXPECT_EQ(coldRegistration(R"("ColdRemainingMs":2500,)").ColdFor,
            milliseconds(2500));
  for (const char *Warm :
       {"", R"("ColdRemainingMs":null,)", R"("ColdRemainingMs":0,)"})
    EXPECT_FALSE(coldRegistration(Warm).isCold()) << Warm;
  for (const char *Bad : {"-1", "\"3\"", "[]", "true", "1e300"}) {
    const EngineRecord Read =
        coldRegistration("\"ColdRemainingMs\":" + std::string(Bad) + ",");
    EXPECT_TRUE(Read.ColdUnreadable) << Bad;
    EXPECT_EQ(Read.Service, ServiceId("s")) << Bad;
  }
}

TEST(EngineJson, TheIdIsThatOfALife) {
  const std::string OtherMembers =
      R"("Service":"s","Address":"10.0.0.1:80","Zone":"z","Slots":16,
      "State":"ready"})";
  EXPECT_EQ(readEngine("i-7", R"({"born":1764720000123,)" + OtherMembers).Id,
            engineIncarnation("i-7", 1764720000123));
  EXPECT_EQ(readReport(engineIncarnation("i-7", 5), R"({"Running":0,"born":6})")
                .Engine,
            engineIncarnation("i-7", 6));
  EXPECT_EQ(readReport(engineIncarnation("i-7", 5), R"({"Running":0})").Engine,
            engineIncarnation("i-7", 5));
  for (const char *Started : {"-1", "1.5", "\"1\"", "[]", "true"})
    EXPECT_THROW(readEngine("i-7", "{\"born\":" + std::string(Started) + "," +
                                       OtherMembers),
                 Error)
        << Started;
}

TEST(EngineJson, RejectsARecordOfAnotherWriter) {
  const nlohmann::json Valid = {{"Service", "s"},
                                {"Address", "10.0.0.1:80"},
                                {"Zone", "z"},
                                {"Slots", 16},
                                {"State", "ready"}};
  EXPECT_NO_THROW(readEngine("i", Valid.dump()));
  for (const auto &[Name, Value] : Valid.items()) {
    nlohmann::json Without = Valid;
    Without.erase(Name);
    EXPECT_THROW(readEngine("i", Without.dump()), Error) << Name;
    nlohmann::json Other = Valid;
    Other[Name] = nlohmann::json::array({1});
    EXPECT_THROW(readEngine("i", Other.dump()), Error) << Name;
  }
  nlohmann::json Unknown = Valid;
  Unknown["State"] = "resting";
  EXPECT_THROW(readEngine("i", Unknown.dump()), Error);
}

TEST(EngineJson, AReportTellsMemoryPaceAndReservations) {
  const EngineReport Read = readReport(
      UpstreamId("e"),
      R"({"Stage":"both","Busy":false,"Sequence":2,"Waiting":1,"Running":12,
      "KvUsed":41000,"KvTotal":90000,"Handles":0,"pace":1.5,
      "Tickets":[{"Id":"t81","Tokens":60000,"State":"used","AgeMs":120}]})");
  EXPECT_EQ(Read.Running, 12U);
  EXPECT_EQ(Read.MemoryTotal, 90'000U);
  EXPECT_EQ(Read.Slowdown, 1.5);
  ASSERT_EQ(Read.Reservations.size(), 1U);
  EXPECT_TRUE(Read.Reservations[0].Used);
  EXPECT_EQ(Read.Reservations[0].Age, milliseconds(120));
}

} // namespace
} // namespace banyanpick::platform
