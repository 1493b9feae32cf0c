/// \file
/// Guards against crashes that are counted although no engine crashed.
#include "auto/gateway/GatewayBench.h"

#include <gtest/gtest.h>

namespace banyanpick {
namespace {

class CrashDetection : public testing::Test {
protected:
  CrashDetection() {
    this->Bench.configure(1);
    this->Bench.registerEngines("desk", 1);
  }

  /// Sends a request and resets its connection.
  void loseConnection() {
    this->Bench.arrive("/once/1");
    this->end(RelayBroken{RelayBroken::Why::Reset, false, std::nullopt});
  }
  void end(const RelayOutcome &Outcome) {
    this->Bench.endAttempt(this->Bench.last<DispatchRelay>().Attempt, Outcome);
  }
  std::size_t crashes() const {
    return this->Bench.logged(events::ContentCrashed);
  }

  const UpstreamId Engine{"e1"};
  GatewayBench Bench;
};

/// Guards against a quarantine of content whose engine has not died.
class UnsentAttempt : public CrashDetection,
                      public testing::WithParamInterface<RelayNeverSent::Why> {
};

TEST_P(UnsentAttempt, CountsACrashOnlyIfTheConnectionIsRefused) {
  this->loseConnection();
  this->Bench.arrive("/once/2");
  this->end(RelayNeverSent{GetParam()});
  EXPECT_EQ(this->crashes(),
            GetParam() == RelayNeverSent::Why::Refused ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(ForEachReason, UnsentAttempt,
                         testing::Values(RelayNeverSent::Why::NotConnected,
                                         RelayNeverSent::Why::Refused,
                                         RelayNeverSent::Why::Withdrawn));

} // namespace
} // namespace banyanpick
