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

json toJson(const HostStatus &Status) {
  return {{"host", Status.Host.Value},
          {"zone", Status.Zone.Value},
          {"state", name(Status.State)},
          {"ready", Status.Ready},
          {"in_force", Status.InForce},
          {"heard_ago_ms", inMilliseconds(Status.HeardAgo)}};
}

json toJson(const UpstreamStatus &Status) {
  return {
      {"id", Status.Id.Value},
      {"kind", Status.Kind == UpstreamKind::Engine ? "engine" : "application"},
      {"zone", Status.Zone.Value},
      {"state", Status.State},
      {"queued_prefill_tokens", Status.QueuedPrefillTokens},
      {"free_memory_tokens", Status.FreeMemoryTokens},
      {"memory_tokens", Status.MemoryTokens},
      {"running", Status.Running},
      {"report_age_ms", inMilliseconds(Status.ReportAge)}};
}

json toJson(const QuarantineStatus &Status) {
  return {{"fingerprint", fingerprintText(Status.Content)},
          {"crashes", Status.Crashes},
          {"until", inMilliseconds(Status.Until.time_since_epoch())}};
}

template <class Item> json arrayOf(const std::vector<Item> &Items) {
  json Result = json::array();
  for (const Item &Element : Items)
    Result.push_back(toJson(Element));
  return Result;
}

json toJson(const StatusReport &Status) {
  return {{"host", Status.Host.Value},
          {"ready", Status.Ready},
          {"current", Status.Current},
          {"leaving", Status.Leaving},
          {"in_force", Status.InForce},
          {"invariants_broken", Status.InvariantsBroken},
          {"hosts", arrayOf(Status.Hosts)},
          {"upstreams", arrayOf(Status.Upstreams)},
          {"quarantine", arrayOf(Status.Quarantined)}};
}

json toJson(const HistoryShown &History) {
  json Items = json::array();
  for (const HistoryItem &Element : History.Items)
    Items.push_back({{"offset", Element.Offset},
                     {"set", banyanpick::toJson(Element.Set)},
                     {"verdict", banyanpick::toJson(Element.Verdict)}});
  return {{"items", std::move(Items)}};
}

HostStatus hostFromJson(ObjectReader &Object) {
  HostStatus Result;
  Result.Host = HostId(Object.text("host"));
  Result.Zone = ZoneId(Object.text("zone"));
  const std::string State = Object.text("state");
  for (const MemberState Candidate : MemberStates) {
    if (name(Candidate) == State)
      Result.State = Candidate;
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
  for (const json &Element : Object.list(Name)) {
    ObjectReader Inner(Element, itemPath(Name, Result.size()));
    Result.push_back(Read(Inner));
  }
  return Result;
}

} // namespace

json toJson(const OperatorAnswer &Answer) {
  return match(
      Answer,
      [](const CatalogueShown &Value) {
        return json{{"offset", Value.AtOffset},
                    {"entries", toJson(Value.Entries)}};
      },
      [](const HistoryShown &Value) { return toJson(Value); },
      [](const ChangesAccepted &Value) {
        return json{{"verdict", "accepted"}, {"offset", Value.Offset}};
      },
      [](const ChangesRejected &Value) {
        return json{{"verdict", "rejected"}, {"message", Value.Message}};
      },
      [](const VerdictPending &Value) {
        return json{{"verdict", "pending"}, {"message", Value.Message}};
      },
      [](const OperatorRefused &Value) {
        return errorJson(name(ErrorKind::NotAllowed), Value.Message);
      },
      [](const StatusReport &Value) { return toJson(Value); },
      [](const Done &) {
        return json{{"done", true}};
      });
}

json errorJson(std::string_view Kind, std::string_view Message) {
  return {{"error", {{"kind", Kind}, {"message", Message}}}};
}

CatalogueShown catalogueShownFromJson(const json &Document) {
  ObjectReader Object(Document, "");
  CatalogueShown Result;
  Result.AtOffset = Object.whole("offset");
  Result.Entries = entryMapFromJson(Object.list("entries"));
  return Result;
}

HistoryShown historyFromJson(const json &Document) {
  ObjectReader Object(Document, "");
  HistoryShown Result;
  for (const json &Element : Object.list("items")) {
    ObjectReader Item(Element, itemPath("items", Result.Items.size()));
    Result.Items.push_back({Item.whole("offset"),
                            changeSetFromJson(Item.get("set")),
                            changeVerdictFromJson(Item.get("verdict"))});
  }
  return Result;
}

StatusReport statusFromJson(const json &Document) {
  ObjectReader Object(Document, "");
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

ChangeAnswer changeAnswerFromJson(const json &Document) {
  ObjectReader Object(Document, "");
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
  const auto [ParseEnd, Failure] =
      std::from_chars(Text.data(), End, Result.Value, 16);
  if (Text.empty() || Failure != std::errc() || ParseEnd != End)
    throw Error(ErrorKind::BadInput, "the fingerprint is malformed",
                "give the hexadecimal digits that 'banyanpick status' shows");
  return Result;
}

} // namespace banyanpick
