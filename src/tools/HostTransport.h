/// \file
/// How the command line reaches entry hosts and passes time.
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
  std::string Key{}; ///< Sent as bearer token when not empty.
};

/// How it went.
struct HostReply {
  enum class ReplyState {
    NotSent, ///< Nothing was sent.
    Lost,    ///< It may have taken effect, but no whole answer came.
    Complete,
  } State = ReplyState::NotSent;
  unsigned Status = 0;
  std::string Body;
  std::string Problem; ///< Why there is no whole answer.
};

/// Asks one host once.
class HostTransport {
public:
  virtual ~HostTransport() = default;
  virtual HostReply ask(const Address &Host, const HostRequest &Req,
                        Duration Timeout) = 0;
};

/// Tells the time and lets it pass.
class Clock {
public:
  virtual ~Clock() = default;
  virtual Time now() = 0;
  virtual void sleep(Duration Length) = 0;
};

} // namespace banyanpick::tools
