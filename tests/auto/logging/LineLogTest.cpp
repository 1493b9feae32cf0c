/// \file
/// Tests the format and the level of log lines, and that the writer never
/// blocks.
///
/// They guard against secrets and line breaks in log lines, and against a host
/// that stops because nobody reads its log.
#include "logging/LineLog.h"
#include "logging/LineWriter.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <unistd.h>

namespace banyanpick {
namespace {

const Time Noon = Time(seconds(1'764'676'800) + Duration(42));

std::string lineWith(std::string_view Key, std::string_view Value) {
  return formatLogLine(LogEventBuilder(LogLevel::Info, 202, "request routed")
                           .with(Key, Value)
                           .build(),
                       Noon);
}

TEST(LineLog, WritesTimeLevelNumberMessageAndFields) {
  EXPECT_EQ(lineWith("upstream", "e1"), "2025-12-02T12:00:00.000042Z info 202 "
                                        "\"request routed\" upstream=e1");
}

TEST(LineLog, QuotesAndEscapesValues) {
  EXPECT_TRUE(lineWith("a", "b c").ends_with(" a=\"b c\""));
  EXPECT_TRUE(lineWith("a", "").ends_with(" a=\"\""));
  EXPECT_TRUE(lineWith("a", "b\"\n").ends_with(" a=\"b\\\"\\x0a\""));
}

TEST(LineLog, NeverShowsSecrets) {
  for (const char *Name : {"key", "team_key", "authorization", "prompt"})
    EXPECT_TRUE(lineWith(Name, "secret").ends_with("=***"));
}

RC_GTEST_PROP(LineLog, KeepsAnyValueOnOneBoundedLine,
              (const std::string &Value)) {
  const std::string Line = lineWith("a", Value + std::string(5000, 'x'));
  RC_ASSERT(Line.find('\n') == std::string::npos);
  RC_ASSERT(Line.size() < 8200u);
}

TEST(LineLog, OmitsLinesBelowTheLevel) {
  Settings Values = Settings::defaults(loggingSettings());
  ASSERT_EQ(Values.set("logging", "level", "warning"), "");
  configureLog(Values);
  testing::internal::CaptureStdout();
  writeLogLine(LogEventBuilder(LogLevel::Info, 1, "quiet").build(), Noon);
  writeLogLine(LogEventBuilder(LogLevel::Error, 2, "loud").build(), Noon);
  const std::string Written = testing::internal::GetCapturedStdout();
  EXPECT_EQ(Written, "2025-12-02T12:00:00.000042Z error 2 \"loud\"\n");
}

TEST(LineWriter, NeverBlocksAndReportsDroppedLines) {
  int PipeEnds[2];
  ASSERT_EQ(pipe(PipeEnds), 0);
  LineWriter Writer(PipeEnds[1]);
  const std::string Line(1000, 'x');
  Time Now = Noon;
  for (int Index = 0; Index < 200; ++Index)
    Writer.write(Line + "\n", Now);
  EXPECT_GT(Writer.dropped(), 0U) << "nobody reads the pipe";
  std::string Read(1 << 20, '\0');
  ASSERT_GT(read(PipeEnds[0], Read.data(), Read.size()), 0);
  Now += seconds(1);
  Writer.write("next\n", Now);
  const auto Count = read(PipeEnds[0], Read.data(), Read.size());
  Read.resize(static_cast<std::size_t>(std::max<ssize_t>(Count, 0)));
  EXPECT_NE(Read.find("\"log lines dropped\" lines="), std::string::npos);
  EXPECT_TRUE(Read.ends_with("next\n"));
  close(PipeEnds[0]);
  close(PipeEnds[1]);
}

TEST(LineWriter, BoundsItsRate) {
  int PipeEnds[2];
  ASSERT_EQ(pipe(PipeEnds), 0);
  LineWriter Writer(PipeEnds[1]);
  for (int Index = 0; Index < 5000; ++Index)
    Writer.write("a\n", Noon);
  EXPECT_GE(Writer.dropped(), 5000U - 2000U);
  close(PipeEnds[0]);
  close(PipeEnds[1]);
}

} // namespace
} // namespace banyanpick
