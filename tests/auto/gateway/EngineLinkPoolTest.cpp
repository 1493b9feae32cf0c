/// \file
/// Connections to upstreams are left in time.
#include "relay/EngineLinkPool.h"

#include <gtest/gtest.h>
#include <thread>

namespace banyanpick {
namespace {

const UpstreamId Engine("e1");

/// A connection to a listener on loopback that says nothing.
struct SilentServer {
  SilentServer() : Listener(this->Io, {net::ip::address_v4::loopback(), 0}) {}

  std::shared_ptr<EngineLink> link(EngineLinkPool &Pool) {
    auto Result = Pool.create();
    Result->Socket.connect(this->Listener.local_endpoint());
    return Result;
  }

  net::io_context Io;
  Tcp::acceptor Listener;
};

TEST(EngineLinkPool, DropsAConnectionBeforeTheUpstreamClosesIt) {
  SilentServer Server;
  EngineLinkPool Pool(Server.Io.get_executor(), seconds(10), 4);
  Pool.keep(Engine, Server.link(Pool), Duration(0));
  EXPECT_NE(Pool.takeIdle(Engine), nullptr) << "the upstream names no time";
  Pool.keep(Engine, Server.link(Pool), milliseconds(50));
  std::this_thread::sleep_for(milliseconds(40));
  EXPECT_EQ(Pool.takeIdle(Engine), nullptr);
}

} // namespace
} // namespace banyanpick
