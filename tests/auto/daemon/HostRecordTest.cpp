/// \file
/// The records of hosts in the store, which any program may have written.
#include "app/HostRecord.h"

#include <gtest/gtest.h>

namespace banyanpick {
namespace {

KeyedRecord record(const std::string &Processor,
                   const std::string &Key = "host-1") {
  return {Key, "127.0.0.1:1 127.0.0.1:2 east" + Processor, 0};
}

/// Guards against a host that takes all callers: a negative number wrapped
/// around to four million cores.
TEST(HostRecord, HasOneCoreWhereItsProcessorIsOutOfRange) {
  for (const char *Odd :
       {"", " 0", " -1", " -4294967295", " 1024001", " 4294967295",
        " 4294967296", " 18446744073709551616", " 1e400", " x"}) {
    const auto Host = readHostRecord(record(Odd));
    ASSERT_TRUE(Host) << Odd;
    EXPECT_EQ(Host->Processor, ProcessorShare()) << Odd;
  }
}

TEST(HostRecord, HasTheProcessorOfTheSettings) {
  for (const std::uint32_t Thousandths : {1U, 2500U, 1024000U}) {
    const auto Host = readHostRecord(record(" " + std::to_string(Thousandths)));
    ASSERT_TRUE(Host);
    EXPECT_EQ(Host->Processor.Thousandths, Thousandths);
  }
}

TEST(HostRecord, IsIgnoredWithoutAKey) {
  EXPECT_FALSE(readHostRecord(record(" 1000", "")));
}

} // namespace
} // namespace banyanpick
