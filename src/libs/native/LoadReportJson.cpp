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

HoldReport holdFrom(const json &Given) {
  HoldReport Result;
  Result.Kind = holdKindFrom(textMember(Given, "kind"));
  Result.OwnerLife = hexMember(Given, "owner_life");
  Result.Sequence = Given.at("sequence").get<std::uint64_t>();
  Result.OwnerHost = textMember(Given, "owner");
  Result.Tokens = Given.at("tokens").get<std::uint64_t>();
  Result.Deadline = fromMilliseconds(Given.at("deadline").get<std::int64_t>());
  return Result;
}

void readLists(const json &Given, LoadReport &Into) {
  for (const json &Each : Given.at("models"))
    Into.Models.emplace_back(Each.get<std::string>());
  for (const json &Each : Given.at("holds"))
    Into.Holds.push_back(holdFrom(Each));
  for (const json &Each : Given.value("backlog", json::array()))
    Into.Backlog.push_back({Each.at("priority").get<std::uint32_t>(),
                            Each.at("prefill_tokens").get<std::uint64_t>()});
}

LoadReport reportFrom(const json &Given) {
  LoadReport Result;
  Result.Id.Value = textMember(Given, "id");
  Result.Life.Value = hexMember(Given, "life");
  Result.MeasuredAt =
      fromMilliseconds(Given.at("measured_at").get<std::int64_t>());
  Result.Leaving = Given.at("leaving").get<bool>();
  Result.Running = Given.at("running").get<std::uint32_t>();
  Result.Queued = Given.at("queued").get<std::uint32_t>();
  Result.QueuedPrefillTokens =
      Given.at("queued_prefill_tokens").get<std::uint64_t>();
  Result.MemoryTokens = Given.at("memory_tokens").get<std::uint64_t>();
  Result.FreeMemoryTokens = Given.at("free_memory_tokens").get<std::uint64_t>();
  Result.PrefillTokensPerSecond =
      Given.at("prefill_tokens_per_second").get<double>();
  Result.DecodeTokensPerSecond =
      Given.at("decode_tokens_per_second").get<double>();
  Result.HighestFencing = Given.at("highest_fencing").get<LogOffset>();
  readLists(Given, Result);
  return Result;
}

} // namespace

LoadReport loadReportFromJson(std::string_view Body) {
  return readingJson([&] { return reportFrom(parseBoundedJson(Body)); });
}

CacheEventsReported cacheEventsFromJson(std::string_view Body,
                                        const UpstreamId &From) {
  return readingJson([&] {
    const json Given = parseBoundedJson(Body);
    CacheEventsReported Result{From, Incarnation(hexMember(Given, "life")), {}};
    for (const json &Each : Given.at("events"))
      Result.Events.push_back({Each.at("sequence").get<std::uint64_t>(),
                               Each.at("stored").get<bool>(),
                               hexMember(Each, "block")});
    return Result;
  });
}

} // namespace banyanpick
