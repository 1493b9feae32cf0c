/// \file
/// Prompts that are read together go in one order at all hosts.
#include "plugins/engineload/PromptQueue.h"

#include <gtest/gtest.h>

namespace banyanpick {
namespace {

const HostId Self("h1");
const Time Start(seconds(5));

PromptQueue lane() { return PromptQueue(milliseconds(300), 0.25); }

PromptQueue::Waiting prompt(std::uint64_t Request, std::uint64_t Tokens,
                            double PrefillMs, double LeftMs = 3000) {
  return {Request, Tokens, PrefillMs, PrefillMs / 10, LeftMs};
}

TEST(PromptQueue, WhatBringsMostForItsTimeGoesFirst) {
  PromptQueue Lane = lane();
  const auto Long = prompt(1, 400'000, 9000);
  const auto Shorter = prompt(2, 100'000, 900);
  Lane.note(Long, Start);
  Lane.note(Shorter, Start);
  EXPECT_EQ(Lane.rank(Shorter, Self, Start), 0U);
  EXPECT_EQ(Lane.rank(Long, Self, Start), 1U);
}

TEST(PromptQueue, WhatIsLateAnywayGivesWay) {
  PromptQueue Lane = lane();
  const auto Late = prompt(1, 100'000, 900, 20);
  const auto Long = prompt(2, 400'000, 9000);
  Lane.note(Late, Start);
  Lane.note(Long, Start);
  EXPECT_EQ(Lane.rank(Long, Self, Start), 0U);
  EXPECT_EQ(Lane.rank(Late, Self, Start), 1U);
}

TEST(PromptQueue, TwoHostsSeeTheSameOrder) {
  PromptQueue Here = lane();
  PromptQueue There = lane();
  const HostId Other("h2");
  const auto Mine = prompt(1, 200'000, 2700);
  const auto Theirs = prompt(1, 200'000, 2700);
  Here.note(Mine, Start);
  There.note(Theirs, Start);
  Here.takePeer(Other, There.own(Start), Start);
  There.takePeer(Self, Here.own(Start), Start);
  EXPECT_EQ(Here.rank(Mine, Self, Start) + There.rank(Theirs, Other, Start),
            1U);
}

TEST(PromptQueue, ADeadHostsPromptsHoldUpNobody) {
  PromptQueue Lane = lane();
  const auto Mine = prompt(1, 400'000, 9000);
  const std::vector<PromptQueue::Waiting> Theirs = {prompt(7, 100'000, 900)};
  Lane.takePeer(HostId("h2"), Theirs, Start);
  EXPECT_EQ(Lane.rank(Mine, Self, Start), 1U);
  EXPECT_EQ(Lane.rank(Mine, Self, Start + milliseconds(301)), 0U);
  Lane.takePeer(HostId("h2"), Theirs, Start + milliseconds(400));
  Lane.forgetPeer(HostId("h2"));
  EXPECT_EQ(Lane.rank(Mine, Self, Start + milliseconds(400)), 0U);
}

TEST(PromptQueue, APromptThatIsNotAskedForAgainLapses) {
  PromptQueue Lane = lane();
  EXPECT_TRUE(Lane.note(prompt(1, 100'000, 900), Start));
  EXPECT_FALSE(Lane.note(prompt(1, 100'000, 900), Start + milliseconds(20)));
  EXPECT_EQ(Lane.own(Start + milliseconds(320)).size(), 1U);
  EXPECT_TRUE(Lane.own(Start + milliseconds(321)).empty());
  EXPECT_TRUE(Lane.drop(1));
  EXPECT_FALSE(Lane.drop(1));
}

} // namespace
} // namespace banyanpick
