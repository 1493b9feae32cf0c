/// \file
/// The interfaces through which the command line calls entry hosts and reads
/// the time.
#pragma once

#include "base/Time.h"
#include "kernel/Upstream.h"

#include <string>

namespace banyanpick::tools {

/// One call to an entry host.
struct HostRequest {
  enum class Method { Get, Post, Delete } Verb = Method::Get;
  std::string Target;
  std::string Body{};
  std::string Key{}; ///< Sent as a bearer token unless empty.
};

/// The result of one call.
struct HostReply {
  enum class ReplyState {
    NotSent, ///< The request was not sent.
    Lost,    ///< Sent, perhaps executed; no complete response arrived.
    Complete,
  } State = ReplyState::NotSent;
  unsigned Status = 0;
  std::string Body;
  std::string Problem; ///< Why there is no complete response.
};

/// Sends one request to one host, without retries.
class HostTransport {
public:
  virtual ~HostTransport() = default;
  virtual HostReply ask(const Address &Host, const HostRequest &Req,
                        Duration Timeout) = 0;
};

/// Reads the time and waits. Tests replace it.
class Clock {
public:
  virtual ~Clock() = default;
  virtual Time now() = 0;
  virtual void sleep(Duration Length) = 0;
};

} // namespace banyanpick::tools
