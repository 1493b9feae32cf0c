/// \file
/// Tests that event streams are forwarded at event boundaries only.
///
/// They guard against incomplete, repeated or missing events in a stream that
/// continues on another upstream.
#include "relay/EventSplitter.h"

#include <chrono>
#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace banyanpick {
namespace {

std::string event(std::uint64_t Id) {
  return "id: " + std::to_string(Id) + "\ndata: text " + std::to_string(Id) +
         "\n\n";
}

TEST(EventSplitter, HoldsBackAnIncompleteEvent) {
  EventSplitter Splitter;
  EXPECT_EQ(Splitter.feed("id: 1\nda").Bytes, "");
  EXPECT_EQ(Splitter.feed("ta: x\n\nid: 2\n").Bytes, "id: 1\ndata: x\n\n");
  EXPECT_EQ(Splitter.lastId(), 1U);
  EXPECT_EQ(Splitter.pendingBytes(), 6U);
}

TEST(EventSplitter, DetectsARepeatedEvent) {
  EventSplitter Splitter;
  Splitter.feed(event(1) + event(2));
  EXPECT_TRUE(Splitter.isInOrder());
  Splitter.feed(event(2));
  EXPECT_FALSE(Splitter.isInOrder());
}

TEST(EventSplitter, DetectsAnEventFromBeforeTheResumption) {
  EventSplitter Splitter;
  Splitter.resumeAfter(7);
  Splitter.feed(event(7));
  EXPECT_FALSE(Splitter.isInOrder());
}

TEST(EventSplitter, AcceptsLinesThatEndWithCarriageReturns) {
  EventSplitter Splitter;
  EXPECT_EQ(Splitter.feed("id: 4\r\ndata: x\r\n\r\nid").Bytes,
            "id: 4\r\ndata: x\r\n\r\n");
  EXPECT_EQ(Splitter.lastId(), 4U);
}

/// Guards against a stream that counts as begun although no event has come.
TEST(EventSplitter, WithholdsCommentsBeforeTheFirstEvent) {
  EventSplitter Splitter;
  EXPECT_EQ(Splitter.feed(": hello\n\nother: x\n\n").Bytes, "");
  EXPECT_EQ(Splitter.bytesSinceEvent(), 19U);
  const SplitEvents First = Splitter.feed(event(1));
  EXPECT_EQ(First.Bytes, ": hello\n\nother: x\n\n" + event(1));
  EXPECT_TRUE(First.HasEvent);
  EXPECT_EQ(Splitter.bytesSinceEvent(), 0U);
  const SplitEvents Comment = Splitter.feed(": wait\r\n\r\n");
  EXPECT_EQ(Comment.Bytes, ": wait\r\n\r\n");
  EXPECT_FALSE(Comment.HasEvent);
}

/// Guards against a cost that grows with the square of a pending event: a
/// stream of single bytes kept a core busy for seconds.
TEST(EventSplitter, TakesLinearTime) {
  constexpr std::size_t Bytes = 1024ULL * 1024;
  EventSplitter Splitter;
  const auto Began = std::chrono::steady_clock::now();
  for (std::size_t Fed = 0; Fed < Bytes; ++Fed)
    Splitter.feed("x");
  EXPECT_EQ(Splitter.pendingBytes(), Bytes);
  EXPECT_LT(std::chrono::steady_clock::now() - Began, std::chrono::seconds(2));
}

RC_GTEST_PROP(EventSplitterProperty, ForwardsEveryByteOnceForAnySplit, ()) {
  const auto Count = *rc::gen::inRange(1, 20);
  std::string Stream;
  for (int Id = 1; Id <= Count; ++Id)
    Stream += event(static_cast<std::uint64_t>(Id));
  EventSplitter Splitter;
  std::string Forwarded;
  std::string_view Remaining = Stream;
  while (!Remaining.empty()) {
    const auto MaxLength =
        static_cast<int>(std::min<std::size_t>(Remaining.size(), 40));
    const auto Length =
        static_cast<std::size_t>(*rc::gen::inRange(1, MaxLength + 1));
    Forwarded += Splitter.feed(Remaining.substr(0, Length)).Bytes;
    Remaining.remove_prefix(Length);
    RC_ASSERT(Stream.starts_with(Forwarded));
    RC_ASSERT(Forwarded.empty() || Forwarded.ends_with("\n\n"));
  }
  RC_ASSERT(Forwarded == Stream);
  RC_ASSERT(Splitter.isInOrder());
  RC_ASSERT(Splitter.pendingBytes() == 0U);
}

} // namespace
} // namespace banyanpick
