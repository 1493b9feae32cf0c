/// \file
/// Connections to upstreams, kept between requests.
#pragma once

#include "http/ClientRequest.h"
#include "kernel/Upstream.h"

#include <chrono>
#include <map>
#include <memory>
#include <vector>

namespace banyanpick {

/// One connection and what was read from it but not understood yet.
struct EngineLink {
  explicit EngineLink(const net::any_io_executor &Executor)
      : Socket(Executor) {}

  Tcp::socket Socket;
  beast::flat_buffer Buffer;
  bool IsReused = false; ///< It served a request before.
  std::chrono::steady_clock::time_point IdleUntil{};
};

/// Used on the thread of its executor.
class EngineLinkPool {
public:
  EngineLinkPool(const net::any_io_executor &Executor, Duration MaxIdle,
                 std::size_t MaxIdlePerUpstream)
      : Executor(Executor), MaxIdle(MaxIdle),
        MaxIdlePerUpstream(MaxIdlePerUpstream) {}

  /// A kept connection on which nothing came since, or null.
  std::shared_ptr<EngineLink> takeIdle(const UpstreamId &Engine);
  std::shared_ptr<EngineLink> create();
  /// Keeps it for another request; \p ServerIdle is how long the upstream says
  /// that it keeps it, zero when it does not say.
  void keep(const UpstreamId &Engine, std::shared_ptr<EngineLink> Link,
            Duration ServerIdle);
  /// Closes what was kept to an upstream.
  void forget(const UpstreamId &Engine) { this->IdleLinks.erase(Engine); }

private:
  net::any_io_executor Executor;
  Duration MaxIdle;
  std::size_t MaxIdlePerUpstream;
  std::map<UpstreamId, std::vector<std::shared_ptr<EngineLink>>> IdleLinks;
};

} // namespace banyanpick
