#include "logging/LineLog.h"

#include "logging/LineWriter.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <unistd.h>

namespace banyanpick {

namespace {

constexpr std::string_view Section = "logging";
constexpr std::string_view LevelKey = "level";
constexpr std::array<std::string_view, 4> LevelNames{"debug", "info", "warning",
                                                     "error"};
constexpr std::size_t MaxValueLength = 2000;
constexpr std::string_view Redacted = "***";

/// Names of fields whose values are never written.
constexpr std::array<std::string_view, 8> SecretFields{
    "key",    "team_key", "owner_key",    "authorization",
    "secret", "prompt",   "resume_token", "body"};

std::atomic<LogLevel> Threshold{LogLevel::Info};

std::string_view levelName(LogLevel Level) {
  return LevelNames[static_cast<std::size_t>(Level)];
}

bool isSecret(std::string_view Field) {
  return std::find(SecretFields.begin(), SecretFields.end(), Field) !=
         SecretFields.end();
}

bool isControl(char Character) {
  const auto Code = static_cast<unsigned char>(Character);
  return Code < 0x20 || Code == 0x7f;
}

bool needsQuotes(std::string_view Value) {
  return Value.empty() ||
         std::any_of(Value.begin(), Value.end(), [](char Character) {
           return Character == ' ' || Character == '"' || Character == '=' ||
                  Character == '\\' || isControl(Character);
         });
}

void appendQuoted(std::string &Line, std::string_view Value) {
  Line += '"';
  for (const char Character : Value) {
    if (Character == '"' || Character == '\\')
      Line += '\\';
    if (isControl(Character))
      Line += fmt::format("\\x{:02x}", static_cast<unsigned char>(Character));
    else
      Line += Character;
  }
  Line += '"';
}

void appendValue(std::string &Line, std::string_view Value) {
  const std::string_view Shown = Value.substr(0, MaxValueLength);
  if (needsQuotes(Shown))
    appendQuoted(Line, Shown);
  else
    Line += Shown;
  if (Shown.size() < Value.size())
    Line += "...";
}

std::string timeText(Time Now) {
  const Duration SinceEpoch = Now.time_since_epoch();
  const auto WholeSeconds = std::chrono::floor<seconds>(SinceEpoch);
  return fmt::format(
      "{:%Y-%m-%dT%H:%M:%S}.{:06}Z",
      fmt::gmtime(static_cast<std::time_t>(WholeSeconds.count())),
      (SinceEpoch - WholeSeconds).count());
}

} // namespace

std::vector<SettingDeclaration> loggingSettings() {
  return {{.Section = std::string(Section),
           .Key = std::string(LevelKey),
           .Kind = SettingKind::Choice,
           .Default = "info",
           .Help = "Log lines below this level are left out; routing decisions "
                   "are at info.",
           .Choices = {LevelNames.begin(), LevelNames.end()}}};
}

void configureLog(const Settings &Values) {
  const std::string Level = Values.text(Section, LevelKey);
  const auto Found = std::find(LevelNames.begin(), LevelNames.end(), Level);
  Threshold = static_cast<LogLevel>(Found - LevelNames.begin());
}

void writeLogLine(const LogEvent &Line, Time Now) {
  if (Line.Level < Threshold)
    return;
  static LineWriter Writer(STDOUT_FILENO);
  Writer.write(formatLogLine(Line, Now) + "\n", Now);
}

std::string formatLogLine(const LogEvent &Line, Time Now) {
  std::string Text = fmt::format("{} {} {} ", timeText(Now),
                                 levelName(Line.Level), Line.Number);
  appendQuoted(Text, Line.Message);
  for (const LogField &Field : Line.Fields) {
    Text += " " + Field.Key + "=";
    appendValue(Text, isSecret(Field.Key) ? Redacted : Field.Value);
  }
  return Text;
}

} // namespace banyanpick
