/// \file
/// Every numbered log event; docs/EVENTS.md catalogues them and a test holds
/// the two together. One line an event: name, number, level, message.
#pragma once

#include "base/LogEvent.h"

#include <array>

namespace banyanpick {

/// A kind of log event: its number, level and message never change.
struct EventKind {
  std::uint32_t Number;
  LogLevel Level;
  std::string_view Message;
};

/// Starts a log line of this kind.
inline LogEventBuilder logEvent(const EventKind &Kind) {
  return LogEventBuilder(Kind.Level, Kind.Number, Kind.Message);
}

namespace events {

// 1xx: process
inline constexpr EventKind Started{100, LogLevel::Info, "started"};
inline constexpr EventKind Stopping{101, LogLevel::Info, "stopping"};
inline constexpr EventKind Stopped{102, LogLevel::Info, "stopped"};
inline constexpr EventKind InvariantBroken{103, LogLevel::Error,
                                           "invariant broken"};
inline constexpr EventKind BadPeerMessage{104, LogLevel::Warning,
                                          "malformed peer message dropped"};

// 2xx: requests
inline constexpr EventKind RequestAdmitted{200, LogLevel::Info,
                                           "request admitted"};
inline constexpr EventKind RequestRefused{201, LogLevel::Info,
                                          "request refused"};
inline constexpr EventKind RequestRouted{202, LogLevel::Info, "request routed"};
inline constexpr EventKind RequestRetried{203, LogLevel::Warning,
                                          "request retried"};
inline constexpr EventKind RequestEnded{204, LogLevel::Info, "request ended"};
inline constexpr EventKind AttemptFailed{205, LogLevel::Warning,
                                         "attempt failed"};

// 3xx: catalogue and log
inline constexpr EventKind CatalogueAdvanced{300, LogLevel::Info,
                                             "catalogue in force"};
inline constexpr EventKind ChangeRejected{301, LogLevel::Warning,
                                          "change set rejected"};
inline constexpr EventKind LogUnreachable{302, LogLevel::Warning,
                                          "log service unreachable"};
inline constexpr EventKind LogReachable{303, LogLevel::Info,
                                        "log service reachable"};

// 4xx: claims

// 5xx: hosts and upstreams

// 6xx: placement and orders

// 7xx: quarantine, reclaim

} // namespace events
} // namespace banyanpick
