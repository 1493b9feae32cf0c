/// \file
/// Guards against suspected contents that several hosts probe at once, which
/// would crash as many engines, and against contents that no host probes.
#include "plugins/crashes/ProbeClaims.h"

#include <gtest/gtest.h>

#include <array>
#include <string>

namespace banyanpick {
namespace {

constexpr Time Earliest = Time(seconds(1000));
const Fingerprint Suspect(7);
const Fingerprint OtherSuspect(8);

ProbeRequest probeOf(std::uint64_t Request,
                     std::vector<Fingerprint> Suspects = {Suspect}) {
  return {RequestId(Request), std::move(Suspects), 0, Earliest};
}

/// The hosts that may send a probe at this time.
std::size_t countClaims(Time Now) {
  const std::array<HostId, 5> Hosts{HostId("a"), HostId("b"), HostId("c"),
                                    HostId("d"), HostId("e")};
  std::size_t Result = 0;
  for (const HostId &Self : Hosts) {
    std::vector<HostId> Peers;
    for (const HostId &Peer : Hosts)
      if (Peer != Self)
        Peers.push_back(Peer);
    Result += ProbeClaims().claim(probeOf(1), Self, Peers, Now) ? 1 : 0;
  }
  return Result;
}

TEST(ProbeClaims, LetOneHostProbeAtATime) {
  EXPECT_EQ(countClaims(Earliest - milliseconds(1)), 0U);
  std::size_t Claims = 0;
  for (int Step = 0; Step < 250; ++Step) {
    const std::size_t Found = countClaims(Earliest + milliseconds(100) * Step);
    EXPECT_LE(Found, 1U);
    Claims += Found;
  }
  EXPECT_GE(Claims, 150U);
}

class ProbeOfOneHost : public testing::Test {
protected:
  bool claim(const ProbeRequest &Wanted, Duration After = Duration(0)) {
    return this->Probes.claim(Wanted, HostId("a"), {}, Earliest + After);
  }

  ProbeClaims Probes;
};

TEST_F(ProbeOfOneHost, IsTheOnlyOneOfItsContents) {
  EXPECT_TRUE(this->claim(probeOf(1, {Suspect, OtherSuspect})));
  EXPECT_TRUE(this->claim(probeOf(1, {Suspect, OtherSuspect})));
  EXPECT_EQ(this->Probes.kindOf(RequestId(1)), ProbeKind::Together);
  EXPECT_FALSE(this->claim(probeOf(2, {OtherSuspect})));
  this->Probes.sent(RequestId(1));
  EXPECT_FALSE(this->claim(probeOf(2, {OtherSuspect}), seconds(30)));
  this->Probes.ended(RequestId(1), false, Earliest + seconds(30));
  EXPECT_TRUE(this->claim(probeOf(2, {OtherSuspect}), seconds(30)));
  EXPECT_EQ(this->Probes.kindOf(RequestId(2)), ProbeKind::Alone);
}

TEST_F(ProbeOfOneHost, IsNotRepeatedBeforeItsEngineIsKnownToLive) {
  EXPECT_TRUE(this->claim(probeOf(1)));
  this->Probes.sent(RequestId(1));
  EXPECT_TRUE(this->Probes.ended(RequestId(1), true, Earliest));
  EXPECT_FALSE(this->claim(probeOf(1)));
  EXPECT_FALSE(this->claim(probeOf(2), seconds(5)));
  EXPECT_TRUE(this->claim(probeOf(2), seconds(6)));
}

TEST_F(ProbeOfOneHost, GivesWayIfItIsNotSent) {
  EXPECT_TRUE(this->claim(probeOf(1)));
  EXPECT_TRUE(this->claim(probeOf(2), seconds(2)));
  EXPECT_EQ(this->Probes.kindOf(RequestId(1)), ProbeKind::None);
}

TEST_F(ProbeOfOneHost, SaysLessBesideOtherContentsThatCrashed) {
  ProbeRequest Wanted = probeOf(1);
  Wanted.Others = 1;
  EXPECT_TRUE(this->claim(Wanted));
  EXPECT_EQ(this->Probes.kindOf(RequestId(1)), ProbeKind::Together);
}

} // namespace
} // namespace banyanpick
