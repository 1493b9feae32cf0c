#include "standins/HttpClient.h"

#include "standins/HttpServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace banyanpick::standins {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr unsigned HttpVersion = 11;
constexpr std::uint64_t MaxBodyBytes = 64ULL * 1024 * 1024;

} // namespace

/// One connection with a timeout for each step.
class KeptConnection::Connection {
public:
  explicit Connection(Duration Timeout) : Timeout(Timeout) {}

  beast::error_code connect(const std::string &Address) {
    const auto Endpoint = parseEndpoint(Address);
    return this->step([&](auto Done) {
      this->Stream.async_connect(Endpoint, std::move(Done));
    });
  }

  beast::error_code send(const OutgoingRequest &Req, const std::string &Address,
                         bool KeepAlive) {
    http::request<http::string_body> Request(Req.Method, Req.Target,
                                             HttpVersion);
    Request.set(http::field::host, Address);
    Request.keep_alive(KeepAlive);
    for (const HttpHeader &Header : Req.Headers)
      Request.set(Header.Name, Header.Value);
    Request.body() = Req.Body;
    Request.prepare_payload();
    return this->step([&](auto Done) {
      http::async_write(this->Stream, Request, std::move(Done));
    });
  }

  /// Reads the reply part by part into \p Reply.
  beast::error_code receive(HttpReply &Reply, const PartHandler &OnPart) {
    http::response_parser<http::string_body> Parser;
    Parser.eager(true);
    Parser.body_limit(MaxBodyBytes);
    beast::error_code Failure;
    while (!Failure && !Parser.is_done()) {
      Failure = this->step([&](auto Done) {
        http::async_read_some(this->Stream, this->Buffer, Parser,
                              std::move(Done));
      });
      if (!Parser.is_header_done())
        continue;
      Reply.Status = Parser.get().result_int();
      const std::string &Body = Parser.get().body();
      if (OnPart && Body.size() > Reply.Body.size())
        OnPart(std::string_view(Body).substr(Reply.Body.size()));
      Reply.Body.append(Body, Reply.Body.size());
    }
    this->IsKept = Parser.is_done() && Parser.keep_alive();
    return Parser.is_done() ? beast::error_code() : Failure;
  }

  /// Sends one request and receives its reply.
  HttpReply exchange(const OutgoingRequest &Req, const std::string &Address,
                     bool KeepAlive, const PartHandler &OnPart) {
    HttpReply Reply;
    Reply.Ended = HttpReply::End::Broken;
    // A server that refuses early may stop reading. Its reply is still read.
    const beast::error_code SendFailure = this->send(Req, Address, KeepAlive);
    const beast::error_code ReceiveFailure = this->receive(Reply, OnPart);
    const bool Answered =
        !ReceiveFailure && (!SendFailure || Reply.Status != 0);
    if (Answered)
      Reply.Ended = HttpReply::End::Complete;
    return Reply;
  }

  /// Whether the connection can be used for another request.
  bool isKept() const { return this->IsKept; }

private:
  /// Runs one asynchronous step until it ends or times out.
  template <class Begin> beast::error_code step(Begin Start) {
    beast::error_code Result;
    this->Stream.expires_after(this->Timeout);
    Start(
        [&Result](beast::error_code Failure, auto &&...) { Result = Failure; });
    this->Io.restart();
    this->Io.run();
    return Result;
  }

  Duration Timeout;
  asio::io_context Io;
  beast::tcp_stream Stream{this->Io};
  beast::flat_buffer Buffer;
  bool IsKept = false;
};

KeptConnection::KeptConnection(std::string AddressGiven, Duration Timeout)
    : Address(std::move(AddressGiven)), Timeout(Timeout) {}

KeptConnection::~KeptConnection() = default;

HttpReply KeptConnection::exchange(const OutgoingRequest &Req) {
  if (!this->Link) {
    this->Link = std::make_unique<Connection>(this->Timeout);
    if (this->Link->connect(this->Address)) {
      this->Link.reset();
      return {};
    }
  }
  HttpReply Reply = this->Link->exchange(Req, this->Address, true, {});
  if (!this->Link->isKept())
    this->Link.reset();
  return Reply;
}

nlohmann::json HttpReply::parsed() const {
  return nlohmann::json::parse(this->Body, nullptr, false);
}

HttpReply sendHttpRequest(const std::string &Address,
                          const OutgoingRequest &Req, Duration Timeout,
                          const PartHandler &OnPart) {
  KeptConnection::Connection Link(Timeout);
  if (Link.connect(Address))
    return {};
  return Link.exchange(Req, Address, false, OnPart);
}

void EventReader::addPart(std::string_view Part) {
  this->Pending += Part;
  for (;;) {
    const std::size_t End = this->Pending.find("\n\n");
    if (End == std::string::npos)
      return;
    ServerEvent Event;
    std::string_view Lines = std::string_view(this->Pending).substr(0, End);
    while (!Lines.empty()) {
      const std::string_view Line = Lines.substr(0, Lines.find('\n'));
      Lines.remove_prefix(std::min(Line.size() + 1, Lines.size()));
      const std::size_t Colon = Line.find(": ");
      if (Colon == std::string_view::npos)
        continue;
      if (Line.substr(0, Colon) == "event")
        Event.Name = Line.substr(Colon + 2);
      if (Line.substr(0, Colon) == "data")
        Event.Data =
            nlohmann::json::parse(Line.substr(Colon + 2), nullptr, false);
    }
    this->Pending.erase(0, End + 2);
    this->OnEvent(Event);
  }
}

} // namespace banyanpick::standins
