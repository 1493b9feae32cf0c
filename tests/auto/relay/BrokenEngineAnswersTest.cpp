/// \file
/// Guards against broken answers of upstreams that callers got as complete
/// ones.
#include "TestRelay.h"
#include "auto/http/BrokenAnswers.h"
#include "relay/EngineCalls.h"

#include <gtest/gtest.h>

namespace banyanpick {
namespace {

constexpr unsigned BadGateway = 502;

class BrokenEngineAnswers : public testing::TestWithParam<BrokenAnswer> {};

TEST_P(BrokenEngineAnswers, BreakTheAttempt) {
  const RawServer Engine(GetParam().bytes());
  const TestRelay Relayed(Engine);
  EXPECT_TRUE(Relayed.brokenBy().has_value());
  EXPECT_EQ(Relayed.status(), BadGateway);
}

TEST_P(BrokenEngineAnswers, FailAReportOrOrder) {
  constexpr std::size_t MaxAnswerBytes = 64ULL * 1024;
  constexpr std::size_t MaxIdleLinks = 4;
  const RawServer Engine(GetParam().bytes());
  net::io_context Io;
  EngineLinkPool Pool(Io.get_executor(), seconds(3), MaxIdleLinks);
  EngineCalls Calls(Pool, MaxAnswerBytes);
  const ClientResult Result =
      runTask(Io, Calls.call(UpstreamId("e1"), Engine.at(), {}, seconds(5)));
  EXPECT_TRUE(std::holds_alternative<ClientFailure>(Result));
}

INSTANTIATE_TEST_SUITE_P(Status, BrokenEngineAnswers,
                         testing::ValuesIn(brokenStatuses()));
INSTANTIATE_TEST_SUITE_P(Name, BrokenEngineAnswers,
                         testing::ValuesIn(brokenNames()));
INSTANTIATE_TEST_SUITE_P(Cut, BrokenEngineAnswers,
                         testing::ValuesIn(cutHeads()));

} // namespace
} // namespace banyanpick
