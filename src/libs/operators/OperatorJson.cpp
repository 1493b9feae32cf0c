#include "operators/OperatorJson.h"

#include "base/Error.h"
#include "base/Visitor.h"
#include "catalogue/CatalogueJson.h"
#include "json/ObjectReader.h"

#include <array>
#include <charconv>
#include <fmt/format.h>

namespace banyanpick {

namespace {

using nlohmann::json;

constexpr std::array MemberStates{MemberState::Alive, MemberState::Suspect,
                                  MemberState::Dead, MemberState::Leaving};

std::int64_t inMilliseconds(Duration Value) { return Value.count() / 1000; }

Duration durationOf(ObjectReader &Object, std::string_view Name) {
  return milliseconds(static_cast<std::int64_t>(Object.whole(Name)));
}

json toJson(const HostStatus &Of) {
  return {
      {"host", Of.Host.Value},   {"zone", Of.Zone.Value},
      {"state", name(Of.State)}, {"ready", Of.Ready},
      {"in_force", Of.InForce},  {"heard_ago_ms", inMilliseconds(Of.HeardAgo)}};
}

json toJson(const UpstreamStatus &Of) {
  return {{"id", Of.Id.Value},
          {"kind", Of.Kind == UpstreamKind::Engine ? "engine" : "application"},
          {"zone", Of.Zone.Value},
          {"state", Of.State},
          {"queued_prefill_tokens", Of.QueuedPrefillTokens},
          {"free_memory_tokens", Of.FreeMemoryTokens},
          {"memory_tokens", Of.MemoryTokens},
          {"running", Of.Running},
          {"report_age_ms", inMilliseconds(Of.ReportAge)}};
}

json toJson(const QuarantineStatus &Of) {
  return {{"fingerprint", fingerprintText(Of.Content)},
          {"crashes", Of.Crashes},
          {"until", inMilliseconds(Of.Until.time_since_epoch())}};
}

template <class Item> json arrayOf(const std::vector<Item> &Items) {
  json Result = json::array();
  for (const Item &Each : Items)
    Result.push_back(toJson(Each));
  return Result;
}

json toJson(const StatusReport &Of) {
  return {{"host", Of.Host.Value},
          {"ready", Of.Ready},
          {"current", Of.Current},
          {"leaving", Of.Leaving},
          {"in_force", Of.InForce},
          {"invariants_broken", Of.InvariantsBroken},
          {"hosts", arrayOf(Of.Hosts)},
          {"upstreams", arrayOf(Of.Upstreams)},
          {"quarantine", arrayOf(Of.Quarantined)}};
}

json toJson(const HistoryShown &Of) {
  json Items = json::array();
  for (const HistoryItem &Each : Of.Items)
    Items.push_back({{"offset", Each.Offset},
                     {"set", banyanpick::toJson(Each.Set)},
                     {"verdict", banyanpick::toJson(Each.Verdict)}});
  return {{"items", std::move(Items)}};
}

HostStatus hostFromJson(ObjectReader &Object) {
  HostStatus Result;
  Result.Host = HostId(Object.text("host"));
  Result.Zone = ZoneId(Object.text("zone"));
  const std::string State = Object.text("state");
  for (const MemberState Each : MemberStates) {
    if (name(Each) == State)
      Result.State = Each;
  }
  Result.Ready = Object.flag("ready");
  Result.InForce = Object.whole("in_force");
  Result.HeardAgo = durationOf(Object, "heard_ago_ms");
  return Result;
}

UpstreamStatus upstreamFromJson(ObjectReader &Object) {
  UpstreamStatus Result;
  Result.Id = UpstreamId(Object.text("id"));
  Result.Kind = Object.text("kind") == "engine" ? UpstreamKind::Engine
                                                : UpstreamKind::Application;
  Result.Zone = ZoneId(Object.text("zone"));
  Result.State = Object.text("state");
  Result.QueuedPrefillTokens = Object.whole("queued_prefill_tokens");
  Result.FreeMemoryTokens = Object.whole("free_memory_tokens");
  Result.MemoryTokens = Object.whole("memory_tokens");
  Result.Running = static_cast<std::uint32_t>(Object.whole("running"));
  Result.ReportAge = durationOf(Object, "report_age_ms");
  return Result;
}

QuarantineStatus quarantineFromJson(ObjectReader &Object) {
  QuarantineStatus Result;
  Result.Content = parseFingerprint(Object.text("fingerprint"));
  Result.Crashes = static_cast<std::uint32_t>(Object.whole("crashes"));
  Result.Until = Time(durationOf(Object, "until"));
  return Result;
}

template <class Item>
std::vector<Item> listOf(ObjectReader &Object, std::string_view Name,
                         Item (*Read)(ObjectReader &)) {
  std::vector<Item> Result;
  for (const json &Each : Object.list(Name)) {
    ObjectReader Inner(Each, itemPath(Name, Result.size()));
    Result.push_back(Read(Inner));
  }
  return Result;
}

} // namespace

json toJson(const OperatorAnswer &Answer) {
  return match(
      Answer,
      [](const CatalogueShown &Of) {
        return json{{"offset", Of.AtOffset}, {"entries", toJson(Of.Entries)}};
      },
      [](const HistoryShown &Of) { return toJson(Of); },
      [](const ChangesAccepted &Of) {
        return json{{"verdict", "accepted"}, {"offset", Of.Offset}};
      },
      [](const ChangesRejected &Of) {
        return json{{"verdict", "rejected"}, {"message", Of.Message}};
      },
      [](const VerdictPending &Of) {
        return json{{"verdict", "pending"}, {"message", Of.Message}};
      },
      [](const OperatorRefused &Of) {
        return errorJson(name(ErrorKind::NotAllowed), Of.Message);
      },
      [](const StatusReport &Of) { return toJson(Of); },
      [](const Done &) {
        return json{{"done", true}};
      });
}

json errorJson(std::string_view Kind, std::string_view Message) {
  return {{"error", {{"kind", Kind}, {"message", Message}}}};
}

CatalogueShown catalogueShownFromJson(const json &Given) {
  ObjectReader Object(Given, "");
  CatalogueShown Result;
  Result.AtOffset = Object.whole("offset");
  Result.Entries = entryMapFromJson(Object.list("entries"));
  return Result;
}

HistoryShown historyFromJson(const json &Given) {
  ObjectReader Object(Given, "");
  HistoryShown Result;
  for (const json &Each : Object.list("items")) {
    ObjectReader Item(Each, itemPath("items", Result.Items.size()));
    Result.Items.push_back({Item.whole("offset"),
                            changeSetFromJson(Item.get("set")),
                            changeVerdictFromJson(Item.get("verdict"))});
  }
  return Result;
}

StatusReport statusFromJson(const json &Given) {
  ObjectReader Object(Given, "");
  StatusReport Result;
  Result.Host = HostId(Object.text("host"));
  Result.Ready = Object.flag("ready");
  Result.Current = Object.flag("current");
  Result.Leaving = Object.flag("leaving");
  Result.InForce = Object.whole("in_force");
  Result.InvariantsBroken = Object.whole("invariants_broken");
  Result.Hosts = listOf(Object, "hosts", hostFromJson);
  Result.Upstreams = listOf(Object, "upstreams", upstreamFromJson);
  Result.Quarantined = listOf(Object, "quarantine", quarantineFromJson);
  return Result;
}

ChangeAnswer changeAnswerFromJson(const json &Given) {
  ObjectReader Object(Given, "");
  const std::string Verdict = Object.text("verdict");
  if (Verdict == "accepted")
    return ChangesAccepted{Object.whole("offset")};
  if (Verdict == "rejected")
    return ChangesRejected{Object.text("message")};
  if (Verdict == "pending")
    return VerdictPending{Object.text("message")};
  throwBadMember("verdict", "is not known",
                 "expected accepted, rejected or pending");
}

std::string_view name(MemberState State) {
  switch (State) {
  case MemberState::Alive:
    return "alive";
  case MemberState::Suspect:
    return "suspect";
  case MemberState::Dead:
    return "dead";
  case MemberState::Leaving:
    return "leaving";
  }
  return "unknown";
}

std::string fingerprintText(Fingerprint Content) {
  return fmt::format("{:016x}", Content.Value);
}

Fingerprint parseFingerprint(std::string_view Text) {
  Fingerprint Result;
  const char *End = Text.data() + Text.size();
  const auto [Rest, Failure] =
      std::from_chars(Text.data(), End, Result.Value, 16);
  if (Text.empty() || Failure != std::errc() || Rest != End)
    throw Error(ErrorKind::BadInput, "the fingerprint is malformed",
                "give the hexadecimal digits that 'banyanpick status' shows");
  return Result;
}

} // namespace banyanpick
