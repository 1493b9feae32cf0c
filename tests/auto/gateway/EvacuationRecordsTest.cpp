/// \file
/// Tests the order of evacuation records that arrive late, twice or from hosts
/// with an older view.
#include "plugins/evacuation/EvacuationRecords.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace banyanpick {
namespace {

using Result = EvacuationRecords::Result;

const ZoneId North("north");
const ZoneId South("south");

/// Guards against a late record that undoes a newer one.
TEST(EvacuationRecords, TheHighestOffsetDecides) {
  EvacuationRecords Records;
  EXPECT_EQ(Records.applyStored({North, true, 10}), Result::Applied);
  EXPECT_EQ(Records.applyPeer({North, false, 12}), Result::Applied);
  EXPECT_EQ(Records.applyPeer({North, true, 10}), Result::Known);
  EXPECT_EQ(Records.applyStored({North, true, 10}), Result::Known);
  EXPECT_FALSE(Records.isEvacuated(North));
  EXPECT_EQ(Records.applyStored({North, true, 14}), Result::Applied);
  EXPECT_TRUE(Records.isEvacuated(North));
}

/// Guards against an evacuation that lasts because its removal was dropped by
/// the store before this host read it.
TEST(EvacuationRecords, AListingWithoutTheZoneEndsItsEvacuation) {
  EvacuationRecords Records;
  Records.applyStored({North, true, 10});
  Records.applyStored({South, true, 11});
  const EvacuationRecord Listed{South, true, 11};
  EXPECT_TRUE(Records.applyListing({&Listed, 1}, 50));
  EXPECT_FALSE(Records.isEvacuated(North));
  EXPECT_TRUE(Records.isEvacuated(South));
}

/// Guards against a listing that ends an evacuation which began after it.
TEST(EvacuationRecords, AListingDoesNotDecideAboutLaterRecords) {
  EvacuationRecords Records;
  Records.applyPeer({North, true, 52});
  EXPECT_FALSE(Records.applyListing({}, 50));
  EXPECT_TRUE(Records.isEvacuated(North));
}

/// Guards against an old record of a peer that was cut off: a host that never
/// saw the evacuation has no record of its end.
TEST(EvacuationRecords, APeerIsToldThatItsRecordIsOutdated) {
  EvacuationRecords Records;
  Records.applyListing({}, 50);
  EXPECT_EQ(Records.applyPeer({North, true, 10}), Result::Applied);
  EXPECT_FALSE(Records.isEvacuated(North));
  ASSERT_EQ(Records.all().size(), 1U);
  EvacuationRecords Peer;
  Peer.applyPeer({North, true, 10});
  EXPECT_EQ(Peer.applyPeer(Records.all().front()), Result::Applied);
  EXPECT_FALSE(Peer.isEvacuated(North));
}

/// Guards against a known evacuation that ends because a peer repeats it after
/// the listing.
TEST(EvacuationRecords, ARepeatedRecordBeforeTheListingChangesNothing) {
  EvacuationRecords Records;
  const EvacuationRecord Listed{North, true, 10};
  Records.applyStored(Listed);
  Records.applyListing({&Listed, 1}, 50);
  EXPECT_EQ(Records.applyPeer(Listed), Result::Known);
  EXPECT_EQ(Records.applyPeer({North, true, 8}), Result::Known);
  EXPECT_TRUE(Records.isEvacuated(North));
}

/// Guards against a removal that is written while the listing is read: the
/// listing contains the zone, and the removal follows.
TEST(EvacuationRecords, ARemovalAfterTheListingEndsTheEvacuation) {
  EvacuationRecords Records;
  const EvacuationRecord Listed{North, true, 10};
  Records.applyStored(Listed);
  Records.applyListing({&Listed, 1}, 50);
  EXPECT_EQ(Records.applyStored({North, false, 55}), Result::Applied);
  EXPECT_FALSE(Records.isEvacuated(North));
}

/// Guards against unbounded heartbeats, and against the loss of an evacuation
/// in force when many zones were evacuated before.
TEST(EvacuationRecords, EndedEvacuationsMakeRoomForNewOnes) {
  EvacuationRecords Records;
  LogOffset Offset = 0;
  for (std::size_t Index = 0; Index + 1 < MaxEvacuationRecords; ++Index)
    Records.applyStored({ZoneId(fmt::format("z{}", Index)), true, ++Offset});
  Records.applyStored({North, false, ++Offset});
  EXPECT_EQ(Records.applyStored({South, true, ++Offset}), Result::Applied);
  EXPECT_EQ(Records.all().size(), MaxEvacuationRecords);
  EXPECT_TRUE(Records.isEvacuated(South));
  EXPECT_TRUE(Records.isEvacuated(ZoneId("z0")));
  EXPECT_EQ(Records.applyStored({North, true, ++Offset}), Result::NoRoom);
}

} // namespace
} // namespace banyanpick
