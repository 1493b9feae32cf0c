/// \file
/// Tests how callers' requests for the addresses of hosts are decoded.
#include "platform/PlatformCallers.h"

#include "base/Error.h"

#include <gtest/gtest.h>

namespace banyanpick::platform {
namespace {

/// Guards against callers that get hosts outside the home regions because their
/// host name or region was dropped.
TEST(ResolveRequests, CarryTheNameTheRegionAndTheZone) {
  const ResolveRequest Read = resolveRequestFrom(
      parseTarget("/resolution?Name=a.example&Region=east&Zone=z1"));
  EXPECT_EQ(Read.Name, "a.example");
  EXPECT_EQ(Read.Region, "east");
  EXPECT_EQ(Read.Zone, ZoneId("z1"));
  const ResolveRequest Empty = resolveRequestFrom(parseTarget("/resolution"));
  EXPECT_TRUE(Empty.Name.empty() && Empty.Region.empty());
  EXPECT_THROW(resolveRequestFrom(parseTarget("/other")), Error);
}

} // namespace
} // namespace banyanpick::platform
