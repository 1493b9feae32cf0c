/// \file
/// Pool of idle connections to upstreams.
#pragma once

#include "http/ClientRequest.h"
#include "kernel/Upstream.h"

#include <chrono>
#include <map>
#include <memory>
#include <vector>

namespace banyanpick {

/// A connection to an upstream and the bytes that were read from it but not
/// parsed yet.
struct EngineLink {
  explicit EngineLink(const net::any_io_executor &Executor)
      : Socket(Executor) {}

  Tcp::socket Socket;
  beast::flat_buffer Buffer;
  bool IsReused = false; ///< Has served a request before.
  std::chrono::steady_clock::time_point IdleUntil{};
};

/// Keeps idle connections for reuse by later requests. Used on the thread of
/// its executor.
class EngineLinkPool {
public:
  EngineLinkPool(const net::any_io_executor &Executor, Duration MaxIdle,
                 std::size_t MaxIdlePerUpstream)
      : Executor(Executor), MaxIdle(MaxIdle),
        MaxIdlePerUpstream(MaxIdlePerUpstream) {}

  /// Removes an idle connection on which no data has arrived and returns it, or
  /// null if there is none.
  std::shared_ptr<EngineLink> takeIdle(const UpstreamId &Engine);
  std::shared_ptr<EngineLink> create();
  /// Keeps the connection for a later request. \p ServerIdle is the keep-alive
  /// timeout that the upstream announced, or zero if it announced none.
  void keep(const UpstreamId &Engine, std::shared_ptr<EngineLink> Link,
            Duration ServerIdle);
  /// Closes the idle connections to an upstream.
  void forget(const UpstreamId &Engine) { this->IdleLinks.erase(Engine); }

private:
  net::any_io_executor Executor;
  Duration MaxIdle;
  std::size_t MaxIdlePerUpstream;
  std::map<UpstreamId, std::vector<std::shared_ptr<EngineLink>>> IdleLinks;
};

} // namespace banyanpick
