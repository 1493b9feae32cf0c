#include "standins/HttpServer.h"

#include "base/Error.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <charconv>
#include <fmt/format.h>
#include <thread>

namespace banyanpick::standins {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

/// A million tokens are four million bytes before JSON quotes them.
constexpr std::uint64_t MaxBodyBytes = 64ULL * 1024 * 1024;

constexpr unsigned HttpVersion = 11;

/// Runs the handler. Answers 400 when it throws because of a bad request.
void handleExchange(Exchange &Incoming, const Handler &Handle) {
  try {
    Handle(Incoming);
  } catch (const nlohmann::json::exception &Problem) {
    Incoming.answer(400, {{"error", {{"message", Problem.what()}}}});
  } catch (const Error &Problem) {
    Incoming.answer(400, {{"error", {{"message", Problem.what()}}}});
  }
}

void serveConnection(tcp::socket Socket, const Handler &Handle) {
  beast::flat_buffer Buffer;
  for (;;) {
    http::request_parser<http::string_body> Parser;
    Parser.body_limit(MaxBodyBytes);
    beast::error_code Failure;
    http::read(Socket, Buffer, Parser, Failure);
    if (Failure)
      return;
    const bool Persistent = Parser.keep_alive();
    Exchange Incoming(Socket, Parser.release());
    handleExchange(Incoming, Handle);
    if (!Persistent || !Incoming.keepsAlive())
      return;
  }
}

void serveUntilDisconnect(tcp::socket Socket, const Handler &Handle) {
  try {
    serveConnection(std::move(Socket), Handle);
  } catch (const std::exception &) {
    // The peer has disconnected. The socket is closed on return.
  }
}

std::string_view pathOf(std::string_view Target) {
  return Target.substr(0, Target.find('?'));
}

} // namespace

tcp::endpoint parseEndpoint(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  std::uint16_t Port = 0;
  if (Colon != std::string_view::npos)
    std::from_chars(Text.data() + Colon + 1, Text.data() + Text.size(), Port);
  beast::error_code Failure;
  const auto Ip = asio::ip::make_address(
      std::string(Text.substr(0, std::min(Colon, Text.size()))), Failure);
  if (Failure || Port == 0)
    throw Error(ErrorKind::BadInput,
                fmt::format("'{}' is not an address", Text),
                "give an IP number and a port, such as 127.0.0.1:7000");
  return {Ip, Port};
}

std::vector<std::string> Exchange::path() const {
  const auto Target = this->Request.target();
  std::string_view Remaining = pathOf({Target.data(), Target.size()});
  std::vector<std::string> Segments;
  while (!Remaining.empty()) {
    Remaining.remove_prefix(1);
    const std::string_view Segment = Remaining.substr(0, Remaining.find('/'));
    Segments.emplace_back(Segment);
    Remaining.remove_prefix(Segment.size());
  }
  return Segments;
}

std::string Exchange::queryText(std::string_view Name) const {
  const auto Target = this->Request.target();
  const std::string_view TargetText(Target.data(), Target.size());
  const std::string Prefix = std::string(Name) + "=";
  std::string_view Remaining = TargetText.substr(pathOf(TargetText).size());
  while (!Remaining.empty()) {
    Remaining.remove_prefix(1);
    const std::string_view Part = Remaining.substr(0, Remaining.find('&'));
    Remaining.remove_prefix(Part.size());
    if (Part.substr(0, Prefix.size()) == Prefix)
      return std::string(Part.substr(Prefix.size()));
  }
  return {};
}

std::uint64_t Exchange::queryNumber(std::string_view Name,
                                    std::uint64_t Default) const {
  const std::string Text = this->queryText(Name);
  std::uint64_t Number = Default;
  std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  return Number;
}

std::string Exchange::header(std::string_view Name) const {
  const auto Value =
      this->Request[beast::string_view(Name.data(), Name.size())];
  return {Value.data(), Value.size()};
}

void Exchange::answer(unsigned Status, const nlohmann::json &Body) {
  http::response<http::string_body> Reply(static_cast<http::status>(Status),
                                          HttpVersion);
  Reply.set(http::field::content_type, "application/json");
  // Keys of records may be broken UTF-8, which JSON can't hold.
  Reply.body() =
      Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  Reply.prepare_payload();
  http::write(this->Socket, Reply);
}

void Exchange::answer(unsigned Status, const Headers &AnswerHeaders,
                      const std::string &Body, std::size_t Missing) {
  http::response<http::string_body> Reply(static_cast<http::status>(Status),
                                          HttpVersion);
  for (const auto &[Name, Value] : AnswerHeaders)
    Reply.set(Name, Value);
  Reply.body() = Body;
  Reply.content_length(Body.size() + Missing);
  http::write(this->Socket, Reply);
}

void Exchange::beginEvents(const Headers &AnswerHeaders) {
  http::response<http::empty_body> Reply(http::status::ok, HttpVersion);
  Reply.set(http::field::content_type, "text/event-stream");
  for (const auto &[Name, Value] : AnswerHeaders)
    Reply.set(Name, Value);
  Reply.chunked(true);
  http::response_serializer<http::empty_body> Serializer(Reply);
  http::write_header(this->Socket, Serializer);
}

void Exchange::sendEvents(const std::string &Formatted) {
  asio::write(this->Socket, http::make_chunk(asio::buffer(Formatted)));
}

void Exchange::endEvents() {
  asio::write(this->Socket, http::make_chunk_last());
}

void serveHttp(std::string_view Listen, const Handler &Handle) {
  asio::io_context Io;
  tcp::acceptor Acceptor(Io, parseEndpoint(Listen));
  for (;;) {
    beast::error_code Failure;
    tcp::socket Socket = Acceptor.accept(Failure);
    if (Failure)
      continue;
    Socket.set_option(tcp::no_delay(true), Failure);
    std::thread(serveUntilDisconnect, std::move(Socket), std::cref(Handle))
        .detach();
  }
}

} // namespace banyanpick::standins
