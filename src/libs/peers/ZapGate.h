/// \file
/// Decides which CURVE clients may connect, by ZeroMQ's authentication
/// protocol (ZAP, RFC 27).
#pragma once

#include "peers/CurveKeys.h"

#include <zmq.hpp>

namespace banyanpick {

/// Bound before any server socket of the context; used on one thread.
class ZapGate {
public:
  ZapGate(zmq::context_t &Context, const AllowedKeys &Allowed);

  zmq::socket_t &socket() { return this->Requests; }

  /// Answers all questions that wait.
  void answerAll();

private:
  void answer(const std::vector<zmq::message_t> &Question);

  const AllowedKeys &Allowed;
  zmq::socket_t Requests;
};

/// What stands as user id of a connection whose key is good for any host.
inline constexpr std::string_view AnyHost = "*";

} // namespace banyanpick
