/// \file
/// Decides which CURVE clients may connect, by ZeroMQ's authentication
/// protocol (ZAP, RFC 27).
#pragma once

#include "peers/CurveKeys.h"

#include <zmq.hpp>

namespace banyanpick {

/// Answers the authentication requests of the context's server sockets. Must be
/// created before any server socket of the context is bound. Not thread-safe.
class ZapAuthenticator {
public:
  ZapAuthenticator(zmq::context_t &Context, const AllowedKeys &Allowed);

  zmq::socket_t &socket() { return this->Socket; }

  /// Answers all pending requests.
  void answerRequests();

private:
  void reply(const std::vector<zmq::message_t> &Request);

  const AllowedKeys &Allowed;
  zmq::socket_t Socket;
};

/// The user id of connections whose key is valid for any host.
inline constexpr std::string_view AnyHost = "*";

} // namespace banyanpick
