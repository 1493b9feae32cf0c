/// \file
/// Tests that all hosts order the prompts that several engines prefill alike.
#include "plugins/engineload/PromptQueue.h"

#include <gtest/gtest.h>

namespace banyanpick {
namespace {

const HostId Self("h1");
const Time Start(seconds(5));

PromptQueue queue() { return PromptQueue(milliseconds(300), 0.25); }

PromptQueue::QueuedPrompt prompt(std::uint64_t Request, std::uint64_t Tokens,
                                 double PrefillMs, double LeftMs = 3000) {
  return {Request, Tokens, PrefillMs, PrefillMs / 10, LeftMs};
}

TEST(PromptQueue, OrdersByValuePerPrefillTime) {
  PromptQueue Queue = queue();
  const auto Long = prompt(1, 400'000, 9000);
  const auto Shorter = prompt(2, 100'000, 900);
  Queue.note(Long, Start);
  Queue.note(Shorter, Start);
  EXPECT_EQ(Queue.rank(Shorter, Self, Start), 0U);
  EXPECT_EQ(Queue.rank(Long, Self, Start), 1U);
}

TEST(PromptQueue, LatePromptsRankLower) {
  PromptQueue Queue = queue();
  const auto Late = prompt(1, 100'000, 900, 20);
  const auto Long = prompt(2, 400'000, 9000);
  Queue.note(Late, Start);
  Queue.note(Long, Start);
  EXPECT_EQ(Queue.rank(Long, Self, Start), 0U);
  EXPECT_EQ(Queue.rank(Late, Self, Start), 1U);
}

TEST(PromptQueue, TwoHostsComputeTheSameOrder) {
  PromptQueue Here = queue();
  PromptQueue There = queue();
  const HostId Other("h2");
  const auto OwnPrompt = prompt(1, 200'000, 2700);
  const auto PeerPrompt = prompt(1, 200'000, 2700);
  Here.note(OwnPrompt, Start);
  There.note(PeerPrompt, Start);
  Here.takePeer(Other, There.own(Start), Start);
  There.takePeer(Self, Here.own(Start), Start);
  EXPECT_EQ(Here.rank(OwnPrompt, Self, Start) +
                There.rank(PeerPrompt, Other, Start),
            1U);
}

TEST(PromptQueue, PromptsOfADeadHostAreDropped) {
  PromptQueue Queue = queue();
  const auto OwnPrompt = prompt(1, 400'000, 9000);
  const std::vector<PromptQueue::QueuedPrompt> PeerPrompt = {
      prompt(7, 100'000, 900)};
  Queue.takePeer(HostId("h2"), PeerPrompt, Start);
  EXPECT_EQ(Queue.rank(OwnPrompt, Self, Start), 1U);
  EXPECT_EQ(Queue.rank(OwnPrompt, Self, Start + milliseconds(301)), 0U);
  Queue.takePeer(HostId("h2"), PeerPrompt, Start + milliseconds(400));
  Queue.forgetPeer(HostId("h2"));
  EXPECT_EQ(Queue.rank(OwnPrompt, Self, Start + milliseconds(400)), 0U);
}

TEST(PromptQueue, APromptThatIsNotRenewedExpires) {
  PromptQueue Queue = queue();
  EXPECT_TRUE(Queue.note(prompt(1, 100'000, 900), Start));
  EXPECT_FALSE(Queue.note(prompt(1, 100'000, 900), Start + milliseconds(20)));
  EXPECT_EQ(Queue.own(Start + milliseconds(320)).size(), 1U);
  EXPECT_TRUE(Queue.own(Start + milliseconds(321)).empty());
  EXPECT_TRUE(Queue.drop(1));
  EXPECT_FALSE(Queue.drop(1));
}

} // namespace
} // namespace banyanpick
