#include "app/StatusJson.h"

#include "base/Visitor.h"
#include "catalogue/CatalogueJson.h"
#include "http/BoundedJson.h"
#include "platform/IdText.h"

namespace banyanpick {

namespace {

using nlohmann::json;

std::string_view name(MemberState State) {
  switch (State) {
  case MemberState::Alive:
    return "alive";
  case MemberState::Suspect:
    return "suspect";
  case MemberState::Dead:
    return "dead";
  case MemberState::Leaving:
    break;
  }
  return "leaving";
}

std::int64_t inMilliseconds(Duration Value) {
  return std::chrono::duration_cast<milliseconds>(Value).count();
}

json hostJson(const HostStatus &Host) {
  return {{"host", Host.Host.Value},
          {"zone", Host.Zone.Value},
          {"state", name(Host.State)},
          {"ready", Host.Ready},
          {"in_force", Host.InForce},
          {"heard_ago_ms", inMilliseconds(Host.HeardAgo)}};
}

json upstreamJson(const UpstreamStatus &Upstream) {
  const bool IsEngine = Upstream.Kind == UpstreamKind::Engine;
  return {{"id", Upstream.Id.Value},
          {"kind", IsEngine ? "engine" : "application"},
          {"zone", Upstream.Zone.Value},
          {"state", Upstream.State},
          {"queued_prefill_tokens", Upstream.QueuedPrefillTokens},
          {"free_memory_tokens", Upstream.FreeMemoryTokens},
          {"memory_tokens", Upstream.MemoryTokens},
          {"running", Upstream.Running},
          {"report_age_ms", inMilliseconds(Upstream.ReportAge)}};
}

json quarantineJson(const QuarantineStatus &Item) {
  return {{"fingerprint", toHex(Item.Content.Value)},
          {"crashes", Item.Crashes},
          {"until", toMilliseconds(Item.Until)}};
}

json statusJson(const StatusReport &Report) {
  json Hosts = json::array();
  for (const HostStatus &Each : Report.Hosts)
    Hosts.push_back(hostJson(Each));
  json Upstreams = json::array();
  for (const UpstreamStatus &Each : Report.Upstreams)
    Upstreams.push_back(upstreamJson(Each));
  json Quarantined = json::array();
  for (const QuarantineStatus &Each : Report.Quarantined)
    Quarantined.push_back(quarantineJson(Each));
  return {{"host", Report.Host.Value},
          {"ready", Report.Ready},
          {"current", Report.Current},
          {"leaving", Report.Leaving},
          {"in_force", Report.InForce},
          {"invariants_broken", Report.InvariantsBroken},
          {"hosts", std::move(Hosts)},
          {"upstreams", std::move(Upstreams)},
          {"quarantine", std::move(Quarantined)}};
}

json historyJson(const HistoryShown &History) {
  json Items = json::array();
  for (const HistoryItem &Each : History.Items)
    Items.push_back({{"offset", Each.Offset},
                     {"set", toJson(Each.Set)},
                     {"verdict", toJson(Each.Verdict)}});
  return {{"items", std::move(Items)}};
}

json bodyOf(const OperatorAnswer &Given) {
  return match(
      Given,
      [](const CatalogueShown &Shown) {
        return json{{"offset", Shown.AtOffset},
                    {"entries", toJson(Shown.Entries)}};
      },
      [](const HistoryShown &Shown) { return historyJson(Shown); },
      [](const ChangesAccepted &Accepted) {
        return json{{"verdict", "accepted"}, {"offset", Accepted.Offset}};
      },
      [](const ChangesRejected &Rejected) {
        return json{{"verdict", "rejected"}, {"message", Rejected.Message}};
      },
      [](const VerdictPending &Pending) {
        return json{{"verdict", "pending"}, {"message", Pending.Message}};
      },
      [](const OperatorRefused &) { return json(); },
      [](const StatusReport &Report) { return statusJson(Report); },
      [](const Done &) {
        return json{{"done", true}};
      });
}

} // namespace

HttpAnswer answerTo(const OperatorAnswer &Given) {
  if (const auto *Refused = std::get_if<OperatorRefused>(&Given))
    return errorAnswer(403, ErrorKind::NotAllowed, Refused->Message);
  HttpAnswer Result;
  Result.Body = dumpJson(bodyOf(Given));
  return Result;
}

} // namespace banyanpick
