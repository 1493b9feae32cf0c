/// \file
/// HTTP client for complete answers, with connection reuse.
#pragma once

#include "base/Time.h"
#include "http/ClientRequest.h"
#include "kernel/Upstream.h"

#include <map>
#include <memory>
#include <variant>

namespace banyanpick {

using ClientResult = std::variant<ClientAnswer, ClientFailure>;

/// Sends requests and reads complete answers. Used on the executor's thread
/// only.
class HttpClient {
public:
  /// A call fails if the answer is larger than \p MaxAnswerBytes.
  HttpClient(const net::any_io_executor &Executor, std::size_t MaxAnswerBytes)
      : Executor(Executor), MaxAnswerBytes(MaxAnswerBytes) {}

  /// Whether a call may reuse an idle connection. The peer may have closed it
  /// already, so the request may be lost after it was sent. A GET is then sent
  /// again on a new connection.
  enum class Reuse { No, Yes };

  /// Sends the request and reads the answer within \p Timeout, including the
  /// time to connect. A repeated GET has the same timeout again.
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
