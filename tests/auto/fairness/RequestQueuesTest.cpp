/// \file
/// Tests the order of waiting requests: shares of teams, urgency and ageing.
#include <gtest/gtest.h>
// GoogleTest comes before its RapidCheck adapter.
#include <rapidcheck/gtest.h>

#include "fakes/TestRequestBuilder.h"
#include "plugins/fairness/RequestQueues.h"

#include <algorithm>

namespace banyanpick {
namespace {

constexpr Time Start{seconds(1000)};

/// Removes the request and charges its team, as the dispatcher does.
void dispatch(RequestQueues &Queues, const Request &Sent) {
  Queues.remove(Sent.id());
  Queues.dispatched(Sent, static_cast<double>(Sent.Head.PromptTokens));
}

TEST(RequestQueuesTest, LargeTeamDoesNotDelaySmallOne) {
  RequestQueues Queues{RequestQueuesPolicy()};
  for (std::uint64_t Id = 1; Id <= 100; ++Id)
    Queues.push(TestRequestBuilder(Id).team("large").build(), false, Start,
                Start);
  const Request Small = TestRequestBuilder(200).team("small").build();
  dispatch(Queues, TestRequestBuilder(1).team("large").build());
  Queues.push(Small, false, Start, Start);
  const auto Order = Queues.candidates(4, Start);
  EXPECT_LE(std::find(Order.begin(), Order.end(), Small.id()) - Order.begin(),
            1);
}

TEST(RequestQueuesTest, WorkIsDividedByWeights) {
  RequestQueues Queues{RequestQueuesPolicy()};
  std::map<std::uint64_t, Request> Waiting;
  for (std::uint64_t Id = 1; Id <= 400; ++Id) {
    const bool IsHeavy = Id % 2 == 0;
    Waiting[Id] = TestRequestBuilder(Id)
                      .team(IsHeavy ? "heavy" : "light", IsHeavy ? 3 : 1)
                      .build();
    Queues.push(Waiting[Id], false, Start, Start);
  }
  int Heavy = 0;
  for (int Step = 0; Step < 200; ++Step) {
    const std::uint64_t Next = Queues.candidates(1, Start).front().Value;
    Heavy += Next % 2 == 0 ? 1 : 0;
    dispatch(Queues, Waiting[Next]);
  }
  EXPECT_NEAR(Heavy, 150, 2);
}

TEST(RequestQueuesTest, UrgentWorkGoesFirstUntilLongWorkHasAged) {
  RequestQueues Queues{RequestQueuesPolicy()};
  const Request Long = TestRequestBuilder(1).prompt(500'000).urgency(1).arrived(
      Start, seconds(60));
  // Work with a time to first token of 60 s ages after 30 s.
  Queues.push(Long, false, Start, Start);
  const auto Urgent = [](std::uint64_t Id, Time Now) {
    return TestRequestBuilder(Id).urgency(9).arrived(Now, seconds(60)).build();
  };
  Queues.push(Urgent(2, Start), false, Start, Start);
  EXPECT_EQ(Queues.candidates(2, Start).front(), RequestId(2));
  const Time Later = Start + seconds(31);
  Queues.remove(RequestId(2));
  Queues.push(Urgent(3, Later), false, Later, Later);
  EXPECT_EQ(Queues.candidates(2, Later).front(), RequestId(1));
}

TEST(RequestQueuesTest, BlockedQueueDoesNotBlockOtherQueues) {
  RequestQueues Queues{RequestQueuesPolicy()};
  for (std::uint64_t Id = 1; Id <= 100; ++Id)
    Queues.push(TestRequestBuilder(Id).urgency(9).prompt(200'000).build(),
                false, Start, Start);
  Queues.push(TestRequestBuilder(200).urgency(0).build(), false, Start, Start);
  const auto Order = Queues.candidates(16, Start);
  EXPECT_NE(std::find(Order.begin(), Order.end(), RequestId(200)), Order.end());
}

TEST(RequestQueuesTest, UnusedWorkIsCreditedToTheTeam) {
  RequestQueues Queues{RequestQueuesPolicy()};
  std::vector<Request> Waiting;
  for (std::uint64_t Id = 1; Id <= 6; ++Id) {
    Waiting.push_back(TestRequestBuilder(Id)
                          .team(Id % 2 == 0 ? "b" : "a")
                          .output(10'000)
                          .build());
    Queues.push(Waiting.back(), false, Start, Start);
  }
  dispatch(Queues, Waiting[0]); // a
  dispatch(Queues, Waiting[1]); // b
  Queues.ended(Waiting[1], 1000, 1);
  EXPECT_EQ(Queues.candidates(1, Start).front(), RequestId(4));
}

/// Any order of operations keeps the queues consistent, returns each waiting
/// request once and never decreases the virtual time.
RC_GTEST_PROP(RequestQueuesTest, StaysConsistent, ()) {
  RequestQueues Queues{RequestQueuesPolicy()};
  std::map<std::uint64_t, Request> Waiting;
  std::vector<Request> Running;
  Time Now = Start;
  double Virtual = 0;
  const int Steps = *rc::gen::inRange(1, 200);
  for (int Step = 0; Step < Steps; ++Step) {
    const auto Id = *rc::gen::inRange<std::uint64_t>(1, 40);
    switch (*rc::gen::inRange(0, 6)) {
    case 0:
    case 1: {
      if (std::any_of(Running.begin(), Running.end(), [&](const Request &Item) {
            return Item.id().Value == Id;
          }))
        break;
      const Request Req =
          TestRequestBuilder(Id)
              .team(std::string(1, static_cast<char>('a' + Id % 5)))
              .urgency(Id % 3)
              .prompt(Id * 5000)
              .arrived(Now, seconds(4));
      Queues.push(Waiting.try_emplace(Id, Req).first->second, Id % 7 == 0,
                  Now + milliseconds(Id % 5 == 0 ? 500 : 0), Now);
      break;
    }
    case 2: {
      const auto Chosen = Queues.candidates(3, Now);
      if (Chosen.empty())
        break;
      const Request Sent = Waiting.at(Chosen.back().Value);
      dispatch(Queues, Sent);
      Waiting.erase(Chosen.back().Value);
      Running.push_back(Sent);
      break;
    }
    case 3: {
      if (Running.empty())
        break;
      Queues.ended(Running.back(), 0, 10);
      Queues.forget(Running.back().id());
      Running.pop_back();
      break;
    }
    case 4:
      Queues.chargeRemote({TeamId("a"),
                           queueHash(queueKey(TestRequestBuilder(1), false)),
                           *rc::gen::inRange(-5000, 50'000) * 1.0},
                          1);
      break;
    default:
      Queues.forget(RequestId(Id));
      Waiting.erase(Id);
      std::erase_if(Running,
                    [&](const Request &Item) { return Item.id().Value == Id; });
      Now += milliseconds(*rc::gen::inRange(0, 3000));
      Queues.prune(Now);
    }
    RC_ASSERT(Queues.isConsistent());
    RC_ASSERT(Queues.virtualTime() >= Virtual);
    Virtual = Queues.virtualTime();
    RC_ASSERT(Queues.size() == Waiting.size());
    // Requests that are held back become candidates within the next second.
    auto All = Queues.candidates(1000, Now += seconds(1));
    RC_ASSERT(All.size() == Waiting.size());
    std::sort(All.begin(), All.end());
    RC_ASSERT(std::adjacent_find(All.begin(), All.end()) == All.end());
  }
}

} // namespace
} // namespace banyanpick
