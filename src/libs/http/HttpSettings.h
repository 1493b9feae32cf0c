/// \file
/// Bounds of what callers and operators can make the HTTP server hold.
#pragma once

#include "settings/Settings.h"

#include <cstddef>
#include <string>
#include <vector>

namespace banyanpick {

struct HttpSettings {
  std::uint64_t MaxConnections = 0;
  std::uint64_t MaxHeaderBytes = 0;
  std::uint64_t MaxBodyBytes = 0;   ///< Of one request.
  std::uint64_t TotalBodyBytes = 0; ///< Of all requests at once.
  Duration HeaderTimeout{};
  Duration BodyTimeout{};
  Duration IdleTimeout{};
  Duration WriteTimeout{};
  bool TakesChunkedBodies = false;
  bool CloseAfterAnswer = false; ///< No connection is kept.
  std::string TlsCertificate;    ///< File; empty: no TLS.
  std::string TlsKey;            ///< File.
};

/// The settings of sections [http] and [tls].
std::vector<SettingDeclaration> httpSettingDeclarations();

HttpSettings httpSettings(const Settings &Values);

} // namespace banyanpick
