/// \file
/// The connections of a server on which no request has begun.
#pragma once

#include "http/Connection.h"

#include <mutex>
#include <set>

namespace banyanpick {

/// Lets a server that ends close its idle connections. Thread-safe.
class IdleConnections {
public:
  /// \p Peer waits for a request until remove() is called. Both are called on
  /// the thread of the connection.
  void add(Connection &Peer);
  void remove(Connection &Peer);
  /// Ends the wait of all connections that still wait when their threads get to
  /// it. A request that has begun to arrive is not affected.
  void endAll();

private:
  bool contains(Connection &Peer);

  std::mutex Mutex;
  std::set<Connection *> Waiting;
};

} // namespace banyanpick
