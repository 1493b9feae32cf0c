/// \file
/// TLS towards callers and operators, by OpenSSL.
#pragma once

#include "http/Asio.h"
#include "http/HttpSettings.h"

#include <boost/asio/ssl.hpp>
#include <memory>

namespace banyanpick {

/// The server's TLS context, or null when no certificate is set. Throws
/// Error(BadInput) when certificate or key can't be used.
std::unique_ptr<net::ssl::context> makeTlsContext(const HttpSettings &Values);

} // namespace banyanpick
