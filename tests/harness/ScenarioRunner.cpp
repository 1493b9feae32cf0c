#include "harness/ScenarioRunner.h"

#include "harness/TestCatalogue.h"

#include <fmt/format.h>
#include <xxhash.h>

namespace banyanpick {

namespace {

/// Promises are checked this often while a scenario runs.
constexpr Duration CheckInterval = milliseconds(100);
/// After the last statement, for everything to come to rest.
constexpr Duration RestTime = seconds(150);

std::uint64_t contentNumber(const std::string &Name) {
  return XXH64(Name.data(), Name.size(), 0);
}

} // namespace

ScenarioRunner::ScenarioRunner(std::string_view Text)
    : Statements(parseScenario(Text)) {
  this->Options.ActionDelay = Duration(50);
}

const std::map<std::string, ScenarioRunner::Verb, std::less<>> &
ScenarioRunner::setupVerbs() {
  using Self = ScenarioRunner;
  static const std::map<std::string, Verb, std::less<>> All = {
      {"set", &Self::set},
      {"host", &Self::addHosts},
      {"engine", &Self::addEngines},
      {"application", &Self::addApplications},
      {"team", &Self::addTeams}};
  return All;
}

const std::map<std::string, ScenarioRunner::Verb, std::less<>> &
ScenarioRunner::eventVerbs() {
  using Self = ScenarioRunner;
  static const std::map<std::string, Verb, std::less<>> All = {
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
  // Settings come before the kernels that read them, teams before the log.
  for (const char *First : {"set", "team"})
    for (const Statement &Each : this->Statements)
      if (!Each.At && Each.Words[0] == First)
        (this->*setupVerbs().at(First))(Each);
  this->begin();
  for (const Statement &Each : this->Statements) {
    const auto &Verbs = Each.At ? eventVerbs() : setupVerbs();
    const auto Found = Verbs.find(Each.Words[0]);
    if (Found == Verbs.end())
      Each.fail("'" + Each.Words[0] + "' is not known here");
    if (Each.At)
      this->runUntil(this->Beginning + *Each.At);
    else if (Each.Words[0] == "set" || Each.Words[0] == "team")
      continue;
    (this->*Found->second)(Each);
  }
  this->runUntil(this->Deployment->now() + CheckInterval);
  this->mendAll();
  this->runUntil(this->Deployment->now() + RestTime);
  this->Checker->checkIdle();
}

void ScenarioRunner::begin() {
  this->Deployment = std::make_unique<VirtualDeployment>(this->Options);
  this->Checker = std::make_unique<PromiseChecker>(*this->Deployment);
  this->Beginning = this->Deployment->now();
  if (this->Tracing)
    this->Deployment->OnLogLine = [this](const std::string &Host,
                                         const LogEvent &Line) {
      this->Trace +=
          fmt::format("{:10.4f} {} {} {}",
                      inSeconds(this->Deployment->now() - this->Beginning),
                      Host, Line.Number, Line.Message);
      for (const LogField &Each : Line.Fields)
        this->Trace += fmt::format(" {}={}", Each.Key, Each.Value);
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

void ScenarioRunner::mendAll() {
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
  std::vector<std::string> All = this->Unmet;
  const auto &Broken = this->Deployment->violations();
  All.insert(All.end(), Broken.begin(), Broken.end());
  return All;
}

// --- setup

void ScenarioRunner::set(const Statement &Is) {
  if (Is.word(1) == "host-list-lag")
    this->Options.HostListLag = parseSpan(Is, Is.word(2));
  else if (Is.word(1) == "seed")
    this->Options.Seed = Is.number("seed", 1);
  else
    this->Options.Settings.push_back({Is.word(1), Is.word(2), Is.word(3)});
}

void ScenarioRunner::addHosts(const Statement &Is) {
  for (const std::string &Name : Is.names(1, {"zone"}))
    this->Deployment->addHost(Name, Is.after("zone", "a"));
}

void ScenarioRunner::addEngines(const Statement &Is) {
  for (const std::string &Name :
       Is.names(1, {"zone", "memory", "empty", "fencing", "speed"})) {
    EngineShape Shape;
    Shape.Id = UpstreamId(Name);
    Shape.MemoryTokens = Is.number("memory", Shape.MemoryTokens);
    Shape.PrefillTokensPerSecond =
        static_cast<double>(Is.number("speed", 50'000));
    Shape.ChecksFencing = Is.after("fencing", "yes") == "yes";
    if (!Is.has("empty"))
      Shape.Models = {ModelId(TestModel)};
    this->Deployment->addEngine(Shape, Is.after("zone", "a"));
  }
}

void ScenarioRunner::addApplications(const Statement &Is) {
  for (const std::string &Name : Is.names(1, {"zone"}))
    this->Deployment->addApplication(Name, TestService, Is.after("zone", "a"));
}

void ScenarioRunner::addTeams(const Statement &Is) {
  this->Teams = Is.names(1);
}

// --- faults

bool ScenarioRunner::isHost(const std::string &Name) const {
  return this->Deployment->hosts().contains(Name);
}

void ScenarioRunner::kill(const Statement &Is) {
  for (const std::string &Name : Is.names(1))
    this->isHost(Name) ? this->Deployment->killHost(Name)
                       : this->Deployment->killUpstream(Name);
}

void ScenarioRunner::restart(const Statement &Is) {
  for (const std::string &Name : Is.names(1))
    this->isHost(Name) ? this->Deployment->startHost(Name)
                       : this->Deployment->restartUpstream(Name);
}

void ScenarioRunner::freeze(const Statement &Is) {
  for (const std::string &Name : Is.names(1))
    this->Deployment->freeze(Name);
}

void ScenarioRunner::thaw(const Statement &Is) {
  for (const std::string &Name : Is.names(1))
    this->Deployment->thaw(Name);
}

void ScenarioRunner::stop(const Statement &Is) {
  for (const std::string &Name : Is.names(1))
    this->Deployment->stopHost(Name);
}

void ScenarioRunner::leave(const Statement &Is) {
  for (const std::string &Name : Is.names(1, {"quietly"}))
    this->Deployment->leaveUpstream(Name, !Is.has("quietly"));
}

void ScenarioRunner::cut(const Statement &Is) {
  const bool OneWay = Is.has("to");
  const std::string &From = Is.word(1);
  const std::string &To = Is.word(OneWay ? 3 : 2);
  this->Deployment->network().cut(From, To);
  if (!OneWay)
    this->Deployment->network().cut(To, From);
}

void ScenarioRunner::heal(const Statement &Is) {
  if (Is.word(1) == "all")
    return this->Deployment->network().healAll();
  this->Deployment->network().heal(Is.word(1), Is.word(2));
  this->Deployment->network().heal(Is.word(2), Is.word(1));
}

void ScenarioRunner::delay(const Statement &Is) {
  const Duration ExtraDelay = parseSpan(Is, Is.word(3));
  this->Deployment->network().setExtraDelay(Is.word(1), Is.word(2), ExtraDelay);
  this->Deployment->network().setExtraDelay(Is.word(2), Is.word(1), ExtraDelay);
}

void ScenarioRunner::log(const Statement &Is) {
  FakeLog &Log = this->Deployment->log();
  const std::string &What = Is.word(1);
  if (What == "down" || What == "up")
    Log.Down = What == "down";
  else if (What == "slow")
    Log.ServiceTime = parseSpan(Is, Is.word(2));
  else if (What == "lose-answers")
    Log.AnswersToLose += Is.number(What, 1);
  else if (What == "late") {
    Log.AppendsToDelay += Is.number(What, 1);
    Log.AppendDelay = parseSpan(Is, Is.word(3));
  } else if (What == "forget")
    Log.dropBefore(Log.end());
  else if (What == "retention")
    Log.Retention = parseSpan(Is, Is.word(2));
  else
    Is.fail("'" + What + "' is no fault of the log");
}

void ScenarioRunner::lose(const Statement &Is) {
  const std::string &What = Is.word(1);
  const std::string &Of = Is.word(2);
  const auto Count =
      Is.Words.size() > 3 ? static_cast<std::uint32_t>(Is.number(Of, 1)) : 1;
  if (What == "peer-messages") {
    this->Deployment->network().Loss = std::stod(Of);
    this->Deployment->network().Duplication = std::stod(Of);
  } else if (What == "answers")
    this->Deployment->applications().at(Of).AnswersToLose += Count;
  else if (What == "hold-answers")
    this->Deployment->engines().at(Of).HoldAnswersToLose += Count;
  else if (What == "order-answers")
    this->Deployment->engines().at(Of).OrderAnswersToLose += Count;
  else if (What == "cross")
    this->Deployment->engines().at(Of).BatchesToMisroute += Count;
  else if (What == "repeat")
    this->Deployment->engines().at(Of).BatchesToRepeat += Count;
  else if (What == "truncate")
    this->Deployment->engines().at(Of).BatchesToTruncate += Count;
  else if (What == "cache-events")
    this->Deployment->engines().at(Of).CacheEventLoss = 0.5;
  else
    Is.fail("'" + What + "' can't be lost");
}

void ScenarioRunner::poison(const Statement &Is) {
  this->Deployment->addPoison(Fingerprint(contentNumber(Is.word(1))),
                              parseSpan(Is, Is.after("back-after", "3s")));
}

// --- callers and operators

std::size_t ScenarioRunner::caller(const Statement &Is,
                                   const std::string &Name) const {
  const auto Found = this->Sent.find(Name);
  if (Found == this->Sent.end())
    Is.fail("no request is named '" + Name + "'");
  return Found->second;
}

void ScenarioRunner::send(const Statement &Is) {
  const std::string &Name = Is.word(1);
  const std::string &Class = Is.word(2);
  RequestHead Head = testRequest(
      Is.after("team", this->Teams.empty() ? "nobody" : this->Teams[0]), Class,
      Is.number("prompt", 1000), contentNumber(Is.after("content", Name)));
  Head.MaxOutputTokens = Is.number("output", 32);
  Head.Streamed = !Is.has("whole") && Class != "confirm";
  if (Class == "confirm") {
    Head.PromptTokens = std::min<std::uint64_t>(Head.PromptTokens, 100);
    Head.Blocks.clear();
    Head.Operation = this->Deployment->makeOperationKey();
  }
  if (const auto Text = Is.after("timeout"))
    Head.Timeout = parseSpan(Is, *Text);
  this->Sent[Name] = this->Deployment->send(Is.after("via", "h1"), Head);
  this->Deployment->callers().back().Name = Name;
}

void ScenarioRunner::resend(const Statement &Is) {
  const std::size_t First = this->caller(Is, Is.word(1));
  RequestHead Head = this->Deployment->callers()[First].Head;
  const std::string Name = Is.after("as", Is.word(1) + "'");
  this->Sent[Name] = this->Deployment->send(Is.after("via", "h1"), Head);
  this->Deployment->callers().back().Name = Name;
}

void ScenarioRunner::resume(const Statement &Is) {
  this->Deployment->resume(this->caller(Is, Is.word(1)), Is.after("via", "h1"));
}

void ScenarioRunner::disconnect(const Statement &Is) {
  this->Deployment->disconnect(this->caller(Is, Is.word(1)));
}

void ScenarioRunner::apply(const Statement &Is) {
  const std::string &Name = Is.word(1);
  SentChange &Made = this->Changes[Name];
  const auto Again = Is.after("again");
  if (Made.Set.Changes.empty()) {
    const std::string Team = Is.after("team", "house-1");
    TeamEntry Body = testTeam(Team);
    Body.Weight = static_cast<double>(Is.number("weight", 1));
    Body.Concurrent = static_cast<std::uint32_t>(Is.number("concurrent", 0));
    if (const auto Class = Is.after("only"))
      Body.Classes = {ClassId(*Class)};
    Made.Set.Id = ChangeId(Name);
    Made.Set.Author = OwnerId(TestOwner);
    Made.Set.Changes = {
        declared(EntryKind::Team, Team, Body, Is.number("base", 0))};
  }
  this->Deployment->askOperator(
      Is.after("via", "h1"), testKey(TestOwner), ApplyChanges{Made.Set},
      [this, Name](const OperatorAnswer &Answer) {
        SentChange &Of = this->Changes[Name];
        if (const auto *Yes = std::get_if<ChangesAccepted>(&Answer)) {
          Of.Verdict = "accepted";
          Of.Offset = Yes->Offset;
          this->Checker->noteAccepted(Yes->Offset);
        } else if (std::holds_alternative<ChangesRejected>(Answer))
          Of.Verdict = "rejected";
        else if (std::holds_alternative<OperatorRefused>(Answer))
          Of.Verdict = "refused";
      });
}

} // namespace banyanpick
