#include "standins/Resolver.h"

#include "standins/HttpClient.h"
#include "standins/WireText.h"

namespace banyanpick::standins {

namespace {

constexpr Duration ResolveTimeout = seconds(2);

} // namespace

std::vector<std::string> Resolver::hosts(const std::string &Team) {
  const std::lock_guard Lock(this->Mutex);
  const Time Now = wallNow();
  if (this->CachedHosts.empty() || this->ValidUntil <= Now)
    this->refresh(Team, Now);
  return this->CachedHosts;
}

void Resolver::invalidate() {
  const std::lock_guard Lock(this->Mutex);
  this->CachedHosts.clear();
}

void Resolver::refresh(const std::string &Team, Time Now) {
  OutgoingRequest Req;
  Req.Target = "/v1/resolve?team=" + Team + "&zone=" + this->Zone;
  for (const std::string &Seed : this->Seeds) {
    const HttpReply Reply = sendHttpRequest(Seed, Req, ResolveTimeout);
    const nlohmann::json Answer = Reply.parsed();
    if (!Reply.isComplete() || !Answer.is_object() ||
        Answer.value("hosts", nlohmann::json::array()).empty())
      continue;
    this->CachedHosts = Answer["hosts"].get<std::vector<std::string>>();
    this->ValidUntil = Now + milliseconds(Answer.value("ttl_ms", 0));
    return;
  }
}

} // namespace banyanpick::standins
