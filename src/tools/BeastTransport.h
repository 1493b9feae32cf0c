/// \file
/// HTTP calls to entry hosts with Boost.Beast, one connection for each call.
#pragma once

#include "tools/HostTransport.h"

#include <memory>

namespace banyanpick::tools {

/// Calls entry hosts over plain TCP, or over TLS if a certificate file is
/// given. With TLS, a host must present a certificate for its IP address that
/// is signed by one of the certificates in the file.
class BeastTransport : public HostTransport {
public:
  /// \p CertificatesFile is in PEM format; if empty, TLS is not used. Throws
  /// Error(BadInput) if the file cannot be read.
  explicit BeastTransport(const std::string &CertificatesFile);
  ~BeastTransport() override;

  HostReply ask(const Address &Host, const HostRequest &Req,
                Duration Timeout) override;

private:
  struct TlsContext;
  std::unique_ptr<TlsContext> Tls; ///< Null without TLS.
};

/// The system's clock.
class SystemClock : public Clock {
public:
  Time now() override;
  void sleep(Duration Length) override;
};

} // namespace banyanpick::tools
