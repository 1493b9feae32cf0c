#include "http/IdleConnections.h"

namespace banyanpick {

void IdleConnections::add(Connection &Peer) {
  const std::lock_guard Lock(this->Mutex);
  this->Waiting.insert(&Peer);
}

void IdleConnections::remove(Connection &Peer) {
  const std::lock_guard Lock(this->Mutex);
  this->Waiting.erase(&Peer);
}

bool IdleConnections::contains(Connection &Peer) {
  const std::lock_guard Lock(this->Mutex);
  return this->Waiting.contains(&Peer);
}

void IdleConnections::endAll() {
  const std::lock_guard Lock(this->Mutex);
  for (Connection *Peer : this->Waiting)
    net::post(Peer->executor(), [this, Peer] {
      // The connection may have received a request or ended meanwhile.
      if (this->contains(*Peer))
        Peer->stopWatching();
    });
}

} // namespace banyanpick
