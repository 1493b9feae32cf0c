/// \file
/// Guards against callers and engines that are slow and fill the memory of a
/// host with bytes that they do not take.
#include "auto/relay/FakeEngineProtocol.h"
#include "relay/EngineRun.h"

#include <array>
#include <gtest/gtest.h>
#include <limits>
#include <optional>

namespace banyanpick {
namespace {

constexpr std::size_t EventBytes = 4096;
constexpr std::size_t ReadBytes = 8192;

/// A caller's connection. It takes a limited number of chunks; the next write
/// ends only when the connection is aborted.
class SlowConnection : public Connection {
public:
  SlowConnection(const net::any_io_executor &Executor, std::size_t MaxChunks)
      : Executor(Executor), MaxChunks(MaxChunks), Aborted(Executor) {
    this->Aborted.expires_at(net::steady_timer::time_point::max());
  }

  Task<ErrorCode> handshake(Duration) override { co_return ErrorCode(); }
  Task<ErrorCode> waitForRequest(Duration) override { co_return ErrorCode(); }
  Task<ErrorCode> readHeader(Parser &, Duration) override {
    co_return ErrorCode();
  }
  Task<ErrorCode> readBody(Parser &, Duration) override {
    co_return ErrorCode();
  }
  Task<ErrorCode> writeAnswer(Answer &, Duration) override {
    co_return ErrorCode();
  }
  Task<ErrorCode> writeHeader(Header &, Duration) override {
    co_return ErrorCode();
  }
  Task<ErrorCode> writeChunk(std::string_view Text, Duration) override {
    this->LargestChunk = std::max(this->LargestChunk, Text.size());
    if (++this->Chunks <= this->MaxChunks)
      co_return ErrorCode();
    ErrorCode Ignored;
    co_await this->Aborted.async_wait(into(Ignored));
    co_return net::error::operation_aborted;
  }
  Task<bool> waitForDisconnect() override { co_return false; }
  void stopWatching() override {}
  Task<void> close(Duration) override { co_return; }
  void abort() override { this->Aborted.cancel(); }
  net::any_io_executor executor() override { return this->Executor; }

  std::size_t Chunks = 0;
  std::size_t LargestChunk = 0;

private:
  net::any_io_executor Executor;
  std::size_t MaxChunks;
  net::steady_timer Aborted;
};

/// An engine that writes a stream of events, without a length, as fast as it is
/// read, and a host that relays it. The stream is endless by default; otherwise
/// the engine closes the connection after \p MaxEvents.
class EndlessStream {
public:
  explicit EndlessStream(
      std::size_t MaxChunks, std::string Event,
      std::size_t MaxEvents = std::numeric_limits<std::size_t>::max())
      : Listener(this->Io, {net::ip::address_v4::loopback(), 0}),
        Pool(this->Io.get_executor(), seconds(3), 4),
        Peer(std::make_shared<SlowConnection>(this->Io.get_executor(),
                                              MaxChunks)),
        Exchange(this->Peer, HttpExchange::Request(http::verb::post, "/x", 11),
                 HttpTarget(), this->Values),
        Caller(std::make_shared<CallerSide>(this->Exchange, RequestId(1))),
        Event(std::move(Event)), MaxEvents(MaxEvents) {
    this->Limits.ConnectTimeout = seconds(1);
    this->Limits.WholeAnswerBytes = 1024;
    this->Limits.EventBytes = EventBytes;
    DispatchRelay Order;
    Order.Engine = UpstreamId("e1");
    Order.At = {"127.0.0.1", this->Listener.local_endpoint().port()};
    Order.Stream = true;
    this->Run = std::make_shared<EngineRun>(this->Io.get_executor(), Order,
                                            this->Caller, this->Pool,
                                            this->Protocol, this->Limits);
    net::co_spawn(this->Io, this->serve(), net::detached);
    net::co_spawn(this->Io, this->relay(), net::detached);
  }

  void runFor(Duration For) {
    this->Io.restart();
    this->Io.run_for(For);
  }

  net::io_context Io;
  Tcp::acceptor Listener;
  EngineLinkPool Pool;
  HttpSettings Values;
  std::shared_ptr<SlowConnection> Peer;
  HttpExchange Exchange;
  std::shared_ptr<CallerSide> Caller;
  FakeEngineProtocol Protocol;
  EngineRunLimits Limits;
  std::shared_ptr<EngineRun> Run;
  std::optional<RelayOutcome> Outcome;
  std::size_t Written = 0; ///< By the engine, into its socket.

private:
  Task<void> relay() {
    EngineRunListener Callbacks;
    Callbacks.OnSignals = [](const AnswerSignals &) {};
    Callbacks.OnFirstEvent = [] {};
    Callbacks.MaySend = [] { return true; };
    this->Outcome = co_await this->Run->run(seconds(10), Callbacks);
  }
  Task<void> serve() {
    Tcp::socket Socket =
        co_await this->Listener.async_accept(net::use_awaitable);
    const std::string Head = "HTTP/1.1 200 OK\r\n"
                             "Content-Type: text/event-stream\r\n\r\n";
    ErrorCode Failure;
    // Bytes that were not read would turn the end of the connection into a
    // reset.
    std::array<char, ReadBytes> Request{};
    co_await Socket.async_read_some(net::buffer(Request), into(Failure));
    co_await net::async_write(Socket, net::buffer(Head), into(Failure));
    for (std::size_t Count = 0; !Failure && Count < this->MaxEvents; ++Count) {
      co_await net::async_write(Socket, net::buffer(this->Event),
                                into(Failure));
      this->Written += this->Event.size();
    }
  }

  std::string Event;
  std::size_t MaxEvents;
};

TEST(SlowPeers, AHostReadsNoFurtherThanItsCallerTakes) {
  EndlessStream Stream(3, "data: " + std::string(500, 'x') + "\n\n");
  Stream.runFor(milliseconds(300));
  EXPECT_EQ(Stream.Peer->Chunks, 4U);
  EXPECT_LE(Stream.Peer->LargestChunk, ReadBytes + EventBytes);
  const std::size_t Written = Stream.Written;
  Stream.runFor(milliseconds(300));
  EXPECT_EQ(Stream.Written, Written) << "the engine must wait for the caller";
  Stream.Caller->abort();
  Stream.runFor(milliseconds(300));
  EXPECT_TRUE(Stream.Outcome.has_value()) << "the abort frees the attempt";
}

TEST(SlowPeers, AnEventWithoutAnEndIsNotBuffered) {
  EndlessStream Stream(3, "data: " + std::string(5000, 'x'));
  Stream.runFor(milliseconds(300));
  ASSERT_TRUE(Stream.Outcome.has_value());
  ASSERT_TRUE(std::holds_alternative<RelayBroken>(*Stream.Outcome));
  EXPECT_EQ(std::get<RelayBroken>(*Stream.Outcome).Reason,
            RelayBroken::Why::Corrupt);
  EXPECT_EQ(Stream.Peer->Chunks, 0U);
}

/// Guards against streams that are called complete although their engine died.
/// Without a length, only the end of the connection ends them.
TEST(EndOfStream, WithinAnEventIsALostConnection) {
  EndlessStream Stream(3, "id: 1\ndata: x\n\nid: 2\nda", 1);
  Stream.runFor(milliseconds(300));
  ASSERT_TRUE(Stream.Outcome.has_value());
  const auto *Broken = std::get_if<RelayBroken>(&*Stream.Outcome);
  ASSERT_NE(Broken, nullptr);
  EXPECT_EQ(Broken->Reason, RelayBroken::Why::Reset);
  EXPECT_TRUE(Broken->Began);
}

TEST(EndOfStream, BeforeTheFirstEventIsALostConnection) {
  EndlessStream Stream(3, "", 0);
  Stream.runFor(milliseconds(300));
  ASSERT_TRUE(Stream.Outcome.has_value());
  const auto *Broken = std::get_if<RelayBroken>(&*Stream.Outcome);
  ASSERT_NE(Broken, nullptr);
  EXPECT_EQ(Broken->Reason, RelayBroken::Why::Reset);
  EXPECT_FALSE(Broken->Began);
}

TEST(EndOfStream, AfterAnEventIsCompleteButNoSignOfLife) {
  EndlessStream Stream(3, "id: 1\ndata: x\n\n", 1);
  Stream.runFor(milliseconds(300));
  ASSERT_TRUE(Stream.Outcome.has_value());
  const auto *Delivered = std::get_if<RelayDelivered>(&*Stream.Outcome);
  ASSERT_NE(Delivered, nullptr);
  EXPECT_EQ(Delivered->End, RelayDelivered::Ending::Connection);
}

} // namespace
} // namespace banyanpick
