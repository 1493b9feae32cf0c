/// \file
/// Tests the parts of the process that need no connection.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "app/AnswerJson.h"
#include "app/ChunkBuffer.h"
#include "app/ContentHash.h"
#include "app/SettingsFile.h"

using namespace banyanpick;

namespace {

RC_GTEST_PROP(ChunkBuffer, KeepsUndeliveredAndBoundsDeliveredChunks, ()) {
  constexpr std::size_t Keep = 200;
  ChunkBuffer Chunks(5, Keep);
  std::uint64_t Next = 5;
  for (int I = 0; I < 50; ++I) {
    if (*rc::gen::arbitrary<bool>())
      Chunks.append(std::to_string(Next++));
    else
      Chunks.markDelivered(*rc::gen::inRange<std::uint64_t>(5, Next + 3));
    RC_ASSERT(Chunks.end() == Next);
    RC_ASSERT(Chunks.first() <= std::max<std::uint64_t>(Chunks.delivered(), 5));
    RC_ASSERT(Chunks.bytes() - Chunks.undeliveredBytes() <= Keep);
    for (std::uint64_t Index = Chunks.first(); Index < Next; ++Index)
      RC_ASSERT(Chunks.at(Index) == std::to_string(Index));
  }
}

TEST(ContentHash, BlocksAreChained) {
  const std::string One(PromptBlockTokens * BytesPerToken, 'a');
  const auto Same = promptBlocks(One + One);
  const auto Differs = promptBlocks(std::string(One.size(), 'b') + One);
  ASSERT_EQ(Same.size(), 2U);
  EXPECT_EQ(Same[0], promptBlocks(One + "tail")[0]);
  EXPECT_NE(Same[1], Differs[1]);
  EXPECT_NE(contentFingerprint(ClassId("a"), One),
            contentFingerprint(ClassId("b"), One));
}

TEST(AnswerJson, FormatsStatusesAndRetryAfter) {
  const FinalAnswer Refusal =
      NotRun{RefusalReason::OverLimit, Duration(700'100), "m"};
  const HttpAnswer Answer = answerTo(Refusal, nullptr);
  EXPECT_EQ(Answer.Status, 429U);
  EXPECT_EQ(Answer.Body, R"({"answer":"not-run","come_back_after_ms":701,)"
                         R"("message":"m","reason":"over-limit"})");
  EXPECT_EQ(answerTo(OutcomeUnknown{}, nullptr).Status, 504U);
  EXPECT_EQ(chunkData(1, "\"\n"), R"({"index":1,"text":"\"\n"})");
}

TEST(DaemonSettings, ReportsEveryInvalidLine) {
  std::vector<SettingsProblem> Problems;
  const auto Read = readDaemonSettings("[host]\nname = h\nbogus = 1\n"
                                       "[traffic]\nthreads = none\n",
                                       Problems);
  EXPECT_FALSE(Read);
  const auto Has = [&](int Line, std::string_view Key) {
    return std::any_of(Problems.begin(), Problems.end(),
                       [&](const auto &Problem) {
                         return Problem.Line == Line && Problem.Key == Key &&
                                !Problem.Message.empty();
                       });
  };
  EXPECT_TRUE(Has(3, "bogus"));
  EXPECT_TRUE(Has(5, "threads"));
  EXPECT_TRUE(Has(0, "zone"));
  EXPECT_TRUE(Has(0, "curve_secret_key"));
}

} // namespace
