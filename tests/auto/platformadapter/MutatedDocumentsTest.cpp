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

RC_GTEST_PROP(MutatedDocuments, ReadsOrRejectsRecords, ()) {
  const std::string Text =
      *mutated(std::string(16, '\0') + writeFrame({"i-1", Registration, 0}) +
               writeFrame({"i-2", std::nullopt, 0}));
  expectValueOrError([&] { readFrames(Text, 3); });
}

} // namespace
} // namespace banyanpick::platform
