#include "http/ClientStream.h"

#include "http/AddressText.h"
#include "http/SocketOptions.h"

namespace banyanpick {

Task<std::optional<ClientFailure>> ClientStream::open(Address At,
                                                      ClientRequest ClientReq,
                                                      Duration ConnectTimeout,
                                                      Duration Timeout) {
  if (this->Cancelled)
    co_return ClientFailure::NotConnected;
  this->Link.expires_after(ConnectTimeout);
  ErrorCode Failure;
  co_await this->Link.async_connect(endpointOf(At), into(Failure));
  if (Failure)
    co_return failureOfConnect(Failure);
  if (this->Cancelled)
    co_return ClientFailure::NotConnected;
  tuneServerConnection(this->Link.socket());
  this->Link.expires_after(Timeout);
  {
    const auto Request = beastRequest(std::move(ClientReq), text(At));
    co_await http::async_write(this->Link, Request, into(Failure));
  }
  if (Failure)
    co_return failureAfterSending(Failure);
  Failure = co_await this->Reader.readHead(this->Link, this->Buffer);
  if (Failure)
    co_return failureAfterSending(Failure);
  co_return std::nullopt;
}

Task<std::pair<std::string, bool>>
ClientStream::readRest(std::size_t MaxBytes) {
  std::string Result;
  while (!this->Reader.parser().is_done() && !this->WasAborted) {
    Result += co_await this->readBodyPart();
    if (Result.size() > MaxBytes)
      co_return std::pair(std::move(Result), false);
  }
  co_return std::pair(std::move(Result), !this->WasAborted);
}

Task<ClientStream::ReadState>
ClientStream::readEvents(std::vector<ServerEvent> &Out) {
  const std::size_t Before = Out.size();
  while (!this->Reader.parser().is_done() && !this->WasAborted &&
         Out.size() == Before) {
    const std::string_view Bytes = co_await this->readBodyPart();
    this->Events.feed(Bytes, Out);
  }
  if (Out.size() != Before)
    co_return ReadState::Open;
  co_return this->WasAborted ? ReadState::Aborted : ReadState::Ended;
}

void ClientStream::cancel() {
  this->Cancelled = true;
  this->Link.close();
}

Task<std::string_view> ClientStream::readBodyPart() {
  auto &Parser = this->Reader.parser();
  auto &Body = Parser.get().body();
  Body.data = this->ReadBuffer.data();
  Body.size = this->ReadBuffer.size();
  ErrorCode Failure;
  co_await http::async_read_some(this->Link, this->Buffer, Parser,
                                 into(Failure));
  if (Failure == http::error::need_buffer)
    Failure = {};
  if (Failure) {
    this->WasAborted = true;
    this->AbortReason = failureAfterSending(Failure);
  }
  co_return std::string_view(this->ReadBuffer.data(),
                             this->ReadBuffer.size() - Body.size);
}

} // namespace banyanpick
