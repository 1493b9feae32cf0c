/// \file
/// Tests that the pool stops reusing a connection before its upstream closes
/// it.
///
/// They guard against requests that are lost because they reach an upstream
/// while it closes an idle connection.
#include "relay/EngineLinkPool.h"

#include <gtest/gtest.h>
#include <thread>

namespace banyanpick {
namespace {

const UpstreamId Engine("e1");

/// A listener on loopback that never sends data.
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

TEST(EngineLinkPool, LeavesAConnectionBeforeTheUpstreamClosesIt) {
  SilentServer Server;
  EngineLinkPool Pool(Server.Io.get_executor(), seconds(10), 4);
  Pool.keep(Engine, Server.link(Pool), Duration(0));
  EXPECT_NE(Pool.takeIdle(Engine), nullptr)
      << "the upstream announces no keep-alive timeout";
  Pool.keep(Engine, Server.link(Pool), milliseconds(50));
  std::this_thread::sleep_for(milliseconds(40));
  EXPECT_EQ(Pool.takeIdle(Engine), nullptr);
}

/// Guards against idle connections that count towards the upstream's limit
/// while a request opens a further one.
TEST(EngineLinkPool, ClosesTheLongestIdleConnectionAtTheLimit) {
  SilentServer Server;
  EngineLinkPool Pool(Server.Io.get_executor(), seconds(10), 4);
  std::vector<std::weak_ptr<EngineLink>> Links;
  for (int Index = 0; Index < 3; ++Index) {
    auto Link = Pool.create(Engine, 3);
    Link->Socket.connect(Server.Listener.local_endpoint());
    Links.push_back(Link);
    Pool.keep(Engine, std::move(Link), Duration(0));
  }
  const auto Further = Pool.create(Engine, 3);
  EXPECT_TRUE(Links[0].expired());
  EXPECT_FALSE(Links[1].expired());
  const auto Last = Pool.create(Engine, 2);
  EXPECT_TRUE(Links[1].expired());
  EXPECT_TRUE(Links[2].expired());
}

} // namespace
} // namespace banyanpick
