/// \file
/// Server-sent events out of bytes, as they come.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace banyanpick {

/// One event; the type is empty when none was named.
struct ServerEvent {
  std::string Type;
  std::string Data;

  bool operator==(const ServerEvent &) const = default;
};

/// Reads the event stream format of the HTML standard, without ids and
/// reconnection times.
class EventParser {
public:
  /// Events longer than \p MaxEventBytes are an error.
  explicit EventParser(std::size_t MaxEventBytes)
      : MaxEventBytes(MaxEventBytes) {}

  /// Adds the events that are complete now to \p Out. Throws Error(BadInput)
  /// when an event is too long.
  void feed(std::string_view Bytes, std::vector<ServerEvent> &Out);

  /// Bytes held of an event that is not complete.
  std::size_t pendingBytes() const {
    return this->Line.size() + this->Current.Data.size();
  }

private:
  void handleLine(std::string_view Text, std::vector<ServerEvent> &Out);

  std::size_t MaxEventBytes;
  std::string Line;
  ServerEvent Current;
  bool HasData = false;
};

/// `event: TYPE`, `data: DATA` and the empty line; DATA holds no line break.
std::string formatEvent(std::string_view Type, std::string_view Data);

} // namespace banyanpick
