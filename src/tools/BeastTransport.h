/// \file
/// Calls to entry hosts by Boost.Beast, one connection a call.
#pragma once

#include "tools/HostTransport.h"

#include <memory>

namespace banyanpick::tools {

/// With a file of certificates given, calls go over TLS and a host must prove
/// its IP number by a certificate that one of these signed.
class BeastTransport : public HostTransport {
public:
  /// \p CertificatesFile is in PEM; empty: no TLS. Throws Error(BadInput) when
  /// it can't be read.
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
