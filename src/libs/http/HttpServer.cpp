#include "http/HttpServer.h"

#include "http/AddressText.h"

#include <limits>

namespace banyanpick {

namespace {

/// Delay before the next accept after a failure, such as too many open files.
constexpr milliseconds AcceptRetryDelay(50);

/// Counts an open connection until it is destroyed.
class ConnectionCounter {
public:
  explicit ConnectionCounter(std::atomic<std::uint64_t> &Count) : Count(Count) {
    ++this->Count;
  }
  ~ConnectionCounter() { --this->Count; }
  ConnectionCounter(const ConnectionCounter &) = delete;
  ConnectionCounter &operator=(const ConnectionCounter &) = delete;

private:
  std::atomic<std::uint64_t> &Count;
};

HttpAnswer readFailureAnswer(const ErrorCode &Failure) {
  if (Failure == http::error::header_limit)
    return errorAnswer(431, ErrorKind::BadInput,
                       "the header is too large; send less in headers");
  if (Failure == http::error::body_limit)
    return errorAnswer(413, ErrorKind::BadInput,
                       "the body is too large; shorten the prompt");
  if (Failure == beast::error::timeout)
    return errorAnswer(408, ErrorKind::BadInput,
                       "the request came too slowly; send it again, faster");
  return errorAnswer(400, ErrorKind::BadInput,
                     "malformed HTTP: " + Failure.message() +
                         "; send an HTTP/1.1 request");
}

/// Returns whether an error answer can still be sent after the read failure.
bool canAnswer(const ErrorCode &Failure) {
  return Failure.category() ==
             http::make_error_code(http::error::bad_method).category() &&
         Failure != http::error::end_of_stream &&
         Failure != http::error::partial_message;
}

Tcp::acceptor listenAt(net::io_context &Context, const Address &At) {
  Tcp::acceptor Result(Context);
  try {
    const Tcp::endpoint Endpoint = endpointOf(At);
    Result.open(Endpoint.protocol());
    Result.set_option(net::socket_base::reuse_address(true));
    Result.bind(Endpoint);
    Result.listen(net::socket_base::max_listen_connections);
  } catch (const boost::system::system_error &Failure) {
    throw Error(ErrorKind::Unavailable,
                "can't listen at " + text(At) + ": " + Failure.what(),
                "choose another address or end the process that uses it");
  }
  return Result;
}

} // namespace

HttpServer::HttpServer(std::span<net::io_context *const> ThreadsGiven,
                       const Address &Listen, HttpSettings ValuesGiven,
                       HttpHandler &Handler, net::ssl::context *Tls)
    : Threads(ThreadsGiven.begin(), ThreadsGiven.end()),
      Values(std::move(ValuesGiven)), Handler(Handler), Tls(Tls),
      Acceptor(listenAt(*this->Threads.front(), Listen)),
      Budget(this->Values.TotalBodyBytes) {
  net::co_spawn(this->Acceptor.get_executor(), this->acceptConnections(),
                net::detached);
}

void HttpServer::stop() {
  net::dispatch(this->Acceptor.get_executor(), [this] {
    ErrorCode Ignored;
    this->Acceptor.close(Ignored);
    this->Stopping = true;
    this->Idle.endAll();
  });
}

void HttpServer::setLimits(const CallerLimits &NewLimits) {
  if (NewLimits.HeaderBytes > 0)
    this->Values.MaxHeaderBytes = NewLimits.HeaderBytes;
  if (NewLimits.BodyBytes > 0)
    this->Values.MaxBodyBytes = NewLimits.BodyBytes;
  if (NewLimits.HeaderTimeout > Duration(0))
    this->Values.HeaderTimeout = NewLimits.HeaderTimeout;
  if (NewLimits.IdleTimeout > Duration(0))
    this->Values.IdleTimeout = NewLimits.IdleTimeout;
}

Task<void> HttpServer::acceptConnections() {
  net::steady_timer RetryTimer(this->Acceptor.get_executor());
  std::size_t Next = 0;
  while (this->Acceptor.is_open()) {
    net::io_context &Thread = *this->Threads[Next++ % this->Threads.size()];
    ErrorCode Failure;
    Tcp::socket Socket =
        co_await this->Acceptor.async_accept(Thread, into(Failure));
    if (Failure) {
      RetryTimer.expires_after(AcceptRetryDelay);
      ErrorCode Ignored;
      co_await RetryTimer.async_wait(into(Ignored));
      continue;
    }
    if (this->OpenConnections.load() >= this->Values.MaxConnections)
      continue; // The destructor of the socket closes the connection.
    net::co_spawn(
        Thread,
        this->serveConnection(makeConnection(std::move(Socket), this->Tls,
                                             this->Values.MaxHeaderBytes)),
        net::detached);
  }
}

Task<void> HttpServer::serveConnection(std::shared_ptr<Connection> Peer) {
  const ConnectionCounter Counter(this->OpenConnections);
  const ErrorCode Failure =
      co_await Peer->handshake(this->Values.HeaderTimeout);
  bool KeepServing = !Failure;
  while (KeepServing) {
    KeepServing = co_await this->waitForRequest(Peer);
    if (KeepServing)
      KeepServing = co_await this->serveOne(Peer);
  }
  co_await Peer->close(this->Values.HeaderTimeout);
}

Task<bool> HttpServer::waitForRequest(std::shared_ptr<Connection> Peer) {
  this->Idle.add(*Peer);
  // A connection that becomes idle after stop() is closed, unless the first
  // bytes of its next request were read with the previous one.
  const Duration Timeout =
      this->Stopping ? Duration(0) : this->Values.IdleTimeout;
  const ErrorCode Failure = co_await Peer->waitForRequest(Timeout);
  this->Idle.remove(*Peer);
  co_return !Failure;
}

Task<bool> HttpServer::serveOne(std::shared_ptr<Connection> Peer) {
  Connection::Parser Parser;
  Parser.header_limit(static_cast<std::uint32_t>(this->Values.MaxHeaderBytes));
  Parser.body_limit(this->Values.MaxBodyBytes);
  const ErrorCode Failure =
      co_await Peer->readHeader(Parser, this->Values.HeaderTimeout);
  if (Failure) {
    if (canAnswer(Failure))
      co_await this->refuse(*Peer, readFailureAnswer(Failure));
    co_return false;
  }
  if (Parser.chunked() && !this->Values.TakesChunkedBodies) {
    co_await this->refuse(*Peer,
                          errorAnswer(411, ErrorKind::BadInput,
                                      "the length of the body is missing; send "
                                      "Content-Length"));
    co_return false;
  }
  co_return co_await this->serveBody(Peer, Parser);
}

Task<bool> HttpServer::serveBody(std::shared_ptr<Connection> Peer,
                                 Connection::Parser &Parser) {
  // A chunked body counts with the maximum size until its size is known.
  const auto Length = Parser.content_length();
  const std::uint64_t Expected =
      Parser.chunked() ? this->Values.MaxBodyBytes : (Length ? *Length : 0);
  BodyBudget::Reservation Reservation = this->Budget.reserve(Expected);
  if (!Reservation) {
    co_await this->refuse(
        *Peer, errorAnswer(503, ErrorKind::Unavailable,
                           "too many requests are being read; try again in a "
                           "second or use another host"));
    co_return false;
  }
  if (!co_await this->readBody(Peer, Parser))
    co_return false;
  if (Parser.chunked()) {
    Reservation = BodyBudget::Reservation();
    Reservation = this->Budget.reserve(Parser.get().body().size());
  }
  co_return co_await this->serveRequest(Peer, Parser.release());
}

Task<bool> HttpServer::readBody(std::shared_ptr<Connection> Peer,
                                Connection::Parser &Parser) {
  const auto Expect = Parser.get()[http::field::expect];
  if (beast::iequals(Expect, "100-continue") && !Parser.is_done()) {
    Connection::Header Continue(http::status::continue_, 11);
    const ErrorCode Ignored =
        co_await Peer->writeHeader(Continue, this->Values.WriteTimeout);
    if (Ignored)
      co_return false;
  }
  const ErrorCode Failure =
      co_await Peer->readBody(Parser, this->Values.BodyTimeout);
  if (Failure && canAnswer(Failure))
    co_await this->refuse(*Peer, readFailureAnswer(Failure));
  co_return !Failure;
}

Task<bool> HttpServer::serveRequest(std::shared_ptr<Connection> Peer,
                                    HttpExchange::Request Req) {
  HttpAnswer Refusal;
  try {
    const std::string_view Text(Req.target().data(), Req.target().size());
    HttpTarget Target = parseTarget(Text);
    HttpExchange Exchange(Peer, std::move(Req), std::move(Target),
                          this->Values);
    try {
      co_await this->Handler.serve(Exchange);
    } catch (const Error &Thrown) {
      Refusal = errorAnswer(Thrown);
    }
    if (!Exchange.isAnswered() && !Refusal.Body.empty())
      co_await Exchange.respond(std::move(Refusal));
    co_return Exchange.isAnswered() && Exchange.keepsAlive();
  } catch (const Error &Thrown) {
    Refusal = errorAnswer(Thrown);
  } catch (const std::exception &Thrown) {
    Refusal = errorAnswer(500, ErrorKind::Internal,
                          "the request can't be served; report it");
  }
  co_await this->refuse(*Peer, std::move(Refusal));
  co_return false;
}

Task<void> HttpServer::refuse(Connection &Peer, HttpAnswer Content) {
  constexpr unsigned Http11 = 11;
  Connection::Answer Answer(static_cast<http::status>(Content.Status), Http11);
  Answer.set(http::field::content_type, Content.ContentType);
  Answer.keep_alive(false);
  Answer.body() = std::move(Content.Body);
  Answer.prepare_payload();
  const ErrorCode Ignored =
      co_await Peer.writeAnswer(Answer, this->Values.WriteTimeout);
  static_cast<void>(Ignored);
}

} // namespace banyanpick
