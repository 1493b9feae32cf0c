/// \file
/// Tests which records of the platform's store are evacuations.
#include "platform/PlatformDocuments.h"

#include "base/Error.h"

#include <gtest/gtest.h>

namespace banyanpick::platform {
namespace {

/// Guards against records that are mistaken for evacuations or overlooked.
TEST(EvacuationDocuments, TheKeyNamesTheZone) {
  const PlatformDocuments Documents;
  EXPECT_EQ(Documents.evacuatedZone("evacuate/zolo3"), ZoneId("zolo3"));
  EXPECT_EQ(Documents.evacuatedZone("evacuate/"), ZoneId());
  EXPECT_FALSE(Documents.evacuatedZone("config"));
  EXPECT_FALSE(Documents.evacuatedZone("evacuated/zolo3"));
}

/// Guards against unreadable values that nobody notices.
TEST(EvacuationDocuments, TheValueIsAnObject) {
  const PlatformDocuments Documents;
  EXPECT_NO_THROW(Documents.checkEvacuation("{}"));
  EXPECT_NO_THROW(Documents.checkEvacuation(R"({"by":"an operator"})"));
  for (const char *Malformed : {"", "{", "7", "\"on\"", "null", "[]", "\xff"})
    EXPECT_THROW(Documents.checkEvacuation(Malformed), Error) << Malformed;
}

} // namespace
} // namespace banyanpick::platform
