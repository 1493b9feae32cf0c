/// \file
/// Serves callers: requests, resumed streams and resolve.
#pragma once

#include "app/TrafficThread.h"
#include "http/HttpServer.h"

namespace banyanpick {

/// Serves the HTTP requests of callers. One object serves all threads; it holds
/// no state of requests.
class CallerService {
public:
  explicit CallerService(EventSink &Events) : Events(Events) {}

  /// Serves /v1/completions and /v1/calls.
  Task<void> serveRequest(HttpExchange &Exchange, TrafficThread &Thread);
  /// Serves /v1/resume.
  Task<void> serveResume(HttpExchange &Exchange, TrafficThread &Thread);
  /// Serves /v1/resolve.
  Task<void> serveResolve(HttpExchange &Exchange, TrafficThread &Thread);

private:
  using Entry = std::shared_ptr<RelayEntry>;

  Task<void> serveUnstreamed(HttpExchange &Exchange, Entry Relay);
  Task<void> serveStreamed(HttpExchange &Exchange, Entry Relay);
  /// Sends the stream from \p Index on. Returns true when all of it was sent.
  Task<bool> sendStream(HttpExchange &Exchange, Entry Stream,
                        std::uint64_t Index);
  /// Called when the caller disconnected while \p Writer sent the stream to it.
  void detach(const Entry &Stream, std::uint64_t Writer);

  EventSink &Events;
  std::atomic<std::uint64_t> Writers = 0;
};

} // namespace banyanpick
