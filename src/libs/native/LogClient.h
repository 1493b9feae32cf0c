/// \file
/// The platform's log and host list over HTTP.
#pragma once

#include "http/HttpClient.h"
#include "kernel/Action.h"
#include "native/PlatformSettings.h"

namespace banyanpick {

/// Used on one thread. Each call gives the event that answers the action.
class LogClient {
public:
  LogClient(const net::any_io_executor &Executor, PlatformSettings Values);

  /// Taken or Refused only when that is sure; else Unknown.
  Task<Event> append(AppendToLog Action);
  /// LogRead or LogReadFailed.
  Task<Event> read(ReadLog Action);
  /// HostListRead or HostListReadFailed.
  Task<Event> readHostList();

private:
  PlatformSettings Values;
  HttpClient Client;
};

/// What an append's answer means.
AppendAnswered appendAnswerFrom(const AppendId &Append,
                                const ClientResult &Result);

/// The body of `GET /log`. Records whose bytes are no batch are passed over,
/// as every host does alike. Throws Error(BadInput) when the body itself is
/// malformed.
LogRead logReadFrom(std::string_view Body, LogOffset FromOffset);

} // namespace banyanpick
