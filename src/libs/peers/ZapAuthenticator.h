/// \file
/// Decides which CURVE clients may connect, by ZeroMQ's authentication
/// protocol (ZAP, RFC 27).
#pragma once

#include "peers/CurveKeys.h"

#include <zmq.hpp>

namespace banyanpick {

/// Bound before any server socket of the context; used on one thread.
class ZapAuthenticator {
public:
  ZapAuthenticator(zmq::context_t &Context, const AllowedKeys &Allowed);

  zmq::socket_t &socket() { return this->Socket; }

  /// Answers all questions that wait.
  void answerRequests();

private:
  void reply(const std::vector<zmq::message_t> &Request);

  const AllowedKeys &Allowed;
  zmq::socket_t Socket;
};

/// What stands as user id of a connection whose key is good for any host.
inline constexpr std::string_view AnyHost = "*";

} // namespace banyanpick
