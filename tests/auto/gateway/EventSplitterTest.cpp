/// \file
/// Tests that event streams are forwarded at event boundaries only.
///
/// They guard against incomplete, repeated or missing events in a stream that
/// continues on another upstream.
#include "relay/EventSplitter.h"

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
  EXPECT_EQ(Splitter.feed("id: 1\nda"), "");
  EXPECT_EQ(Splitter.feed("ta: x\n\nid: 2\n"), "id: 1\ndata: x\n\n");
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
  EXPECT_EQ(Splitter.feed("id: 4\r\ndata: x\r\n\r\nid"),
            "id: 4\r\ndata: x\r\n\r\n");
  EXPECT_EQ(Splitter.lastId(), 4U);
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
    Forwarded += Splitter.feed(Remaining.substr(0, Length));
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
