/// \file
/// Settings of the HTTP server: limits on connections, sizes and times, and the
/// TLS files.
#pragma once

#include "settings/Settings.h"

#include <cstddef>
#include <string>
#include <vector>

namespace banyanpick {

struct HttpSettings {
  std::uint64_t MaxConnections = 0;
  std::uint64_t MaxHeaderBytes = 0;
  std::uint64_t MaxBodyBytes = 0;   ///< For one request.
  std::uint64_t TotalBodyBytes = 0; ///< For all requests at once.
  Duration HeaderTimeout{};
  Duration BodyTimeout{};
  Duration IdleTimeout{};
  Duration WriteTimeout{};
  bool TakesChunkedBodies = false;
  bool CloseAfterAnswer = false; ///< Connections are not kept alive.
  std::string TlsCertificate;    ///< File name; empty: no TLS.
  std::string TlsKey;            ///< File name.
};

/// The settings of sections [http] and [tls].
std::vector<SettingDeclaration> httpSettingDeclarations();

HttpSettings httpSettings(const Settings &Values);

} // namespace banyanpick
