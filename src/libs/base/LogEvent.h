/// \file
/// A numbered log event with its fields, independent of any log output.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace banyanpick {

enum class LogLevel { Debug, Info, Warning, Error };

/// One `key=value` of a log line.
struct LogField {
  std::string Key;
  std::string Value;

  bool operator==(const LogField &) const = default;
};

/// One log line. docs/EVENTS.md documents the numbers.
struct LogEvent {
  LogLevel Level = LogLevel::Info;
  std::uint32_t Number = 0;
  std::string Message;
  std::vector<LogField> Fields;

  bool operator==(const LogEvent &) const = default;
};

/// Builds a LogEvent: `LogEventBuilder(EventKind).with("team", Team).build()`.
class LogEventBuilder {
public:
  LogEventBuilder(LogLevel Level, std::uint32_t Number,
                  std::string_view Message) {
    this->Event.Level = Level;
    this->Event.Number = Number;
    this->Event.Message = Message;
  }

  LogEventBuilder &with(std::string_view Key, std::string_view Value) {
    this->Event.Fields.push_back({std::string(Key), std::string(Value)});
    return *this;
  }
  LogEventBuilder &with(std::string_view Key, const char *Value) {
    return this->with(Key, std::string_view(Value));
  }
  template <class Number>
  requires std::is_arithmetic_v<Number> LogEventBuilder &
  with(std::string_view Key, Number Value) {
    return this->with(Key, std::string_view(std::to_string(Value)));
  }

  LogEvent build() { return std::move(this->Event); }

private:
  LogEvent Event;
};

} // namespace banyanpick
