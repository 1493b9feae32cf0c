#include "native/LoadReportJson.h"

#include "http/BoundedJson.h"
#include "native/JsonField.h"

namespace banyanpick {

namespace {

using nlohmann::json;

HoldKind holdKindFrom(const std::string &Text) {
  if (Text == "stream")
    return HoldKind::Stream;
  if (Text == "group-hold")
    return HoldKind::GroupHold;
  if (Text == "export")
    return HoldKind::Export;
  throw Error(ErrorKind::BadInput, "unknown kind of hold " + Text,
              "see docs/PROTOCOLS.md");
}

HoldReport holdFrom(const json &Object) {
  HoldReport Result;
  Result.Kind = holdKindFrom(textMember(Object, "kind"));
  Result.OwnerLife = hexMember(Object, "owner_life");
  Result.Sequence = Object.at("sequence").get<std::uint64_t>();
  Result.OwnerHost = textMember(Object, "owner");
  Result.Tokens = Object.at("tokens").get<std::uint64_t>();
  Result.Deadline = fromMilliseconds(Object.at("deadline").get<std::int64_t>());
  return Result;
}

void readLists(const json &Object, LoadReport &Report) {
  for (const json &Entry : Object.at("models"))
    Report.Models.emplace_back(Entry.get<std::string>());
  for (const json &Entry : Object.at("holds"))
    Report.Holds.push_back(holdFrom(Entry));
  for (const json &Entry : Object.value("backlog", json::array()))
    Report.Backlog.push_back({Entry.at("priority").get<std::uint32_t>(),
                              Entry.at("prefill_tokens").get<std::uint64_t>()});
}

LoadReport reportFrom(const json &Object) {
  LoadReport Result;
  Result.Id.Value = textMember(Object, "id");
  Result.Life.Value = hexMember(Object, "life");
  Result.MeasuredAt =
      fromMilliseconds(Object.at("measured_at").get<std::int64_t>());
  Result.Leaving = Object.at("leaving").get<bool>();
  Result.Running = Object.at("running").get<std::uint32_t>();
  Result.Queued = Object.at("queued").get<std::uint32_t>();
  Result.QueuedPrefillTokens =
      Object.at("queued_prefill_tokens").get<std::uint64_t>();
  Result.MemoryTokens = Object.at("memory_tokens").get<std::uint64_t>();
  Result.FreeMemoryTokens =
      Object.at("free_memory_tokens").get<std::uint64_t>();
  Result.PrefillTokensPerSecond =
      Object.at("prefill_tokens_per_second").get<double>();
  Result.DecodeTokensPerSecond =
      Object.at("decode_tokens_per_second").get<double>();
  Result.HighestFencing = Object.at("highest_fencing").get<LogOffset>();
  readLists(Object, Result);
  return Result;
}

} // namespace

LoadReport loadReportFromJson(std::string_view Body) {
  return convertJsonErrors([&] { return reportFrom(parseBoundedJson(Body)); });
}

CacheEventsReported cacheEventsFromJson(std::string_view Body,
                                        const UpstreamId &From) {
  return convertJsonErrors([&] {
    const json Object = parseBoundedJson(Body);
    CacheEventsReported Result{
        From, Incarnation(hexMember(Object, "life")), {}};
    for (const json &Entry : Object.at("events"))
      Result.Events.push_back({Entry.at("sequence").get<std::uint64_t>(),
                               Entry.at("stored").get<bool>(),
                               hexMember(Entry, "block")});
    return Result;
  });
}

} // namespace banyanpick
