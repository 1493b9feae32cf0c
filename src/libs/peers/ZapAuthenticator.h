/// \file
/// Decides which clients may connect, by ZeroMQ's authentication protocol (ZAP,
/// RFC 27).
#pragma once

#include "peers/CurveKeys.h"

#include <zmq.hpp>

namespace banyanpick {

/// Answers the authentication requests of the context's server sockets. Must be
/// created before any server socket of the context is bound. Not thread-safe.
///
/// Sockets without encryption ask too, because ZeroMQ then refuses clients of
/// its first protocol. Bytes that are no ZeroMQ at all are taken for that
/// protocol and could form one message without end.
class ZapAuthenticator {
public:
  /// Without encryption any client may connect.
  ZapAuthenticator(zmq::context_t &Context, const AllowedKeys &Allowed,
                   bool Encrypted);

  zmq::socket_t &socket() { return this->Socket; }

  /// Answers all pending requests.
  void answerRequests();

private:
  void reply(const std::vector<zmq::message_t> &Request);

  const AllowedKeys &Allowed;
  bool Encrypted;
  zmq::socket_t Socket;
};

/// The user id of connections whose key is valid for any host.
inline constexpr std::string_view AnyHost = "*";

} // namespace banyanpick
