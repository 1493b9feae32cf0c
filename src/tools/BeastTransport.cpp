#include "tools/BeastTransport.h"

#include "base/Error.h"
#include "http/AnswerReader.h"

#include <boost/asio/ssl.hpp>
#include <boost/beast/ssl.hpp>
#include <exception>
#include <thread>

namespace banyanpick::tools {

namespace {

using TlsStream = beast::ssl_stream<beast::tcp_stream>;

/// Limit of a response body. A catalogue of 36,000 teams is far smaller.
constexpr std::uint64_t MaxResponseBytes = 256ULL * 1024 * 1024;

http::verb verbOf(HostRequest::Method Verb) {
  switch (Verb) {
  case HostRequest::Method::Get:
    return http::verb::get;
  case HostRequest::Method::Post:
    return http::verb::post;
  case HostRequest::Method::Delete:
    return http::verb::delete_;
  }
  return http::verb::get;
}

http::request<http::string_body> requestFor(const Address &Host,
                                            const HostRequest &Req) {
  constexpr unsigned Http11 = 11;
  http::request<http::string_body> Result(verbOf(Req.Verb), Req.Target, Http11);
  Result.set(http::field::host, Host.Ip + ":" + std::to_string(Host.Port));
  Result.set(http::field::connection, "close");
  if (!Req.Key.empty())
    Result.set(http::field::authorization, "Bearer " + Req.Key);
  if (!Req.Body.empty())
    Result.set(http::field::content_type, "application/json");
  Result.body() = Req.Body;
  Result.prepare_payload();
  return Result;
}

/// One HTTP request with its response. Beast's timeouts work only with
/// asynchronous operations, so each operation is asynchronous and is run to
/// completion before the next one starts.
template <class Stream> class Exchange {
public:
  Exchange(net::io_context &IoContext, Stream &Connection)
      : IoContext(IoContext), Connection(Connection) {}

  HostReply run(const Address &Host, const HostRequest &Req) {
    if (!this->connect(Host) || !this->handshake())
      return this->failedReply(HostReply::ReplyState::NotSent);
    const auto HttpRequest = requestFor(Host, Req);
    this->runOperation([&](auto Handler) {
      http::async_write(this->Connection, HttpRequest, Handler);
    });
    if (this->Failure)
      return this->failedReply(HostReply::ReplyState::Lost);
    AnswerBuffer Buffer;
    AnswerReader<http::string_body> Reader(MaxResponseBytes);
    this->runTask(Reader.readWhole(this->Connection, Buffer));
    if (this->Failure)
      return this->failedReply(HostReply::ReplyState::Lost);
    HostReply Result;
    Result.State = HostReply::ReplyState::Complete;
    Result.Status = Reader.parser().get().result_int();
    Result.Body = std::move(Reader.parser().get().body());
    return Result;
  }

private:
  void runTask(Task<ErrorCode> Work) {
    std::exception_ptr Thrown;
    net::co_spawn(this->IoContext, std::move(Work),
                  [&](std::exception_ptr Exception, ErrorCode Result) {
                    Thrown = std::move(Exception);
                    this->Failure = Result;
                  });
    this->IoContext.restart();
    this->IoContext.run();
    if (Thrown)
      std::rethrow_exception(Thrown);
  }

  template <class Start> void runOperation(Start &&StartOperation) {
    StartOperation(
        [this](ErrorCode Result, auto &&...) { this->Failure = Result; });
    this->IoContext.restart();
    this->IoContext.run();
  }

  bool connect(const Address &Host) {
    ErrorCode Malformed;
    const auto Ip = net::ip::make_address(Host.Ip, Malformed);
    if (Malformed) {
      this->Failure = Malformed;
      return false;
    }
    this->runOperation([&](auto Handler) {
      beast::get_lowest_layer(this->Connection)
          .async_connect(Tcp::endpoint(Ip, Host.Port), Handler);
    });
    return !this->Failure;
  }

  bool handshake() {
    if constexpr (std::is_same_v<Stream, TlsStream>)
      this->runOperation([&](auto Handler) {
        this->Connection.async_handshake(net::ssl::stream_base::client,
                                         Handler);
      });
    return !this->Failure;
  }

  HostReply failedReply(HostReply::ReplyState State) const {
    HostReply Result;
    Result.State = State;
    Result.Problem = this->Failure.message();
    return Result;
  }

  net::io_context &IoContext;
  Stream &Connection;
  ErrorCode Failure;
};

} // namespace

struct BeastTransport::TlsContext {
  net::ssl::context Context{net::ssl::context::tls_client};
};

BeastTransport::BeastTransport(const std::string &CertificatesFile) {
  if (CertificatesFile.empty())
    return;
  this->Tls = std::make_unique<TlsContext>();
  ErrorCode Failure;
  this->Tls->Context.load_verify_file(CertificatesFile, Failure);
  if (Failure)
    throw Error(ErrorKind::BadInput,
                "cannot read certificates from " + CertificatesFile,
                "give a file in PEM format");
  this->Tls->Context.set_verify_mode(net::ssl::verify_peer);
}

BeastTransport::~BeastTransport() = default;

HostReply BeastTransport::ask(const Address &Host, const HostRequest &Req,
                              Duration Timeout) {
  net::io_context IoContext;
  if (!this->Tls) {
    beast::tcp_stream Stream(IoContext);
    Stream.expires_after(Timeout);
    return Exchange<beast::tcp_stream>(IoContext, Stream).run(Host, Req);
  }
  TlsStream Stream(IoContext, this->Tls->Context);
  Stream.set_verify_callback(net::ssl::host_name_verification(Host.Ip));
  beast::get_lowest_layer(Stream).expires_after(Timeout);
  return Exchange<TlsStream>(IoContext, Stream).run(Host, Req);
}

Time SystemClock::now() {
  return Time(std::chrono::duration_cast<Duration>(
      std::chrono::system_clock::now().time_since_epoch()));
}

void SystemClock::sleep(Duration Length) {
  std::this_thread::sleep_for(Length);
}

} // namespace banyanpick::tools
