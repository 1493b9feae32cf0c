/// \file
/// HTTP calls with whole answers, over connections that are kept.
#pragma once

#include "base/Time.h"
#include "http/ClientRequest.h"
#include "kernel/Upstream.h"

#include <map>
#include <memory>
#include <variant>

namespace banyanpick {

using ClientResult = std::variant<ClientAnswer, ClientFailure>;

/// Used on one thread, that of its executor.
class HttpClient {
public:
  /// Answers larger than \p MaxAnswerBytes are failures.
  HttpClient(const net::any_io_executor &Executor, std::size_t MaxAnswerBytes)
      : Executor(Executor), MaxAnswerBytes(MaxAnswerBytes) {}

  /// Whether a call may go over a kept connection. The peer may have closed
  /// that meanwhile, so bytes may be handed to it in vain; a GET is then sent
  /// once more.
  enum class Reuse { No, Yes };

  /// Connects, sends and reads within \p Timeout.
  Task<ClientResult> call(Address At, ClientRequest ClientReq, Duration Timeout,
                          Reuse Connections = Reuse::Yes);

private:
  using Stream = std::unique_ptr<beast::tcp_stream>;

  Task<ClientResult> callOnce(const Address &At, const ClientRequest &ClientReq,
                              Duration Timeout, Stream Reused);
  Task<ClientResult> exchange(const Address &At, const ClientRequest &ClientReq,
                              Stream Link);
  Stream takeIdle(const Address &At);
  void keep(const Address &At, Stream Link);

  net::any_io_executor Executor;
  std::size_t MaxAnswerBytes;
  std::map<Address, std::vector<Stream>> Idle;
};

} // namespace banyanpick
