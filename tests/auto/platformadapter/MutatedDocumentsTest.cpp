/// \file
/// Tests that randomly mutated documents are either read or rejected with an
/// Error. A malformed document must not crash the parser or throw another
/// exception.
#include "platform/ConfigurationJson.h"
#include "platform/EngineJson.h"
#include "platform/RecordFrames.h"

#include "base/Error.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <algorithm>
#include <functional>

namespace banyanpick::platform {
namespace {

/// Generates the text with some bytes replaced, removed, duplicated, inserted
/// or truncated.
rc::Gen<std::string> mutated(std::string Text) {
  return rc::gen::exec([Text = std::move(Text)] {
    std::string Result = Text;
    const int Changes = *rc::gen::inRange(1, 6);
    for (int Mutation = 0; Mutation < Changes && !Result.empty(); ++Mutation) {
      const auto At = static_cast<std::size_t>(
          *rc::gen::inRange(0, static_cast<int>(Result.size())));
      const auto Length = std::min<std::size_t>(
          static_cast<std::size_t>(*rc::gen::inRange(1, 20)),
          Result.size() - At);
      switch (*rc::gen::inRange(0, 5)) {
      case 0:
        Result[At] = *rc::gen::arbitrary<char>();
        break;
      case 1:
        Result.erase(At, Length);
        break;
      case 2:
        Result.insert(At, Result.substr(At, Length));
        break;
      case 3:
        Result.insert(At, *rc::gen::element<std::string>(
                              "null", "-1", "1e999", "[", "{}", "\"", "\xff",
                              "99999999999999999999"));
        break;
      default:
        Result.resize(At);
      }
    }
    return Result;
  });
}

/// Fails when \p Read throws anything but an Error.
void expectValueOrError(const std::function<void()> &Read) {
  try {
    Read();
  } catch (const Error &) {
    RC_SUCCEED("rejected with an Error");
  }
}

const std::string Registration =
    R"({"Service":"s","Address":"10.0.0.1:80","Zone":"z","Version":"v1",
    "Slots":16,"State":"ready","ColdRemainingMs":0,"Sequence":4,
    "born":1764720000123})";
const std::string Report =
    R"({"Stage":"both","Sequence":2,"Waiting":1,"Running":12,"KvUsed":41000,
    "KvTotal":90000,"pace":1.5,"born":1764720000123,
    "Tickets":[{"Id":"t81","Tokens":60000,"State":"used","AgeMs":120}]})";
const std::string Configuration =
    R"({"Version":7,"Routes":[{"Name":"r","Host":"a.example",
    "PathPrefix":"/p/","Kind":"streaming","TimeoutMs":10000,
    "TargetLatencyMs":300,"Priority":1,"Split":[{"Service":"s","Weight":90}],
    "Attempts":2,"Resumable":true,"TargetGapMs":250}],
    "Services":[{"Name":"s","HealthPath":"/h","ConnectionLimit":264,
    "Engine":{"Slots":16,"KvCacheTokens":405000,"Stride":34,"step_ms":1.31}}],
    "Limits":{"HeaderBytes":16384},
    "Tenants":[{"Name":"t","Credentials":["k"],"Priority":1}]})";

const std::string ConfigurationWithRegions =
    R"({"Version":7,"Routes":[{"Name":"r","Host":"a.example",
    "PathPrefix":"/p/","Kind":"streaming","TimeoutMs":10000,
    "HomeRegions":"here","Attempts":2}],
    "Services":[{"Name":"s","ConnectionLimit":264,"ColdStartS":3,"ColdPerS":2,
    "Engine":{"Slots":16,"KvCacheTokens":405000,"Stride":34,"step_ms":1.31}}],
    "Limits":{"HeaderBytes":16384,"IdleTimeoutMs":1000},
    "Tenants":[{"Name":"t","Credentials":["k"],"HomeRegions":"here",
    "Priority":1}]})";

RC_GTEST_PROP(MutatedDocuments, ReadsOrRejectsRegistrations, ()) {
  const std::string Text = *mutated(Registration);
  expectValueOrError([&] { readEngine("i-1", Text); });
}

RC_GTEST_PROP(MutatedDocuments, ReadsOrRejectsReports, ()) {
  const std::string Text = *mutated(Report);
  expectValueOrError([&] { readReport(UpstreamId("i-1"), Text); });
}

RC_GTEST_PROP(MutatedDocuments, ReadsOrRejectsConfigurations, ()) {
  const std::string Text = *mutated(Configuration);
  expectValueOrError([&] { readConfiguration(Text); });
}

/// Values that another writer may leave in a document: nested far too deep, out
/// of the range of every integer, or of a wrong type.
const std::vector<std::string> &oddValues() {
  constexpr std::size_t Deep = 200'000;
  const auto Nested = [](std::string_view Open, std::string_view Close) {
    std::string Result;
    for (std::size_t Level = 0; Level < Deep; ++Level)
      Result += Open;
    Result += "1";
    for (std::size_t Level = 0; Level < Deep; ++Level)
      Result += Close;
    return Result;
  };
  static const std::vector<std::string> Values{Nested("[", "]"),
                                               Nested(R"({"a":)", "}"),
                                               "1e400",
                                               "1e308",
                                               "-1e308",
                                               "-1",
                                               "0.5",
                                               "4294967296",
                                               "18446744073709551615",
                                               "18446744073709551616",
                                               "-9223372036854775808",
                                               "null",
                                               "true",
                                               "{}",
                                               "[]",
                                               R"("")",
                                               R"("10.0.0.1:70000")",
                                               R"("10.0.0.1:-1")",
                                               R"("\u0000")",
                                               "\"\xff\""};
  return Values;
}

/// Reads the document with the value of one member replaced, for every member
/// and every odd value. Fails if \p Read throws anything but an Error.
void readWithOddValues(const std::string &Text,
                       const std::function<void(const std::string &)> &Read) {
  for (std::size_t Colon = Text.find("\":"); Colon != std::string::npos;
       Colon = Text.find("\":", Colon + 1)) {
    const std::size_t From = Colon + 2;
    const bool IsText = Text[From] == '"';
    const std::size_t To =
        IsText ? Text.find('"', From + 1) + 1 : Text.find_first_of(",}]", From);
    for (const std::string &Value : oddValues()) {
      try {
        Read(Text.substr(0, From) + Value + Text.substr(To));
      } catch (const Error &) {
        continue;
      }
    }
  }
}

/// Guards against an entry of another writer that ends every host that reads
/// it.
TEST(OddDocuments, EndNoReader) {
  readWithOddValues(Registration,
                    [](const std::string &Text) { readEngine("i-1", Text); });
  readWithOddValues(Report, [](const std::string &Text) {
    readReport(UpstreamId("i-1"), Text);
  });
  readWithOddValues(ConfigurationWithRegions,
                    [](const std::string &Text) { readConfiguration(Text); });
}

TEST(OddDocuments, HaveNoNumbersThatWrapAround) {
  const auto WithSlots = [](const std::string &Slots) {
    return R"({"Service":"s","Address":"10.0.0.1:80","Zone":"z","Slots":)" +
           Slots + R"(,"State":"ready"})";
  };
  EXPECT_EQ(readEngine("i-1", WithSlots("16")).Slots, 16U);
  EXPECT_THROW(readEngine("i-1", WithSlots("4294967297")), Error);
  EXPECT_THROW(readReport(UpstreamId("i-1"), R"({"Running":-1})"), Error);
  EXPECT_THROW(readReport(UpstreamId("i-1"), R"({"Running":1e300})"), Error);
}

RC_GTEST_PROP(MutatedDocuments, ReadsOrRejectsRecords, ()) {
  const std::string Text =
      *mutated(std::string(16, '\0') + writeFrame({"i-1", Registration, 0}) +
               writeFrame({"i-2", std::nullopt, 0}));
  expectValueOrError([&] { readFrames(Text, 3); });
}

} // namespace
} // namespace banyanpick::platform
