/// \file
/// Names from Boost.Asio and Boost.Beast that all I/O code uses. I/O is written
/// as coroutines whose operations report failures as error codes.
#pragma once

// Boost 1.74 uses std::exchange in its coroutines without including it.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <string_view>

namespace banyanpick {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

/// A coroutine that returns a \p Value.
template <class Value> using Task = net::awaitable<Value>;

/// Returns the completion token of an operation, which stores the operation's
/// error in \p Failure.
inline auto into(ErrorCode &Failure) {
  return net::redirect_error(net::use_awaitable, Failure);
}

/// Converts to the string view type of Boost.
inline beast::string_view beastText(std::string_view Text) {
  return {Text.data(), Text.size()};
}

} // namespace banyanpick
