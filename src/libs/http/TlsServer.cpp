#include "http/TlsServer.h"

#include "base/Error.h"

namespace banyanpick {

std::unique_ptr<net::ssl::context> makeTlsContext(const HttpSettings &Values) {
  if (Values.TlsCertificate.empty() && Values.TlsKey.empty())
    return nullptr;
  using Context = net::ssl::context;
  auto Result = std::make_unique<Context>(Context::tls_server);
  Result->set_options(Context::default_workarounds | Context::no_sslv2 |
                      Context::no_sslv3 | Context::no_tlsv1 |
                      Context::no_tlsv1_1);
  ErrorCode Failure;
  Result->use_certificate_chain_file(Values.TlsCertificate, Failure);
  if (!Failure)
    Result->use_private_key_file(Values.TlsKey, Context::pem, Failure);
  if (Failure)
    throw Error(ErrorKind::BadInput,
                "[tls] certificate and key can't be used: " + Failure.message(),
                "give PEM files, with the private key of that certificate");
  return Result;
}

} // namespace banyanpick
