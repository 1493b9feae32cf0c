/// \file
/// Guards against connections that orders open and relayed requests can't
/// reuse, and against orders that are sent over a connection that its upstream
/// may be closing.
#include "relay/EngineCalls.h"

#include <gtest/gtest.h>

namespace banyanpick {
namespace {

const UpstreamId Engine("e1");
constexpr seconds Timeout(2);

/// An upstream that answers every request and keeps its connections open.
class Upstream {
public:
  Upstream()
      : Listener(this->Io, {net::ip::address_v4::loopback(), 0}),
        Pool(this->Io.get_executor(), seconds(3), 4), Calls(this->Pool, 4096) {
    net::co_spawn(this->Io, this->accept(), net::detached);
  }

  ClientResult call(http::verb Method, HttpClient::Reuse Connections) {
    ClientRequest Wanted;
    Wanted.Method = Method;
    Wanted.Target = "/x";
    std::optional<ClientResult> Result;
    net::co_spawn(
        this->Io,
        [&]() -> Task<void> {
          const Address At{"127.0.0.1", this->Listener.local_endpoint().port()};
          Result = co_await this->Calls.call(Engine, At, Wanted, Timeout,
                                             Connections);
        },
        net::detached);
    while (!Result)
      this->Io.run_one();
    return *Result;
  }

  net::io_context Io;
  Tcp::acceptor Listener;
  EngineLinkPool Pool;
  EngineCalls Calls;
  std::size_t Accepted = 0;
  bool Answers = true;

private:
  Task<void> accept() {
    for (;;) {
      auto Peer = std::make_shared<Tcp::socket>(
          co_await this->Listener.async_accept(net::use_awaitable));
      ++this->Accepted;
      net::co_spawn(this->Io, this->serve(Peer), net::detached);
    }
  }
  Task<void> serve(std::shared_ptr<Tcp::socket> Peer) {
    beast::flat_buffer Buffer;
    for (;;) {
      http::request<http::string_body> Request;
      ErrorCode Failure;
      co_await http::async_read(*Peer, Buffer, Request, into(Failure));
      if (Failure || !this->Answers)
        co_return;
      http::response<http::string_body> Answer(http::status::ok, 11);
      Answer.body() = "done";
      Answer.prepare_payload();
      co_await http::async_write(*Peer, Answer, into(Failure));
    }
  }
};

TEST(EngineCalls, LeaveTheirConnectionsToRelayedRequests) {
  Upstream Server;
  const ClientResult Order =
      Server.call(http::verb::put, HttpClient::Reuse::No);
  ASSERT_TRUE(std::holds_alternative<ClientAnswer>(Order));
  EXPECT_EQ(std::get<ClientAnswer>(Order).Body, "done");
  const auto Link = Server.Pool.takeIdle(Engine);
  ASSERT_NE(Link, nullptr);
  EXPECT_TRUE(Link->IsReused);
}

TEST(EngineCalls, OnlyOrdersOpenConnectionsWhileOneIsIdle) {
  Upstream Server;
  Server.call(http::verb::get, HttpClient::Reuse::Yes);
  Server.call(http::verb::get, HttpClient::Reuse::Yes);
  EXPECT_EQ(Server.Accepted, 1U);
  Server.call(http::verb::put, HttpClient::Reuse::No);
  EXPECT_EQ(Server.Accepted, 2U);
}

TEST(EngineCalls, AReportRequestIsRepeatedWhenItsConnectionWasClosed) {
  Upstream Server;
  Server.call(http::verb::get, HttpClient::Reuse::Yes);
  // The upstream closes the idle connection when the next request arrives.
  Server.Answers = false;
  const ClientResult Lost =
      Server.call(http::verb::get, HttpClient::Reuse::Yes);
  EXPECT_TRUE(std::holds_alternative<ClientFailure>(Lost));
  EXPECT_EQ(Server.Accepted, 2U) << "it was sent again on a new connection";
}

} // namespace
} // namespace banyanpick
