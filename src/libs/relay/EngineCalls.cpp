#include "relay/EngineCalls.h"

#include "http/AddressText.h"
#include "http/SocketOptions.h"
#include "relay/HopHeaders.h"

namespace banyanpick {

Task<ClientResult> EngineCalls::call(UpstreamId Engine, Address At,
                                     ClientRequest Wanted, Duration Timeout,
                                     HttpClient::Reuse Connections) {
  std::shared_ptr<EngineLink> Idle;
  if (Connections == HttpClient::Reuse::Yes)
    Idle = this->Pool.takeIdle(Engine);
  const bool MayRetry = Idle && Wanted.Method == http::verb::get;
  ClientResult Result =
      co_await this->exchange(Engine, At, Wanted, Timeout, std::move(Idle));
  if (MayRetry && std::holds_alternative<ClientFailure>(Result))
    Result = co_await this->exchange(Engine, At, Wanted, Timeout, nullptr);
  co_return Result;
}

Task<ClientResult> EngineCalls::exchange(const UpstreamId &Engine,
                                         const Address &At,
                                         const ClientRequest &Wanted,
                                         Duration Timeout,
                                         std::shared_ptr<EngineLink> Link) {
  const bool IsNew = !Link;
  if (IsNew)
    Link = this->Pool.create();
  net::steady_timer Timer(Link->Socket.get_executor(), Timeout);
  Timer.async_wait([Link](const ErrorCode &Cancelled) {
    ErrorCode Ignored;
    if (!Cancelled)
      Link->Socket.close(Ignored);
  });
  ErrorCode Failure;
  if (IsNew) {
    co_await Link->Socket.async_connect(endpointOf(At), into(Failure));
    if (Failure)
      co_return failureOfConnect(Failure);
    tuneServerConnection(Link->Socket);
  }
  const auto Request = beastRequest(Wanted, text(At));
  co_await http::async_write(Link->Socket, Request, into(Failure));
  if (Failure)
    co_return failureAfterSending(Failure);
  AnswerReader<http::string_body> Reader(this->MaxAnswerBytes);
  Failure = co_await Reader.readWhole(Link->Socket, Link->Buffer);
  if (Failure)
    co_return failureAfterSending(Failure);
  auto &Parser = Reader.parser();
  Timer.cancel();
  ClientAnswer Answer;
  Answer.Status = Parser.get().result_int();
  Answer.Body = std::move(Parser.get().body());
  Answer.Head = Parser.get().base();
  if (Parser.keep_alive() && Link->Socket.is_open() && Link->Buffer.size() == 0)
    this->Pool.keep(Engine, std::move(Link), keepAliveTimeout(Answer.Head));
  co_return Answer;
}

} // namespace banyanpick
