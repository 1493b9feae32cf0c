/// \file
/// Tests the encoding of records for the store and the decoding of its answers.
#include "platform/RecordFrames.h"

#include "base/Error.h"
#include "platform/PlatformStore.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace banyanpick::platform {
namespace {

const std::string Head(16, '\0');

TEST(RecordFrames, ReadsKeysValuesAndOffsets) {
  using namespace std::string_literals;
  const std::string Body =
      Head + "\0\0\0\x05\x02"s + "abXY" + "\0\0\0\x03\x02"s + "cd";
  const RecordsRead Read = readFrames(Body, 40);
  ASSERT_EQ(Read.Records.size(), 2U);
  EXPECT_EQ(Read.Records[0].Key, "ab");
  EXPECT_EQ(Read.Records[0].Value, "XY");
  EXPECT_EQ(Read.Records[0].Offset, 40U);
  EXPECT_EQ(Read.Records[1].Value, std::nullopt);
  EXPECT_EQ(Read.NextOffset, 42U);
}

TEST(RecordFrames, RejectsTruncatedBytes) {
  const std::string Complete = Head + writeFrame({"key", "value", 0});
  for (std::size_t Length = 0; Length < Complete.size(); ++Length) {
    if (Length == Head.size())
      continue; // No record at all.
    EXPECT_THROW(readFrames(std::string_view(Complete).substr(0, Length), 0),
                 Error);
  }
}

TEST(RecordFrames, ReadsTheRecordsAfterOneWithoutItsKey) {
  using namespace std::string_literals;
  const std::string Body =
      Head + "\0\0\0\x02\x09"s + "a" + "\0\0\0\0"s + "\0\0\0\x05\x02"s + "abXY";
  const RecordsRead Read = readFrames(Body, 7);
  ASSERT_EQ(Read.Records.size(), 3U);
  EXPECT_TRUE(Read.Records[0].Key.empty());
  EXPECT_TRUE(Read.Records[1].Key.empty());
  EXPECT_EQ(Read.Records[2].Value, "XY");
  EXPECT_EQ(Read.Records[2].Offset, 9U);
}

RC_GTEST_PROP(RecordFramesProperty, DecodesWhatWasEncoded, ()) {
  KeyedRecord Record;
  const auto KeyLength = *rc::gen::inRange<std::size_t>(0, 256);
  Record.Key =
      *rc::gen::container<std::string>(KeyLength, rc::gen::arbitrary<char>());
  const auto Value = *rc::gen::arbitrary<std::string>();
  if (!Value.empty())
    Record.Value = Value;
  const RecordsRead Read = readFrames(Head + writeFrame(Record), 3);
  RC_ASSERT(Read.Records.size() == 1U);
  RC_ASSERT(Read.Records[0].Key == Record.Key);
  RC_ASSERT(Read.Records[0].Value == Record.Value);
}

TEST(NewestPage, DecodesBase64Values) {
  const NewestPage Page = readNewest(
      R"({"Items":[{"Key":"config","Value":"eyJhIjoxfQ==","Offset":4}],
      "Truncated":true,"EndOffset":6})");
  ASSERT_EQ(Page.Records.size(), 1U);
  EXPECT_EQ(Page.Records[0].Value, R"({"a":1})");
  EXPECT_TRUE(Page.More);
  EXPECT_EQ(Page.EndOffset, 6U);
  EXPECT_THROW(readNewest("no json"), Error);
}

} // namespace
} // namespace banyanpick::platform
