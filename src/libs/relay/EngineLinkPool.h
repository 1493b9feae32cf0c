/// \file
/// Pool of idle connections to upstreams.
#pragma once

#include "http/AnswerReader.h"
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
  AnswerBuffer Buffer;
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
  /// Returns a link without a connection.
  std::shared_ptr<EngineLink> create();
  /// The same for an upstream that limits its connections. While this host has
  /// \p MaxConnections to the upstream, idle and in use, the longest idle one
  /// is closed; zero: no limit.
  std::shared_ptr<EngineLink> create(const UpstreamId &Engine,
                                     std::uint32_t MaxConnections);
  /// Keeps the connection for a later request. \p ServerIdle is the keep-alive
  /// timeout that the upstream announced, or zero if it announced none.
  void keep(const UpstreamId &Engine, std::shared_ptr<EngineLink> Link,
            Duration ServerIdle);
  /// Closes the idle connections to an upstream.
  void forget(const UpstreamId &Engine) { this->IdleLinks.erase(Engine); }

private:
  /// Returns the number of links that were created for the upstream with a
  /// limit and are idle or in use. Links of create() without a limit, such as
  /// those of report requests and orders, are not counted.
  std::size_t connections(const UpstreamId &Engine);

  net::any_io_executor Executor;
  Duration MaxIdle;
  std::size_t MaxIdlePerUpstream;
  std::map<UpstreamId, std::vector<std::weak_ptr<EngineLink>>> Links;
  std::map<UpstreamId, std::vector<std::shared_ptr<EngineLink>>> IdleLinks;
};

} // namespace banyanpick
