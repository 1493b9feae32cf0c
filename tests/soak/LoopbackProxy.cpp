#include "soak/LoopbackProxy.h"

#include "standins/HttpServer.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace banyanpick::soak {

namespace {

namespace asio = boost::asio;

/// Interval at which a silent direction checks whether the fault has ended.
constexpr milliseconds PollInterval(10);

bool isSilent(const LinkFault &Fault, bool ToServer) {
  const auto *Silent = std::get_if<SilentLink>(&Fault);
  return Silent && (ToServer ? Silent->ToServer : Silent->ToClient);
}

asio::awaitable<void> pause(Duration Length) {
  asio::steady_timer Timer(co_await asio::this_coro::executor, Length);
  co_await Timer.async_wait(asio::use_awaitable);
}

} // namespace

void LoopbackProxy::Connection::close() {
  boost::system::error_code Ignored;
  this->Client.close(Ignored);
  this->Server.close(Ignored);
}

void LoopbackProxy::Connection::reset() {
  boost::system::error_code Ignored;
  // Closing with a linger time of 0 sends a reset.
  this->Client.set_option(asio::socket_base::linger(true, 0), Ignored);
  this->Server.set_option(asio::socket_base::linger(true, 0), Ignored);
  this->close();
}

LoopbackProxy::LoopbackProxy(const std::string &Listen,
                             const std::string &Target)
    : Address(Listen), Target(standins::parseEndpoint(Target)),
      Acceptor(this->Io, standins::parseEndpoint(Listen)) {
  asio::co_spawn(this->Io, this->acceptAll(), asio::detached);
  this->Thread = std::thread([this] { this->Io.run(); });
}

LoopbackProxy::~LoopbackProxy() {
  this->Io.stop();
  this->Thread.join();
}

void LoopbackProxy::setFault(const LinkFault &Fault) {
  asio::post(this->Io, [this, Fault] {
    this->CurrentFault = Fault;
    if (!std::holds_alternative<ResettingLink>(Fault))
      return;
    for (const std::weak_ptr<Connection> &Opened : this->Connections)
      if (const auto Alive = Opened.lock())
        Alive->reset();
  });
}

asio::awaitable<void> LoopbackProxy::acceptAll() {
  for (;;) {
    auto Accepted = std::make_shared<Connection>(
        Connection{Socket(this->Io), Socket(this->Io)});
    co_await this->Acceptor.async_accept(Accepted->Client, asio::use_awaitable);
    std::erase_if(this->Connections,
                  [](const auto &Closed) { return Closed.expired(); });
    this->Connections.push_back(Accepted);
    asio::co_spawn(this->Io, this->connect(Accepted), asio::detached);
  }
}

asio::awaitable<void>
LoopbackProxy::connect(std::shared_ptr<Connection> Accepted) {
  if (std::holds_alternative<ResettingLink>(this->CurrentFault)) {
    Accepted->reset();
    co_return;
  }
  try {
    co_await Accepted->Server.async_connect(this->Target, asio::use_awaitable);
  } catch (const boost::system::system_error &) {
    // The target does not listen. The client gets the same result.
    Accepted->reset();
    co_return;
  }
  boost::system::error_code Ignored;
  Accepted->Client.set_option(asio::ip::tcp::no_delay(true), Ignored);
  Accepted->Server.set_option(asio::ip::tcp::no_delay(true), Ignored);
  asio::co_spawn(this->Io, this->forward(Accepted, true), asio::detached);
  asio::co_spawn(this->Io, this->forward(Accepted, false), asio::detached);
}

asio::awaitable<void>
LoopbackProxy::forward(std::shared_ptr<Connection> Accepted, bool ToServer) {
  Socket &From = ToServer ? Accepted->Client : Accepted->Server;
  Socket &To = ToServer ? Accepted->Server : Accepted->Client;
  std::array<char, 16384> Buffer;
  try {
    for (;;) {
      const std::size_t Count = co_await From.async_read_some(
          asio::buffer(Buffer), asio::use_awaitable);
      co_await this->applyFault(ToServer);
      co_await asio::async_write(To, asio::buffer(Buffer.data(), Count),
                                 asio::use_awaitable);
    }
  } catch (const boost::system::system_error &) {
    // One end is closed. The other end is closed below.
  }
  co_await this->applyFault(ToServer);
  Accepted->close();
}

asio::awaitable<void> LoopbackProxy::applyFault(bool ToServer) {
  if (const auto *Delayed = std::get_if<DelayedLink>(&this->CurrentFault))
    co_await pause(Delayed->Delay);
  while (isSilent(this->CurrentFault, ToServer))
    co_await pause(PollInterval);
}

} // namespace banyanpick::soak
