/// \file
/// Guards against stored quarantines that are read wrongly, or that take the
/// records of hosts for contents.
#include "app/QuarantineRecord.h"

#include "app/HostRecord.h"

#include <gtest/gtest.h>

namespace banyanpick {
namespace {

TEST(QuarantineRecord, IsReadAsItWasWritten) {
  for (const std::uint64_t Value : {0ULL, 5ULL, ~0ULL}) {
    const Fingerprint Content(Value);
    for (const bool IsProven : {false, true}) {
      const KeyedRecord Record =
          writeQuarantineRecord({Content, true, IsProven});
      EXPECT_EQ(readQuarantineRecord(Record),
                (StoredQuarantine{Content, IsProven}));
      EXPECT_FALSE(readHostRecord(Record)) << "no host has this record";
    }
  }
}

TEST(QuarantineRecord, IsAbsentOnceRemoved) {
  const KeyedRecord Record = writeQuarantineRecord({Fingerprint(5), false});
  EXPECT_FALSE(Record.Value);
  EXPECT_FALSE(readQuarantineRecord(Record));
}

TEST(QuarantineRecord, IsIgnoredWhereMalformed) {
  for (const char *Key : {"quarantine/", "quarantine/5g", "quarantine/ 5",
                          "quarantine/10000000000000000", "front-1"})
    EXPECT_FALSE(readQuarantineRecord({Key, "quarantined", 0})) << Key;
  EXPECT_TRUE(isQuarantineRecord({"quarantine/5g", "quarantined", 0}))
      << "so that it is logged";
}

} // namespace
} // namespace banyanpick
