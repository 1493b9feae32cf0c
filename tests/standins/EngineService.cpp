#include "standins/EngineService.h"

#include "base/Error.h"
#include "standins/ChunkText.h"
#include "standins/WireText.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <span>
#include <unistd.h>
#include <xxhash.h>

namespace banyanpick::standins {

namespace {

namespace http = boost::beast::http;
using nlohmann::json;

/// A prompt that contains this text makes the engine process exit.
constexpr std::string_view CrashMarker = "CRASH-ENGINE";

/// Time after the deadline during which a stream is kept for attaching.
constexpr Duration StreamRetention = seconds(30);

/// Maximum time between two checks of the simulated engine.
constexpr milliseconds MaxSleep(20);

constexpr std::uint64_t BytesPerToken = 4;
constexpr std::uint64_t BlockBytes = PromptBlockTokens * BytesPerToken;

std::vector<BlockHash> blocksOf(std::string_view Prompt) {
  std::vector<BlockHash> Blocks;
  BlockHash Previous = 0;
  while (Prompt.size() >= BlockBytes) {
    Previous = XXH64(Prompt.data(), BlockBytes, Previous);
    Blocks.push_back(Previous);
    Prompt.remove_prefix(BlockBytes);
  }
  return Blocks;
}

/// Parses the holds of the header X-Holds: `ID,ID`.
std::vector<HoldId> holdsOf(std::string_view Text) {
  std::vector<HoldId> Holds;
  while (!Text.empty()) {
    const std::string_view First = Text.substr(0, Text.find(','));
    Holds.push_back(parseSequencedId<HoldTag>(First));
    Text.remove_prefix(std::min(First.size() + 1, Text.size()));
  }
  return Holds;
}

EngineJob jobOf(const Exchange &Incoming, const json &Body) {
  const auto &Prompt = Body.at("prompt").get_ref<const std::string &>();
  EngineJob Job;
  Job.Attempt = parseSequencedId<AttemptTag>(Incoming.header("X-Attempt"));
  Job.Owner = Incoming.header("X-Owner");
  Job.PromptTokens = std::max<std::uint64_t>(1, Prompt.size() / BytesPerToken);
  Job.OutputTokens = Body.at("max_tokens").get<std::uint64_t>();
  Job.StartIndex = Body.value<std::uint64_t>("start_index", 0);
  Job.Priority =
      static_cast<std::uint32_t>(parseInteger(Incoming.header("X-Priority")));
  Job.Blocks = blocksOf(Prompt);
  Job.Deadline = fromMilliseconds(parseInteger(Incoming.header("X-Deadline")));
  Job.Holds = holdsOf(Incoming.header("X-Holds"));
  Job.HasGroup = !Job.Holds.empty();
  return Job;
}

std::string attemptText(const AttemptId &Attempt) {
  return toHex(Attempt.Maker.Value) + "-" + toHex(Attempt.Sequence);
}

std::string_view refusalText(EngineModel::SubmitResult Result) {
  switch (Result) {
  case EngineModel::SubmitResult::NoMemory:
    return "no-memory";
  case EngineModel::SubmitResult::Leaving:
    return "leaving";
  default:
    return "busy";
  }
}

json holdJson(const HoldReport &Hold) {
  constexpr std::array Kinds{"stream", "group-hold", "export"};
  return {{"kind", Kinds[static_cast<std::size_t>(Hold.Kind)]},
          {"owner_life", toHex(Hold.OwnerLife)},
          {"sequence", Hold.Sequence},
          {"owner", Hold.OwnerHost},
          {"tokens", Hold.Tokens},
          {"deadline", toMilliseconds(Hold.Deadline)}};
}

json loadJson(const LoadReport &Report) {
  json Models = json::array();
  for (const ModelId &ModelName : Report.Models)
    Models.push_back(ModelName.Value);
  json Holds = json::array();
  for (const HoldReport &Hold : Report.Holds)
    Holds.push_back(holdJson(Hold));
  json Backlog = json::array();
  for (const PriorityBacklog &Entry : Report.Backlog)
    Backlog.push_back({{"priority", Entry.Priority},
                       {"prefill_tokens", Entry.PrefillTokens}});
  return {{"id", Report.Id.Value},
          {"life", toHex(Report.Life.Value)},
          {"measured_at", toMilliseconds(Report.MeasuredAt)},
          {"leaving", Report.Leaving},
          {"running", Report.Running},
          {"queued", Report.Queued},
          {"queued_prefill_tokens", Report.QueuedPrefillTokens},
          {"memory_tokens", Report.MemoryTokens},
          {"free_memory_tokens", Report.FreeMemoryTokens},
          {"prefill_tokens_per_second", Report.PrefillTokensPerSecond},
          {"decode_tokens_per_second", Report.DecodeTokensPerSecond},
          {"highest_fencing", Report.HighestFencing},
          {"models", std::move(Models)},
          {"holds", std::move(Holds)},
          {"backlog", std::move(Backlog)}};
}

OrderBody orderOf(const json &Body) {
  const std::string Action = Body.at("action").get<std::string>();
  const ModelId Model(Body.value("model", ""));
  if (Action == "load")
    return LoadModel{Model, Body.value("weights", "")};
  if (Action == "unload")
    return UnloadModel{Model};
  if (Action == "role")
    return ChangeRole{Body.value("takes_long", false)};
  throw Error(ErrorKind::BadInput, "unknown action " + Action,
              "give load, unload or role");
}

} // namespace

EngineService::EngineService(EngineShape Shape) : Model(std::move(Shape)) {}

void EngineService::handle(Exchange &Incoming) {
  const auto Path = Incoming.path();
  const std::string First = Path.empty() ? "" : Path[0];
  if (First == "v1" && Path.size() == 2 && Path[1] == "completions")
    return this->complete(Incoming);
  if (First == "v1" && Path.size() == 3 && Path[1] == "streams")
    return this->streams(Incoming, Path[2]);
  if (First == "load")
    return this->answerLoad(Incoming);
  if (First == "cache-events")
    return this->answerCacheEvents(Incoming);
  if (First == "holds" && Path.size() == 2)
    return this->holds(Incoming, Path[1]);
  if (First == "orders")
    return this->orders(Incoming);
  if (First == "admin")
    return this->configure(Incoming);
  Incoming.answer(404, {{"error", {{"message", "no such path"}}}});
}

void EngineService::runSteps() {
  std::unique_lock Lock(this->Mutex);
  for (;;) {
    const Time Now = wallNow();
    this->recordOutputs(Now);
    this->dropExpired(Now);
    const Duration Sleep =
        this->Model.nextStep() == Never
            ? Duration(MaxSleep)
            : std::min<Duration>(this->Model.nextStep() - Now, MaxSleep);
    this->Changed.wait_for(Lock, Sleep);
  }
}

void EngineService::recordOutputs(Time Now) {
  const auto Outputs = this->Model.advance(Now);
  for (const EngineModel::Output &Output : Outputs) {
    Stream &Target = this->Streams[Output.Attempt];
    Target.Produced = Output.FirstIndex + Output.Count;
    Target.Ended = Output.Ended;
  }
  if (!Outputs.empty())
    this->Changed.notify_all();
}

void EngineService::dropExpired(Time Now) {
  for (auto &[Attempt, Stored] : this->Streams)
    if (Stored.Deadline <= Now && !Stored.Ended)
      Stored.Dropped = true;
  std::erase_if(this->Streams, [Now](const auto &Stored) {
    return Stored.second.Deadline + StreamRetention <= Now;
  });
}

bool EngineService::hasModel(const ModelId &Requested) {
  const std::lock_guard Lock(this->Mutex);
  const auto &Models = this->Model.shape().Models;
  return std::find(Models.begin(), Models.end(), Requested) != Models.end();
}

void EngineService::complete(Exchange &Incoming) {
  const json Body = json::parse(Incoming.body());
  const auto &Prompt = Body.at("prompt").get_ref<const std::string &>();
  if (Prompt.find(CrashMarker) != std::string::npos)
    _exit(EXIT_FAILURE);
  if (!this->hasModel(ModelId(Body.value("model", ""))))
    return Incoming.answer(503, {{"refused", "no-model"}});
  const EngineJob Job = jobOf(Incoming, Body);
  const EngineModel::SubmitResult Result =
      this->submit(Job, hashOfPrompt(Prompt));
  if (Result != EngineModel::SubmitResult::Accepted)
    return Incoming.answer(503, {{"refused", refusalText(Result)}});
  this->sendStream(Incoming, Job.Attempt, Job.StartIndex);
}

EngineModel::SubmitResult EngineService::submit(const EngineJob &Job,
                                                std::uint64_t Hash) {
  const std::lock_guard Lock(this->Mutex);
  const Time Now = wallNow();
  this->recordOutputs(Now);
  const EngineModel::SubmitResult Result = this->Model.submit(Job, Now);
  if (Result == EngineModel::SubmitResult::Accepted)
    this->Streams[Job.Attempt] = {Hash, Job.StartIndex, Job.Deadline, false,
                                  false};
  this->Changed.notify_all();
  return Result;
}

void EngineService::sendStream(Exchange &Incoming, const AttemptId &Attempt,
                               std::uint64_t From) {
  const std::string Name = attemptText(Attempt);
  Incoming.beginEvents();
  std::uint64_t Next = From;
  for (;;) {
    Stream Current;
    {
      std::unique_lock Lock(this->Mutex);
      this->Changed.wait(Lock, [&] {
        const auto Found = this->Streams.find(Attempt);
        if (Found == this->Streams.end())
          Current.Dropped = true;
        else
          Current = Found->second;
        return Current.Produced > Next || Current.Ended || Current.Dropped;
      });
    }
    std::string Events;
    for (; Next < Current.Produced; ++Next)
      Events += fmt::format("data: {}\n\n",
                            json{{"attempt", Name},
                                 {"index", Next},
                                 {"text", chunkText(Next, Current.PromptHash)}}
                                .dump());
    if (Current.Ended)
      Events += fmt::format("event: end\ndata: {}\n\n",
                            json{{"attempt", Name}, {"count", Next}}.dump());
    else if (Current.Dropped)
      Events += fmt::format(
          "event: error\ndata: {}\n\n",
          json{{"attempt", Name}, {"message", "cancelled or too late"}}.dump());
    Incoming.sendEvents(Events);
    if (Current.Ended || Current.Dropped)
      return Incoming.endEvents();
  }
}

void EngineService::streams(Exchange &Incoming, const std::string &Name) {
  const auto Attempt = parseSequencedId<AttemptTag>(Name);
  bool Exists = false;
  {
    const std::lock_guard Lock(this->Mutex);
    const auto Found = this->Streams.find(Attempt);
    Exists = Found != this->Streams.end();
    if (Incoming.method() == http::verb::delete_) {
      this->Model.cancel(Attempt, wallNow());
      if (Exists && !Found->second.Ended)
        Found->second.Dropped = true;
      this->Changed.notify_all();
    }
  }
  if (Incoming.method() == http::verb::delete_)
    return Incoming.answer(200, json::object());
  if (!Exists)
    return Incoming.answer(404, {{"error", {{"message", "no such stream"}}}});
  this->sendStream(Incoming, Attempt, Incoming.queryNumber("from", 0));
}

void EngineService::holds(Exchange &Incoming, const std::string &Name) {
  const auto Hold = parseSequencedId<HoldTag>(Name);
  bool Granted = true;
  {
    const std::lock_guard Lock(this->Mutex);
    if (Incoming.method() == http::verb::delete_) {
      this->Model.releaseHold(Hold);
    } else {
      const json Body = json::parse(Incoming.body());
      Granted = this->Model.takeHold(
          Hold, Body.value("owner", ""), Body.at("tokens").get<std::uint64_t>(),
          fromMilliseconds(Body.at("deadline").get<std::int64_t>()));
    }
  }
  Incoming.answer(Granted ? 200 : 409, json::object());
}

void EngineService::orders(Exchange &Incoming) {
  const json Body = json::parse(Incoming.body());
  OrderResult Result;
  LogOffset Highest = 0;
  {
    const std::lock_guard Lock(this->Mutex);
    Result =
        this->Model.order(Body.at("fencing").get<LogOffset>(), orderOf(Body));
    Highest = this->Model.report(wallNow()).HighestFencing;
  }
  const bool Accepted = Result == OrderResult::Accepted;
  Incoming.answer(Accepted ? 200 : 412, {{"highest_fencing", Highest}});
}

void EngineService::answerLoad(Exchange &Incoming) {
  LoadReport Report;
  {
    const std::lock_guard Lock(this->Mutex);
    Report = this->Model.report(wallNow());
  }
  Incoming.answer(200, loadJson(Report));
}

void EngineService::answerCacheEvents(Exchange &Incoming) {
  std::vector<CacheEvent> Events;
  std::string Life;
  {
    const std::lock_guard Lock(this->Mutex);
    Events = this->Model.cacheEventsAfter(Incoming.queryNumber("after", 0),
                                          wallNow());
    Life = toHex(this->Model.shape().Life.Value);
  }
  json Listed = json::array();
  for (const CacheEvent &Event : Events)
    Listed.push_back({{"sequence", Event.Sequence},
                      {"stored", Event.Stored},
                      {"block", toHex(Event.Block)}});
  Incoming.answer(200, {{"life", Life}, {"events", std::move(Listed)}});
}

/// Sets options of the body: `{"leaving": B}`.
void EngineService::configure(Exchange &Incoming) {
  const json Requested = json::parse(Incoming.body());
  {
    const std::lock_guard Lock(this->Mutex);
    this->Model.setLeaving(Requested.value("leaving", false));
  }
  Incoming.answer(200, json::object());
}

} // namespace banyanpick::standins
