/// \file
/// TLS for the connections of callers and operators, with OpenSSL.
#pragma once

#include "http/Asio.h"
#include "http/HttpSettings.h"

#include <boost/asio/ssl.hpp>
#include <memory>

namespace banyanpick {

/// Returns the server's TLS context, or null if neither certificate nor key is
/// set. Throws Error(BadInput) if the certificate or the key can't be used.
std::unique_ptr<net::ssl::context> makeTlsContext(const HttpSettings &Values);

} // namespace banyanpick
