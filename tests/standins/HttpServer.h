/// \file
/// A small blocking HTTP server for stand-ins, with one thread per connection.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace banyanpick::standins {

using HttpRequest =
    boost::beast::http::request<boost::beast::http::string_body>;

/// Parses `ip:port`. Throws Error(BadInput) when it is malformed.
boost::asio::ip::tcp::endpoint parseEndpoint(std::string_view Text);

/// Headers of an answer as pairs of name and value.
using Headers = std::vector<std::pair<std::string, std::string>>;

/// One request and its answer.
class Exchange {
public:
  Exchange(boost::asio::ip::tcp::socket &Socket, HttpRequest Request)
      : Socket(Socket), Request(std::move(Request)) {}

  boost::beast::http::verb method() const { return this->Request.method(); }
  /// Returns the segments of the path: `v1` and `load` for `/v1/load`.
  std::vector<std::string> path() const;
  /// Returns a number of the query, or \p Default.
  std::uint64_t queryNumber(std::string_view Name, std::uint64_t Default) const;
  /// Returns a text of the query, or an empty text.
  std::string queryText(std::string_view Name) const;
  std::string header(std::string_view Name) const;
  const HttpRequest &request() const { return this->Request; }
  const std::string &body() const { return this->Request.body(); }

  void answer(unsigned Status, const nlohmann::json &Body);
  /// Sends an answer whose content length is \p Missing bytes more than its
  /// body.
  void answer(unsigned Status, const Headers &AnswerHeaders,
              const std::string &Body, std::size_t Missing = 0);
  /// Starts a stream of server-sent events.
  void beginEvents(const Headers &AnswerHeaders = {});
  /// Sends formatted events. Throws when the peer has disconnected.
  void sendEvents(const std::string &Formatted);
  void endEvents();
  /// Closes the connection after this exchange, also without an answer.
  void disconnect() { this->KeepsAlive = false; }

  bool keepsAlive() const { return this->KeepsAlive; }

private:
  boost::asio::ip::tcp::socket &Socket;
  HttpRequest Request;
  bool KeepsAlive = true;
};

using Handler = std::function<void(Exchange &)>;

/// Serves \p Handle at the address \p Listen, `ip:port`, until the process
/// ends.
[[noreturn]] void serveHttp(std::string_view Listen, const Handler &Handle);

} // namespace banyanpick::standins
