/// \file
/// HTTP client of the platform's log and host list.
#pragma once

#include "http/HttpClient.h"
#include "kernel/Action.h"
#include "native/PlatformSettings.h"

namespace banyanpick {

/// Performs actions on the log and the host list. Each call returns the event
/// that answers the action. Used on one thread.
class LogClient {
public:
  LogClient(const net::any_io_executor &Executor, PlatformSettings Values);

  /// Returns AppendAnswered. The result is Appended or Refused only if that is
  /// certain, and Unknown otherwise.
  Task<Event> append(AppendToLog Action);
  /// Returns LogRead or LogReadFailed.
  Task<Event> read(ReadLog Action);
  /// Returns HostListRead or HostListReadFailed.
  Task<Event> readHostList();

private:
  PlatformSettings Values;
  HttpClient Client;
};

/// Converts the HTTP result of an append.
AppendAnswered appendAnswerFrom(const AppendId &Append,
                                const ClientResult &Result);

/// Parses the body of `GET /log`. Records whose bytes are not a valid batch are
/// skipped, which every host does in the same way. Throws Error(BadInput) if
/// the body itself is malformed.
LogRead logReadFrom(std::string_view Body, LogOffset FromOffset);

} // namespace banyanpick
