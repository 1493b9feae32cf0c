#include "http/HttpClient.h"

#include "http/AddressText.h"
#include "http/AnswerReader.h"
#include "http/SocketOptions.h"

#include <array>

namespace banyanpick {

namespace {

/// Maximum number of idle connections kept for one address.
constexpr std::size_t MaxIdlePerAddress = 4;

/// Returns whether the peer has neither closed the connection nor sent data.
bool isIdle(Tcp::socket &Socket) {
  ErrorCode Failure;
  std::array<char, 1> Byte{};
  Socket.non_blocking(true, Failure);
  Socket.receive(net::buffer(Byte), Tcp::socket::message_peek, Failure);
  return Failure == net::error::would_block;
}

} // namespace

http::request<http::string_body> beastRequest(ClientRequest ClientReq,
                                              const std::string &Host) {
  constexpr unsigned Http11 = 11;
  http::request<http::string_body> Result(ClientReq.Method,
                                          beastText(ClientReq.Target), Http11);
  Result.set(http::field::host, Host);
  for (const auto &[Name, Value] : ClientReq.Headers)
    Result.set(beastText(Name), beastText(Value));
  Result.body() = std::move(ClientReq.Body);
  Result.prepare_payload();
  return Result;
}

Task<ClientResult> HttpClient::call(Address At, ClientRequest ClientReq,
                                    Duration Timeout, Reuse Connections) {
  Stream Reused =
      Connections == Reuse::Yes ? this->takeIdle(At) : Stream(nullptr);
  const bool MayRetry = Reused && ClientReq.Method == http::verb::get;
  ClientResult Result =
      co_await this->callOnce(At, ClientReq, Timeout, std::move(Reused));
  if (MayRetry && std::holds_alternative<ClientFailure>(Result))
    Result = co_await this->callOnce(At, ClientReq, Timeout, nullptr);
  co_return Result;
}

Task<ClientResult> HttpClient::callOnce(const Address &At,
                                        const ClientRequest &ClientReq,
                                        Duration Timeout, Stream Reused) {
  if (Reused) {
    Reused->expires_after(Timeout);
    co_return co_await this->exchange(At, ClientReq, std::move(Reused));
  }
  auto Link = std::make_unique<beast::tcp_stream>(this->Executor);
  Link->expires_after(Timeout);
  ErrorCode Failure;
  co_await Link->async_connect(endpointOf(At), into(Failure));
  if (Failure)
    co_return failureOfConnect(Failure);
  tuneServerConnection(Link->socket());
  co_return co_await this->exchange(At, ClientReq, std::move(Link));
}

Task<ClientResult> HttpClient::exchange(const Address &At,
                                        const ClientRequest &ClientReq,
                                        Stream Link) {
  ErrorCode Failure;
  const auto Request = beastRequest(ClientReq, text(At));
  co_await http::async_write(*Link, Request, into(Failure));
  if (Failure)
    co_return failureAfterSending(Failure);
  AnswerReader<http::string_body> Reader(this->MaxAnswerBytes);
  AnswerBuffer Buffer;
  Failure = co_await Reader.readWhole(*Link, Buffer);
  if (Failure)
    co_return failureAfterSending(Failure);
  auto &Parser = Reader.parser();
  ClientAnswer Answer;
  Answer.Status = Parser.get().result_int();
  Answer.Body = std::move(Parser.get().body());
  Answer.Head = std::move(Parser.get().base());
  if (Parser.keep_alive())
    this->keep(At, std::move(Link));
  co_return Answer;
}

HttpClient::Stream HttpClient::takeIdle(const Address &At) {
  const auto Found = this->Idle.find(At);
  if (Found == this->Idle.end())
    return nullptr;
  Stream Result;
  while (!Result && !Found->second.empty()) {
    if (isIdle(Found->second.back()->socket()))
      Result = std::move(Found->second.back());
    Found->second.pop_back();
  }
  if (Found->second.empty())
    this->Idle.erase(Found);
  return Result;
}

void HttpClient::keep(const Address &At, Stream Link) {
  auto &IdleStreams = this->Idle[At];
  if (IdleStreams.size() < MaxIdlePerAddress)
    IdleStreams.push_back(std::move(Link));
}

} // namespace banyanpick
