/// \file
/// Only the content that ran on every dead engine is kept from running.
#include "plugins/crashes/CrashBook.h"

#include <gtest/gtest.h>

namespace banyanpick {
namespace {

const Fingerprint Culprit(1);
const Fingerprint Innocent(2);

CrashBook book() { return {3, seconds(6), seconds(600)}; }

Time at(int Second) { return Time(seconds(100 + Second)); }

TEST(CrashBook, ALostConnectionIsNoCrashUntilTheEngineIsDead) {
  CrashBook Book = book();
  Book.suspect({Culprit, UpstreamId("e1")}, at(0));
  EXPECT_EQ(Book.crashes(Culprit), 0U);
  EXPECT_EQ(Book.confirm(UpstreamId("e1"), at(1)).size(), 1U);
  EXPECT_EQ(Book.crashes(Culprit), 1U);
}

TEST(CrashBook, ADeathLongAfterProvesNothing) {
  CrashBook Book = book();
  Book.suspect({Culprit, UpstreamId("e1")}, at(0));
  EXPECT_TRUE(Book.confirm(UpstreamId("e1"), at(7)).empty());
}

TEST(CrashBook, InnocentsBesideTheCulpritAreNotQuarantined) {
  CrashBook Book = book();
  for (const char *Engine : {"e1", "e2", "e3"}) {
    Book.suspect({Culprit, UpstreamId(Engine)}, at(0));
    if (std::string_view(Engine) == "e1")
      Book.suspect({Innocent, UpstreamId(Engine)}, at(0));
    Book.confirm(UpstreamId(Engine), at(1));
  }
  EXPECT_TRUE(Book.isQuarantined(Culprit));
  EXPECT_FALSE(Book.isQuarantined(Innocent));
}

TEST(CrashBook, TheSameCrashToldTwiceCountsOnce) {
  CrashBook Book = book();
  EXPECT_TRUE(Book.add({Culprit, UpstreamId("e1")}, at(0)));
  EXPECT_FALSE(Book.add({Culprit, UpstreamId("e1")}, at(1)));
  EXPECT_EQ(Book.crashes(Culprit), 1U);
}

TEST(CrashBook, ForgetsAfterAWhile) {
  CrashBook Book = book();
  Book.add({Culprit, UpstreamId("e1")}, at(0));
  Book.age(at(601));
  EXPECT_EQ(Book.crashes(Culprit), 0U);
}

} // namespace
} // namespace banyanpick
