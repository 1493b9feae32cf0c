/// \file
/// Calls to upstreams beside the relayed requests.
#pragma once

#include "http/HttpClient.h"
#include "relay/EngineLinkPool.h"

namespace banyanpick {

/// Sends report requests and orders to upstreams. Their connections come from
/// and return to the pool of the relayed requests: with a pool of their own,
/// the connection of an order would stay idle beside the one that the request
/// opens next. Used on the pool's thread.
class EngineCalls {
public:
  /// A call fails if the answer is larger than \p MaxAnswerBytes.
  EngineCalls(EngineLinkPool &Pool, std::size_t MaxAnswerBytes)
      : Pool(Pool), MaxAnswerBytes(MaxAnswerBytes) {}

  /// Sends the request and reads the answer within \p Timeout, as
  /// HttpClient::call() does.
  Task<ClientResult>
  call(UpstreamId Engine, Address At, ClientRequest Wanted, Duration Timeout,
       HttpClient::Reuse Connections = HttpClient::Reuse::Yes);

private:
  Task<ClientResult> exchange(const UpstreamId &Engine, const Address &At,
                              const ClientRequest &Wanted, Duration Timeout,
                              std::shared_ptr<EngineLink> Link);

  EngineLinkPool &Pool;
  std::size_t MaxAnswerBytes;
};

} // namespace banyanpick
