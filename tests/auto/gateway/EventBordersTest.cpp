/// \file
/// Streams are passed on at the borders of events only.
#include "relay/EventBorders.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace banyanpick {
namespace {

std::string event(std::uint64_t Id) {
  return "id: " + std::to_string(Id) + "\ndata: text " + std::to_string(Id) +
         "\n\n";
}

TEST(EventBorders, HoldsHalfAnEventBack) {
  EventBorders Borders;
  EXPECT_EQ(Borders.feed("id: 1\nda"), "");
  EXPECT_EQ(Borders.feed("ta: x\n\nid: 2\n"), "id: 1\ndata: x\n\n");
  EXPECT_EQ(Borders.lastId(), 1U);
  EXPECT_EQ(Borders.unfinished(), 6U);
}

TEST(EventBorders, NoticesAnEventThatComesTwice) {
  EventBorders Borders;
  Borders.feed(event(1) + event(2));
  EXPECT_TRUE(Borders.isInOrder());
  Borders.feed(event(2));
  EXPECT_FALSE(Borders.isInOrder());
}

TEST(EventBorders, NoticesAnEventFromBeforeTheResumption) {
  EventBorders Borders;
  Borders.resumeAfter(7);
  Borders.feed(event(7));
  EXPECT_FALSE(Borders.isInOrder());
}

TEST(EventBorders, TakesLinesThatEndWithCarriageReturns) {
  EventBorders Borders;
  EXPECT_EQ(Borders.feed("id: 4\r\ndata: x\r\n\r\nid"),
            "id: 4\r\ndata: x\r\n\r\n");
  EXPECT_EQ(Borders.lastId(), 4U);
}

RC_GTEST_PROP(EventBordersProperty, PassesEveryByteOnceHoweverItIsCut, ()) {
  const auto Count = *rc::gen::inRange(1, 20);
  std::string Whole;
  for (int Id = 1; Id <= Count; ++Id)
    Whole += event(static_cast<std::uint64_t>(Id));
  EventBorders Borders;
  std::string Passed;
  std::string_view Left = Whole;
  while (!Left.empty()) {
    const auto Most = static_cast<int>(std::min<std::size_t>(Left.size(), 40));
    const auto Piece = static_cast<std::size_t>(*rc::gen::inRange(1, Most + 1));
    Passed += Borders.feed(Left.substr(0, Piece));
    Left.remove_prefix(Piece);
    RC_ASSERT(Whole.starts_with(Passed));
    RC_ASSERT(Passed.empty() || Passed.ends_with("\n\n"));
  }
  RC_ASSERT(Passed == Whole);
  RC_ASSERT(Borders.isInOrder());
  RC_ASSERT(Borders.unfinished() == 0U);
}

} // namespace
} // namespace banyanpick
