#include "harness/ScenarioRunner.h"

#include "harness/TestCatalogue.h"

#include <fmt/format.h>
#include <xxhash.h>

namespace banyanpick {

namespace {

/// Interval of the guarantee checks while a scenario runs.
constexpr Duration CheckInterval = milliseconds(100);
/// Time after the last statement for requests and recoveries to finish.
constexpr Duration SettleTime = seconds(150);

std::uint64_t contentNumber(const std::string &Name) {
  return XXH64(Name.data(), Name.size(), 0);
}

} // namespace

ScenarioRunner::ScenarioRunner(std::string_view Text)
    : Statements(parseScenario(Text)) {
  this->Options.ActionDelay = Duration(50);
}

const std::map<std::string, ScenarioRunner::Handler, std::less<>> &
ScenarioRunner::setupHandlers() {
  using Self = ScenarioRunner;
  static const std::map<std::string, Handler, std::less<>> All = {
      {"set", &Self::set},
      {"host", &Self::addHosts},
      {"engine", &Self::addEngines},
      {"application", &Self::addApplications},
      {"team", &Self::addTeams}};
  return All;
}

const std::map<std::string, ScenarioRunner::Handler, std::less<>> &
ScenarioRunner::eventHandlers() {
  using Self = ScenarioRunner;
  static const std::map<std::string, Handler, std::less<>> All = {
      {"kill", &Self::kill},     {"restart", &Self::restart},
      {"freeze", &Self::freeze}, {"thaw", &Self::thaw},
      {"stop", &Self::stop},     {"leave", &Self::leave},
      {"cut", &Self::cut},       {"heal", &Self::heal},
      {"delay", &Self::delay},   {"log", &Self::log},
      {"lose", &Self::lose},     {"poison", &Self::poison},
      {"send", &Self::send},     {"resend", &Self::resend},
      {"resume", &Self::resume}, {"hang-up", &Self::disconnect},
      {"apply", &Self::apply},   {"expect", &Self::expect}};
  return All;
}

void ScenarioRunner::run() {
  // Settings must be known before kernels are created, and teams before the
  // catalogue is written to the log.
  for (const char *Keyword : {"set", "team"})
    for (const Statement &Command : this->Statements)
      if (!Command.At && Command.Words[0] == Keyword)
        (this->*setupHandlers().at(Keyword))(Command);
  this->begin();
  for (const Statement &Command : this->Statements) {
    const auto &Handlers = Command.At ? eventHandlers() : setupHandlers();
    const auto Found = Handlers.find(Command.Words[0]);
    if (Found == Handlers.end())
      Command.fail("'" + Command.Words[0] + "' is not a known statement here");
    if (Command.At)
      this->runUntil(this->StartTime + *Command.At);
    else if (Command.Words[0] == "set" || Command.Words[0] == "team")
      continue;
    (this->*Found->second)(Command);
  }
  this->runUntil(this->Deployment->now() + CheckInterval);
  this->clearFaults();
  this->runUntil(this->Deployment->now() + SettleTime);
  this->Checker->checkIdle();
}

void ScenarioRunner::begin() {
  this->Deployment = std::make_unique<VirtualDeployment>(this->Options);
  this->Checker = std::make_unique<PromiseChecker>(*this->Deployment);
  this->StartTime = this->Deployment->now();
  if (this->Tracing)
    this->Deployment->OnLogLine = [this](const std::string &Host,
                                         const LogEvent &Line) {
      this->Trace +=
          fmt::format("{:10.4f} {} {} {}",
                      inSeconds(this->Deployment->now() - this->StartTime),
                      Host, Line.Number, Line.Message);
      for (const LogField &Field : Line.Fields)
        this->Trace += fmt::format(" {}={}", Field.Key, Field.Value);
      this->Trace += '\n';
    };
  if (!this->Teams.empty())
    this->Deployment->seedCatalogue(testCatalogue(this->Teams));
}

void ScenarioRunner::runUntil(Time Until) {
  while (this->Deployment->now() < Until) {
    this->Deployment->runFor(
        std::min(CheckInterval, Until - this->Deployment->now()));
    this->Checker->check();
  }
}

void ScenarioRunner::clearFaults() {
  this->Deployment->network().healAll();
  this->Deployment->log().Down = false;
  for (const auto &[Name, Host] : this->Deployment->hosts())
    if (Host->isFrozen())
      Host->thaw();
  for (const auto &[Name, Engine] : this->Deployment->engines())
    if (Engine.Frozen)
      this->Deployment->thaw(Name);
  for (const auto &[Name, Application] : this->Deployment->applications())
    if (Application.Frozen)
      this->Deployment->thaw(Name);
}

std::vector<std::string> ScenarioRunner::failures() const {
  std::vector<std::string> All = this->UnmetExpectations;
  const auto &Broken = this->Deployment->violations();
  All.insert(All.end(), Broken.begin(), Broken.end());
  return All;
}

// --- setup

void ScenarioRunner::set(const Statement &Command) {
  if (Command.word(1) == "host-list-lag")
    this->Options.HostListLag = parseDuration(Command, Command.word(2));
  else if (Command.word(1) == "seed")
    this->Options.Seed = Command.number("seed", 1);
  else
    this->Options.Settings.push_back(
        {Command.word(1), Command.word(2), Command.word(3)});
}

void ScenarioRunner::addHosts(const Statement &Command) {
  for (const std::string &Name : Command.names(1, {"zone"}))
    this->Deployment->addHost(Name, Command.after("zone", "a"));
}

void ScenarioRunner::addEngines(const Statement &Command) {
  for (const std::string &Name :
       Command.names(1, {"zone", "memory", "empty", "fencing", "speed"})) {
    EngineShape Shape;
    Shape.Id = UpstreamId(Name);
    Shape.MemoryTokens = Command.number("memory", Shape.MemoryTokens);
    Shape.PrefillTokensPerSecond =
        static_cast<double>(Command.number("speed", 50'000));
    Shape.ChecksFencing = Command.after("fencing", "yes") == "yes";
    if (!Command.has("empty"))
      Shape.Models = {ModelId(TestModel)};
    this->Deployment->addEngine(Shape, Command.after("zone", "a"));
  }
}

void ScenarioRunner::addApplications(const Statement &Command) {
  for (const std::string &Name : Command.names(1, {"zone"}))
    this->Deployment->addApplication(Name, TestService,
                                     Command.after("zone", "a"));
}

void ScenarioRunner::addTeams(const Statement &Command) {
  this->Teams = Command.names(1);
}

// --- faults

bool ScenarioRunner::isHost(const std::string &Name) const {
  return this->Deployment->hosts().contains(Name);
}

void ScenarioRunner::kill(const Statement &Command) {
  for (const std::string &Name : Command.names(1))
    this->isHost(Name) ? this->Deployment->killHost(Name)
                       : this->Deployment->killUpstream(Name);
}

void ScenarioRunner::restart(const Statement &Command) {
  for (const std::string &Name : Command.names(1))
    this->isHost(Name) ? this->Deployment->startHost(Name)
                       : this->Deployment->restartUpstream(Name);
}

void ScenarioRunner::freeze(const Statement &Command) {
  for (const std::string &Name : Command.names(1))
    this->Deployment->freeze(Name);
}

void ScenarioRunner::thaw(const Statement &Command) {
  for (const std::string &Name : Command.names(1))
    this->Deployment->thaw(Name);
}

void ScenarioRunner::stop(const Statement &Command) {
  for (const std::string &Name : Command.names(1))
    this->Deployment->stopHost(Name);
}

void ScenarioRunner::leave(const Statement &Command) {
  for (const std::string &Name : Command.names(1, {"quietly"}))
    this->Deployment->leaveUpstream(Name, !Command.has("quietly"));
}

void ScenarioRunner::cut(const Statement &Command) {
  const bool OneWay = Command.has("to");
  const std::string &From = Command.word(1);
  const std::string &To = Command.word(OneWay ? 3 : 2);
  this->Deployment->network().cut(From, To);
  if (!OneWay)
    this->Deployment->network().cut(To, From);
}

void ScenarioRunner::heal(const Statement &Command) {
  if (Command.word(1) == "all")
    return this->Deployment->network().healAll();
  this->Deployment->network().heal(Command.word(1), Command.word(2));
  this->Deployment->network().heal(Command.word(2), Command.word(1));
}

void ScenarioRunner::delay(const Statement &Command) {
  const Duration ExtraDelay = parseDuration(Command, Command.word(3));
  this->Deployment->network().setExtraDelay(Command.word(1), Command.word(2),
                                            ExtraDelay);
  this->Deployment->network().setExtraDelay(Command.word(2), Command.word(1),
                                            ExtraDelay);
}

void ScenarioRunner::log(const Statement &Command) {
  FakeLog &Log = this->Deployment->log();
  const std::string &Fault = Command.word(1);
  if (Fault == "down" || Fault == "up")
    Log.Down = Fault == "down";
  else if (Fault == "slow")
    Log.ServiceTime = parseDuration(Command, Command.word(2));
  else if (Fault == "lose-answers")
    Log.AnswersToLose += Command.number(Fault, 1);
  else if (Fault == "late") {
    Log.AppendsToDelay += Command.number(Fault, 1);
    Log.AppendDelay = parseDuration(Command, Command.word(3));
  } else if (Fault == "forget")
    Log.dropBefore(Log.end());
  else if (Fault == "retention")
    Log.Retention = parseDuration(Command, Command.word(2));
  else
    Command.fail("'" + Fault + "' is not a fault of the log");
}

void ScenarioRunner::lose(const Statement &Command) {
  const std::string &Fault = Command.word(1);
  const std::string &Target = Command.word(2);
  const auto Count = Command.Words.size() > 3
                         ? static_cast<std::uint32_t>(Command.number(Target, 1))
                         : 1;
  if (Fault == "peer-messages") {
    this->Deployment->network().Loss = std::stod(Target);
    this->Deployment->network().Duplication = std::stod(Target);
  } else if (Fault == "answers")
    this->Deployment->applications().at(Target).AnswersToLose += Count;
  else if (Fault == "hold-answers")
    this->Deployment->engines().at(Target).HoldAnswersToLose += Count;
  else if (Fault == "order-answers")
    this->Deployment->engines().at(Target).OrderAnswersToLose += Count;
  else if (Fault == "cross")
    this->Deployment->engines().at(Target).BatchesToMisroute += Count;
  else if (Fault == "repeat")
    this->Deployment->engines().at(Target).BatchesToRepeat += Count;
  else if (Fault == "truncate")
    this->Deployment->engines().at(Target).BatchesToTruncate += Count;
  else if (Fault == "cache-events")
    this->Deployment->engines().at(Target).CacheEventLoss = 0.5;
  else
    Command.fail("'" + Fault + "' can't be lost");
}

void ScenarioRunner::poison(const Statement &Command) {
  this->Deployment->addPoison(
      Fingerprint(contentNumber(Command.word(1))),
      parseDuration(Command, Command.after("back-after", "3s")));
}

// --- callers and operators

std::size_t ScenarioRunner::caller(const Statement &Command,
                                   const std::string &Name) const {
  const auto Found = this->CallersByName.find(Name);
  if (Found == this->CallersByName.end())
    Command.fail("no request is named '" + Name + "'");
  return Found->second;
}

void ScenarioRunner::send(const Statement &Command) {
  const std::string &Name = Command.word(1);
  const std::string &Class = Command.word(2);
  RequestHead Head = testRequest(
      Command.after("team", this->Teams.empty() ? "nobody" : this->Teams[0]),
      Class, Command.number("prompt", 1000),
      contentNumber(Command.after("content", Name)));
  Head.MaxOutputTokens = Command.number("output", 32);
  Head.Streamed = !Command.has("whole") && Class != "confirm";
  if (Class == "confirm") {
    Head.PromptTokens = std::min<std::uint64_t>(Head.PromptTokens, 100);
    Head.Blocks.clear();
    Head.Operation = this->Deployment->makeOperationKey();
  }
  if (const auto Text = Command.after("timeout"))
    Head.Timeout = parseDuration(Command, *Text);
  this->CallersByName[Name] =
      this->Deployment->send(Command.after("via", "h1"), Head);
  this->Deployment->callers().back().Name = Name;
}

void ScenarioRunner::resend(const Statement &Command) {
  const std::size_t First = this->caller(Command, Command.word(1));
  RequestHead Head = this->Deployment->callers()[First].Head;
  const std::string Name = Command.after("as", Command.word(1) + "'");
  this->CallersByName[Name] =
      this->Deployment->send(Command.after("via", "h1"), Head);
  this->Deployment->callers().back().Name = Name;
}

void ScenarioRunner::resume(const Statement &Command) {
  this->Deployment->resume(this->caller(Command, Command.word(1)),
                           Command.after("via", "h1"));
}

void ScenarioRunner::disconnect(const Statement &Command) {
  this->Deployment->disconnect(this->caller(Command, Command.word(1)));
}

void ScenarioRunner::apply(const Statement &Command) {
  const std::string &Name = Command.word(1);
  SentChange &Applied = this->Changes[Name];
  const auto Again = Command.after("again");
  if (Applied.Set.Changes.empty()) {
    const std::string Team = Command.after("team", "house-1");
    TeamEntry Body = testTeam(Team);
    Body.Weight = static_cast<double>(Command.number("weight", 1));
    Body.Concurrent =
        static_cast<std::uint32_t>(Command.number("concurrent", 0));
    if (const auto Class = Command.after("only"))
      Body.Classes = {ClassId(*Class)};
    Applied.Set.Id = ChangeId(Name);
    Applied.Set.Author = OwnerId(TestOwner);
    Applied.Set.Changes = {
        declared(EntryKind::Team, Team, Body, Command.number("base", 0))};
  }
  this->Deployment->sendOperatorRequest(
      Command.after("via", "h1"), testKey(TestOwner), ApplyChanges{Applied.Set},
      [this, Name](const OperatorAnswer &Answer) {
        SentChange &Answered = this->Changes[Name];
        if (const auto *Accepted = std::get_if<ChangesAccepted>(&Answer)) {
          Answered.Result = "accepted";
          Answered.Offset = Accepted->Offset;
          this->Checker->noteAccepted(Accepted->Offset);
        } else if (std::holds_alternative<ChangesRejected>(Answer))
          Answered.Result = "rejected";
        else if (std::holds_alternative<OperatorRefused>(Answer))
          Answered.Result = "refused";
      });
}

} // namespace banyanpick
