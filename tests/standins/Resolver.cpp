#include "standins/Resolver.h"

#include "standins/HttpClient.h"
#include "standins/WireText.h"

namespace banyanpick::standins {

namespace {

constexpr Duration ResolvePatience = seconds(2);

} // namespace

std::vector<std::string> Resolver::hosts(const std::string &Team) {
  const std::lock_guard Lock(this->Guard);
  const Time Now = wallNow();
  if (this->Known.empty() || this->KeptUntil <= Now)
    this->ask(Team, Now);
  return this->Known;
}

void Resolver::forget() {
  const std::lock_guard Lock(this->Guard);
  this->Known.clear();
}

void Resolver::ask(const std::string &Team, Time Now) {
  HttpQuestion Question;
  Question.Target = "/v1/resolve?team=" + Team + "&zone=" + this->Zone;
  for (const std::string &Seed : this->Seeds) {
    const HttpReply Reply = askHttp(Seed, Question, ResolvePatience);
    const nlohmann::json Answer = Reply.parsed();
    if (!Reply.isComplete() || !Answer.is_object() ||
        Answer.value("hosts", nlohmann::json::array()).empty())
      continue;
    this->Known = Answer["hosts"].get<std::vector<std::string>>();
    this->KeptUntil = Now + milliseconds(Answer.value("ttl_ms", 0));
    return;
  }
}

} // namespace banyanpick::standins
