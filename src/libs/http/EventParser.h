/// \file
/// Parses and formats server-sent events.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace banyanpick {

/// One event. The type is empty if the event names none.
struct ServerEvent {
  std::string Type;
  std::string Data;

  bool operator==(const ServerEvent &) const = default;
};

/// Incremental parser of the event stream format of the HTML standard. Ignores
/// ids and reconnection times.
class EventParser {
public:
  /// Events longer than \p MaxEventBytes are an error.
  explicit EventParser(std::size_t MaxEventBytes)
      : MaxEventBytes(MaxEventBytes) {}

  /// Parses \p Bytes and adds the events that are complete now to \p Out.
  /// Throws Error(BadInput) if an event is too long.
  void feed(std::string_view Bytes, std::vector<ServerEvent> &Out);

  /// Returns the number of bytes held of an incomplete event.
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

/// Returns `event: TYPE`, `data: DATA` and the empty line. \p Data must not
/// contain line breaks.
std::string formatEvent(std::string_view Type, std::string_view Data);

} // namespace banyanpick
