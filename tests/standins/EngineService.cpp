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

/// A prompt with this text ends the process that runs it.
constexpr std::string_view CrashMarker = "CRASH-ENGINE";

/// How long ended streams can still be attached to.
constexpr Duration StreamsKept = seconds(30);

/// The longest sleep between two looks at the modelled engine.
constexpr milliseconds LongestSleep(20);

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

/// `ID,ID`, as X-Holds gives them.
std::vector<HoldId> holdsOf(std::string_view Text) {
  std::vector<HoldId> Holds;
  while (!Text.empty()) {
    const std::string_view First = Text.substr(0, Text.find(','));
    Holds.push_back(parseSequencedId<HoldTag>(First));
    Text.remove_prefix(std::min(First.size() + 1, Text.size()));
  }
  return Holds;
}

EngineJob jobOf(const Exchange &Each, const json &Asked) {
  const auto &Prompt = Asked.at("prompt").get_ref<const std::string &>();
  EngineJob Job;
  Job.Attempt = parseSequencedId<AttemptTag>(Each.header("X-Attempt"));
  Job.Owner = Each.header("X-Owner");
  Job.PromptTokens = std::max<std::uint64_t>(1, Prompt.size() / BytesPerToken);
  Job.OutputTokens = Asked.at("max_tokens").get<std::uint64_t>();
  Job.StartIndex = Asked.value<std::uint64_t>("start_index", 0);
  Job.Priority =
      static_cast<std::uint32_t>(parseInteger(Each.header("X-Priority")));
  Job.Blocks = blocksOf(Prompt);
  Job.Deadline = fromMilliseconds(parseInteger(Each.header("X-Deadline")));
  Job.Holds = holdsOf(Each.header("X-Holds"));
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
  for (const ModelId &Each : Report.Models)
    Models.push_back(Each.Value);
  json Holds = json::array();
  for (const HoldReport &Each : Report.Holds)
    Holds.push_back(holdJson(Each));
  json Backlog = json::array();
  for (const PriorityBacklog &Each : Report.Backlog)
    Backlog.push_back(
        {{"priority", Each.Priority}, {"prefill_tokens", Each.PrefillTokens}});
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

OrderBody orderOf(const json &Asked) {
  const std::string Action = Asked.at("action").get<std::string>();
  const ModelId Model(Asked.value("model", ""));
  if (Action == "load")
    return LoadModel{Model, Asked.value("weights", "")};
  if (Action == "unload")
    return UnloadModel{Model};
  if (Action == "role")
    return ChangeRole{Asked.value("takes_long", false)};
  throw Error(ErrorKind::BadInput, "unknown action " + Action,
              "give load, unload or role");
}

} // namespace

EngineService::EngineService(EngineShape Shape) : Model(std::move(Shape)) {}

void EngineService::handle(Exchange &Each) {
  const auto Path = Each.path();
  const std::string First = Path.empty() ? "" : Path[0];
  if (First == "v1" && Path.size() == 2 && Path[1] == "completions")
    return this->complete(Each);
  if (First == "v1" && Path.size() == 3 && Path[1] == "streams")
    return this->streams(Each, Path[2]);
  if (First == "load")
    return this->giveLoad(Each);
  if (First == "cache-events")
    return this->giveCacheEvents(Each);
  if (First == "holds" && Path.size() == 2)
    return this->holds(Each, Path[1]);
  if (First == "orders")
    return this->orders(Each);
  if (First == "admin")
    return this->configure(Each);
  Each.answer(404, {{"error", {{"message", "no such path"}}}});
}

void EngineService::runSteps() {
  std::unique_lock Lock(this->Mutex);
  for (;;) {
    const Time Now = wallNow();
    this->takeOutputs(Now);
    this->dropExpired(Now);
    const Duration Sleep =
        this->Model.nextStep() == Never
            ? Duration(LongestSleep)
            : std::min<Duration>(this->Model.nextStep() - Now, LongestSleep);
    this->Changed.wait_for(Lock, Sleep);
  }
}

void EngineService::takeOutputs(Time Now) {
  const auto Outputs = this->Model.advance(Now);
  for (const EngineModel::Output &Each : Outputs) {
    Stream &Given = this->Streams[Each.Attempt];
    Given.Produced = Each.FirstIndex + Each.Count;
    Given.Ended = Each.Ended;
  }
  if (!Outputs.empty())
    this->Changed.notify_all();
}

void EngineService::dropExpired(Time Now) {
  for (auto &[Attempt, Each] : this->Streams)
    if (Each.Deadline <= Now && !Each.Ended)
      Each.Dropped = true;
  std::erase_if(this->Streams, [Now](const auto &Each) {
    return Each.second.Deadline + StreamsKept <= Now;
  });
}

bool EngineService::hasModel(const ModelId &Wanted) {
  const std::lock_guard Lock(this->Mutex);
  const auto &Models = this->Model.shape().Models;
  return std::find(Models.begin(), Models.end(), Wanted) != Models.end();
}

void EngineService::complete(Exchange &Each) {
  const json Asked = json::parse(Each.body());
  const auto &Prompt = Asked.at("prompt").get_ref<const std::string &>();
  if (Prompt.find(CrashMarker) != std::string::npos)
    _exit(EXIT_FAILURE);
  if (!this->hasModel(ModelId(Asked.value("model", ""))))
    return Each.answer(503, {{"refused", "no-model"}});
  const EngineJob Job = jobOf(Each, Asked);
  const EngineModel::SubmitResult Result =
      this->submit(Job, hashOfPrompt(Prompt));
  if (Result != EngineModel::SubmitResult::Accepted)
    return Each.answer(503, {{"refused", refusalText(Result)}});
  this->follow(Each, Job.Attempt, Job.StartIndex);
}

EngineModel::SubmitResult EngineService::submit(const EngineJob &Job,
                                                std::uint64_t Hash) {
  const std::lock_guard Lock(this->Mutex);
  const Time Now = wallNow();
  this->takeOutputs(Now);
  const EngineModel::SubmitResult Result = this->Model.submit(Job, Now);
  if (Result == EngineModel::SubmitResult::Accepted)
    this->Streams[Job.Attempt] = {Hash, Job.StartIndex, Job.Deadline, false,
                                  false};
  this->Changed.notify_all();
  return Result;
}

void EngineService::follow(Exchange &Each, const AttemptId &Attempt,
                           std::uint64_t From) {
  const std::string Name = attemptText(Attempt);
  Each.beginEvents();
  std::uint64_t Next = From;
  for (;;) {
    Stream Now;
    {
      std::unique_lock Lock(this->Mutex);
      this->Changed.wait(Lock, [&] {
        const auto Found = this->Streams.find(Attempt);
        if (Found == this->Streams.end())
          Now.Dropped = true;
        else
          Now = Found->second;
        return Now.Produced > Next || Now.Ended || Now.Dropped;
      });
    }
    std::string Events;
    for (; Next < Now.Produced; ++Next)
      Events += fmt::format("data: {}\n\n",
                            json{{"attempt", Name},
                                 {"index", Next},
                                 {"text", chunkText(Next, Now.PromptHash)}}
                                .dump());
    if (Now.Ended)
      Events += fmt::format("event: end\ndata: {}\n\n",
                            json{{"attempt", Name}, {"count", Next}}.dump());
    else if (Now.Dropped)
      Events += fmt::format(
          "event: error\ndata: {}\n\n",
          json{{"attempt", Name}, {"message", "cancelled or too late"}}.dump());
    Each.sendEvents(Events);
    if (Now.Ended || Now.Dropped)
      return Each.endEvents();
  }
}

void EngineService::streams(Exchange &Each, const std::string &Name) {
  const auto Attempt = parseSequencedId<AttemptTag>(Name);
  bool Known = false;
  {
    const std::lock_guard Lock(this->Mutex);
    const auto Found = this->Streams.find(Attempt);
    Known = Found != this->Streams.end();
    if (Each.method() == http::verb::delete_) {
      this->Model.cancel(Attempt, wallNow());
      if (Known && !Found->second.Ended)
        Found->second.Dropped = true;
      this->Changed.notify_all();
    }
  }
  if (Each.method() == http::verb::delete_)
    return Each.answer(200, json::object());
  if (!Known)
    return Each.answer(404, {{"error", {{"message", "no such stream"}}}});
  this->follow(Each, Attempt, Each.queryNumber("from", 0));
}

void EngineService::holds(Exchange &Each, const std::string &Name) {
  const auto Hold = parseSequencedId<HoldTag>(Name);
  bool Granted = true;
  {
    const std::lock_guard Lock(this->Mutex);
    if (Each.method() == http::verb::delete_) {
      this->Model.releaseHold(Hold);
    } else {
      const json Asked = json::parse(Each.body());
      Granted = this->Model.takeHold(
          Hold, Asked.value("owner", ""),
          Asked.at("tokens").get<std::uint64_t>(),
          fromMilliseconds(Asked.at("deadline").get<std::int64_t>()));
    }
  }
  Each.answer(Granted ? 200 : 409, json::object());
}

void EngineService::orders(Exchange &Each) {
  const json Asked = json::parse(Each.body());
  OrderResult Result;
  LogOffset Highest = 0;
  {
    const std::lock_guard Lock(this->Mutex);
    Result =
        this->Model.order(Asked.at("fencing").get<LogOffset>(), orderOf(Asked));
    Highest = this->Model.report(wallNow()).HighestFencing;
  }
  const bool Accepted = Result == OrderResult::Accepted;
  Each.answer(Accepted ? 200 : 412, {{"highest_fencing", Highest}});
}

void EngineService::giveLoad(Exchange &Each) {
  LoadReport Report;
  {
    const std::lock_guard Lock(this->Mutex);
    Report = this->Model.report(wallNow());
  }
  Each.answer(200, loadJson(Report));
}

void EngineService::giveCacheEvents(Exchange &Each) {
  std::vector<CacheEvent> Events;
  std::string Life;
  {
    const std::lock_guard Lock(this->Mutex);
    Events =
        this->Model.cacheEventsAfter(Each.queryNumber("after", 0), wallNow());
    Life = toHex(this->Model.shape().Life.Value);
  }
  json Listed = json::array();
  for (const CacheEvent &Event : Events)
    Listed.push_back({{"sequence", Event.Sequence},
                      {"stored", Event.Stored},
                      {"block", toHex(Event.Block)}});
  Each.answer(200, {{"life", Life}, {"events", std::move(Listed)}});
}

/// `{"leaving": B}`.
void EngineService::configure(Exchange &Each) {
  const json Wanted = json::parse(Each.body());
  {
    const std::lock_guard Lock(this->Mutex);
    this->Model.setLeaving(Wanted.value("leaving", false));
  }
  Each.answer(200, json::object());
}

} // namespace banyanpick::standins
