/// \file
/// A small blocking HTTP client with timeouts, and a parser of server-sent
/// events, for the stand-in callers and the process tests.
#pragma once

#include "base/Time.h"

#include <boost/beast/http/verb.hpp>
#include <functional>
#include <memory>
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

/// The result of one exchange.
struct HttpReply {
  enum class End { NotConnected, Broken, Complete } Ended = End::NotConnected;
  unsigned Status = 0;
  std::string Body; ///< The received part when broken off.

  bool isComplete() const { return this->Ended == End::Complete; }
  /// Returns the body as JSON, or a discarded value when it is malformed.
  nlohmann::json parsed() const;
};

/// Called with each part of the body as it arrives.
using PartHandler = std::function<void(std::string_view)>;

/// Sends one request on a new connection. \p Timeout limits each step:
/// connecting, sending and each read.
HttpReply sendHttpRequest(const std::string &Address,
                          const OutgoingRequest &Req, Duration Timeout,
                          const PartHandler &OnPart = {});

/// Sends requests one after the other on one connection. Connects again when
/// the server has closed the connection or announced that it will.
class KeptConnection {
public:
  /// \p Timeout limits each step: connecting, sending and each read.
  KeptConnection(std::string Address, Duration Timeout);
  ~KeptConnection();
  KeptConnection(const KeptConnection &) = delete;
  KeptConnection &operator=(const KeptConnection &) = delete;

  HttpReply exchange(const OutgoingRequest &Req);
  /// Whether the next request is sent on a connection that is open already. The
  /// server may close it at the same moment.
  bool isOpen() const { return this->Link != nullptr; }

private:
  class Connection;
  friend HttpReply sendHttpRequest(const std::string &Address,
                                   const OutgoingRequest &Req, Duration Timeout,
                                   const PartHandler &OnPart);

  std::string Address;
  Duration Timeout;
  std::unique_ptr<Connection> Link; ///< Null: not connected.
};

/// A server-sent event. The name is empty for plain data.
struct ServerEvent {
  std::string Name;
  nlohmann::json Data;
};

/// Parses server-sent events from a body that arrives in parts.
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
