#include "app/ProcessPages.h"

namespace banyanpick {

namespace {

HttpAnswer plainText(std::string Body, std::string ContentType) {
  HttpAnswer Result;
  Result.Body = std::move(Body);
  Result.ContentType = std::move(ContentType);
  return Result;
}

HttpAnswer notReady(std::string_view Why) {
  return errorAnswer(503, ErrorKind::Unavailable, Why);
}

} // namespace

std::optional<HttpAnswer> ProcessPages::find(std::string_view Path) const {
  if (Path == "/health")
    return plainText("ok\n", "text/plain");
  if (Path == "/ready")
    return this->ready();
  if (Path == "/metrics")
    return plainText(this->HostMetrics.prometheusText(),
                     "text/plain; version=0.0.4");
  return std::nullopt;
}

HttpAnswer ProcessPages::ready() const {
  if (this->State.Leaving)
    return notReady("leaving: this host is stopping; use another");
  if (!this->State.Ready)
    return notReady("not-ready: no catalogue is known yet; wait or look at the "
                    "log service");
  if (!this->State.Current)
    return notReady("not-current: neither the log nor a peer answers; look at "
                    "the network of this host");
  return plainText("ready\n", "text/plain");
}

} // namespace banyanpick
