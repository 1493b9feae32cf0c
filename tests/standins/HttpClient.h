/// \file
/// A small blocking HTTP client with timeouts, and a reader of server-sent
/// events, for the caller and the process tests.
#pragma once

#include "base/Time.h"

#include <boost/beast/http/verb.hpp>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace banyanpick::standins {

struct HttpHeader {
  std::string Name;
  std::string Value;
};

struct OutgoingRequest {
  boost::beast::http::verb Method = boost::beast::http::verb::get;
  std::string Target;
  std::string Body{};
  std::vector<HttpHeader> Headers{};
};

/// How one exchange went.
struct HttpReply {
  enum class End { NotConnected, Broken, Complete } Ended = End::NotConnected;
  unsigned Status = 0;
  std::string Body; ///< What came of it, also when it broke off.

  bool isComplete() const { return this->Ended == End::Complete; }
  /// The body as JSON; a discarded value when it is none.
  nlohmann::json parsed() const;
};

/// Given each part of the body as it comes.
using PartHandler = std::function<void(std::string_view)>;

/// Asks once, on a connection of its own. Each step (connecting, sending, one
/// read) may take \p Patience.
HttpReply sendHttpRequest(const std::string &Address,
                          const OutgoingRequest &Req, Duration Timeout,
                          const PartHandler &OnPart = {});

/// A server-sent event; the name is empty for plain data.
struct ServerEvent {
  std::string Name;
  nlohmann::json Data;
};

/// Cuts a body that comes in parts into server-sent events.
class EventReader {
public:
  explicit EventReader(std::function<void(const ServerEvent &)> OnEvent)
      : OnEvent(std::move(OnEvent)) {}
  void addPart(std::string_view Part);

private:
  std::function<void(const ServerEvent &)> OnEvent;
  std::string Pending;
};

} // namespace banyanpick::standins
