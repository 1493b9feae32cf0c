#include "http/HttpSettings.h"

namespace banyanpick {

std::vector<SettingDeclaration> httpSettingDeclarations() {
  constexpr auto Whole = SettingKind::Whole;
  constexpr auto Size = SettingKind::Size;
  constexpr auto Span = SettingKind::Span;
  constexpr auto Text = SettingKind::Text;
  constexpr double MB = 1024 * 1024;
  constexpr double Hour = 3600e6;
  return {
      {"http", "max_connections", Whole, "4096",
       "Connections of callers and operators at once; more are closed.", 1,
       1e6},
      {"http", "max_header_bytes", Size, "16KB",
       "Largest header of a request; a larger one gets 431.", 1024, MB},
      {"http", "max_body_bytes", Size, "16MB",
       "Largest body of a request; a larger one gets 413.", 1024, 1024 * MB},
      {"http", "total_body_bytes", Size, "512MB",
       "Bodies of all requests at once; a request beyond it gets 503.", 1024,
       1e12},
      {"http", "header_timeout", Span, "10s",
       "How long a header may take from its first byte.", 1e3, Hour},
      {"http", "body_timeout", Span, "30s", "How long a body may take.", 1e3,
       Hour},
      {"http", "idle_timeout", Span, "1min",
       "How long a connection may stand without a request.", 1e3, Hour},
      {"http", "write_timeout", Span, "30s",
       "How long a caller may take to read what was sent before it counts as "
       "gone.",
       1e3, Hour},
      {"tls", "certificate", Text, "",
       "File of the certificate chain (PEM) for callers and operators; empty "
       "serves plain HTTP."},
      {"tls", "key", Text, "", "File of the certificate's private key (PEM)."},
  };
}

HttpSettings httpSettings(const Settings &Values) {
  HttpSettings Result;
  Result.MaxConnections = Values.whole("http", "max_connections");
  Result.MaxHeaderBytes = Values.size("http", "max_header_bytes");
  Result.MaxBodyBytes = Values.size("http", "max_body_bytes");
  Result.TotalBodyBytes = Values.size("http", "total_body_bytes");
  Result.HeaderTimeout = Values.span("http", "header_timeout");
  Result.BodyTimeout = Values.span("http", "body_timeout");
  Result.IdleTimeout = Values.span("http", "idle_timeout");
  Result.WriteTimeout = Values.span("http", "write_timeout");
  Result.TlsCertificate = Values.text("tls", "certificate");
  Result.TlsKey = Values.text("tls", "key");
  return Result;
}

} // namespace banyanpick
