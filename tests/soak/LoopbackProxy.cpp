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

/// How often a silent direction looks whether the fault is over.
constexpr milliseconds LookAgain(10);

bool isSilent(const LinkFault &Fault, bool ToServer) {
  const auto *Silent = std::get_if<SilentLink>(&Fault);
  return Silent && (ToServer ? Silent->ToServer : Silent->ToClient);
}

asio::awaitable<void> pause(Duration Length) {
  asio::steady_timer Timer(co_await asio::this_coro::executor, Length);
  co_await Timer.async_wait(asio::use_awaitable);
}

} // namespace

void LoopbackProxy::Pipe::close() {
  boost::system::error_code Ignored;
  this->Client.close(Ignored);
  this->Server.close(Ignored);
}

void LoopbackProxy::Pipe::reset() {
  boost::system::error_code Ignored;
  // A close with no time to linger sends a reset.
  this->Client.set_option(asio::socket_base::linger(true, 0), Ignored);
  this->Server.set_option(asio::socket_base::linger(true, 0), Ignored);
  this->close();
}

LoopbackProxy::LoopbackProxy(const std::string &Listen,
                             const std::string &Target)
    : Address(Listen), Target(standins::parseEndpoint(Target)),
      Acceptor(this->Io, standins::parseEndpoint(Listen)) {
  asio::co_spawn(this->Io, this->acceptAll(), asio::detached);
  this->Runner = std::thread([this] { this->Io.run(); });
}

LoopbackProxy::~LoopbackProxy() {
  this->Io.stop();
  this->Runner.join();
}

void LoopbackProxy::setFault(const LinkFault &Fault) {
  asio::post(this->Io, [this, Fault] {
    this->Now = Fault;
    if (!std::holds_alternative<ResettingLink>(Fault))
      return;
    for (const std::weak_ptr<Pipe> &Each : this->Open)
      if (const auto Living = Each.lock())
        Living->reset();
  });
}

asio::awaitable<void> LoopbackProxy::acceptAll() {
  for (;;) {
    auto Each =
        std::make_shared<Pipe>(Pipe{Socket(this->Io), Socket(this->Io)});
    co_await this->Acceptor.async_accept(Each->Client, asio::use_awaitable);
    std::erase_if(this->Open, [](const auto &Old) { return Old.expired(); });
    this->Open.push_back(Each);
    asio::co_spawn(this->Io, this->connect(Each), asio::detached);
  }
}

asio::awaitable<void> LoopbackProxy::connect(std::shared_ptr<Pipe> Each) {
  if (std::holds_alternative<ResettingLink>(this->Now)) {
    Each->reset();
    co_return;
  }
  try {
    co_await Each->Server.async_connect(this->Target, asio::use_awaitable);
  } catch (const boost::system::system_error &) {
    // Nobody listens there; the client shall see the same.
    Each->reset();
    co_return;
  }
  boost::system::error_code Ignored;
  Each->Client.set_option(asio::ip::tcp::no_delay(true), Ignored);
  Each->Server.set_option(asio::ip::tcp::no_delay(true), Ignored);
  asio::co_spawn(this->Io, this->carry(Each, true), asio::detached);
  asio::co_spawn(this->Io, this->carry(Each, false), asio::detached);
}

asio::awaitable<void> LoopbackProxy::carry(std::shared_ptr<Pipe> Each,
                                           bool ToServer) {
  Socket &From = ToServer ? Each->Client : Each->Server;
  Socket &To = ToServer ? Each->Server : Each->Client;
  std::array<char, 16384> Buffer;
  try {
    for (;;) {
      const std::size_t Count = co_await From.async_read_some(
          asio::buffer(Buffer), asio::use_awaitable);
      co_await this->holdBack(ToServer);
      co_await asio::async_write(To, asio::buffer(Buffer.data(), Count),
                                 asio::use_awaitable);
    }
  } catch (const boost::system::system_error &) {
    // Either end is gone; the other hears of it below.
  }
  co_await this->holdBack(ToServer);
  Each->close();
}

asio::awaitable<void> LoopbackProxy::holdBack(bool ToServer) {
  if (const auto *Delayed = std::get_if<DelayedLink>(&this->Now))
    co_await pause(Delayed->Delay);
  while (isSilent(this->Now, ToServer))
    co_await pause(LookAgain);
}

} // namespace banyanpick::soak
