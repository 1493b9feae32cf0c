#include "auto/gateway/GatewayBench.h"

#include <algorithm>

namespace banyanpick {

namespace {

Identity identity() {
  Identity Result;
  Result.Host = HostId("h1");
  Result.Life = Incarnation(11);
  Result.Zone = ZoneId("z");
  Result.Callers = {"127.0.0.1", 1};
  Result.Peers = {"127.0.0.1", 2};
  return Result;
}

/// No earlier process has used the retry budget.
Settings withWholeBudget(Settings Values) {
  Values.set("retry_budget", "withhold_at_start", "false");
  return Values;
}

} // namespace

GatewayBench::GatewayBench(std::span<const SettingChange> Changes)
    : GatewayBench(gatewaySettingsForTests(Changes)) {}

GatewayBench::GatewayBench(const Settings &Values)
    : Decider(identity(), withWholeBudget(Values), 7, ServingMode::Gateway) {
  this->Decider.checkEveryEvent();
  this->send(Tick{});
}

void GatewayBench::send(const Event &Input) {
  for (Action &Output : this->Decider.handle(Input, this->Now)) {
    if (const auto *Found = std::get_if<GatewayAction>(&Output))
      this->Done.push_back(*Found);
    if (const auto *Found = std::get_if<SendToPeer>(&Output))
      this->Sent.push_back(*Found);
    if (const auto *Found = std::get_if<WriteLogLine>(&Output))
      this->Lines.push_back(*Found);
    if (const auto *Found = std::get_if<AnswerResolve>(&Output))
      this->Hosts = Found->Hosts;
    this->Stopped |= std::holds_alternative<StopNow>(Output);
  }
}

void GatewayBench::advance(Duration For) {
  const Time Until = this->Now + For;
  while (this->Decider.nextWake() <= Until) {
    this->Now = std::max(this->Now + milliseconds(1), this->Decider.nextWake());
    if (this->Now > Until)
      break;
    this->send(Tick{});
  }
  this->Now = Until;
}

Heartbeat heartbeatOf(const char *Host, std::uint16_t CallersPort) {
  Heartbeat Result;
  Result.Sequence = 1;
  Result.Ready = true;
  HostListing Listing;
  Listing.Id = HostId(Host);
  Listing.Zone = ZoneId("z");
  Listing.Callers = {"127.0.0.1", CallersPort};
  Listing.Peers = {"127.0.0.1", static_cast<std::uint16_t>(CallersPort + 1)};
  Result.KnownHosts.push_back(Listing);
  return Result;
}

void GatewayBench::configure(std::uint64_t Version) {
  this->send(GatewayEvent(ConfigurationRead{gatewayDeclarations(Version),
                                            ConfigurationSource::Store}));
}

void GatewayBench::registerEngines(const char *Service, int Count,
                                   LogOffset From) {
  EnginesRead Read;
  for (int Number = 1; Number <= Count; ++Number) {
    EngineChange Change;
    Change.Engine.Id = UpstreamId("e" + std::to_string(Number));
    Change.Engine.Service = ServiceId(Service);
    Change.Engine.At = {"127.0.0.1", static_cast<std::uint16_t>(100 + Number)};
    Change.Engine.Zone = ZoneId("z");
    Change.Engine.Slots = 16;
    Change.Offset = From++;
    Read.Changes.push_back(std::move(Change));
  }
  Read.UpTo = From;
  this->send(GatewayEvent(
      StoreObserved{StoreObserved::Part::Engines, true, std::string()}));
  this->send(GatewayEvent(std::move(Read)));
}

void GatewayBench::registerEngineIn(const char *Zone, const char *Name,
                                    LogOffset Offset) {
  EngineChange Change;
  Change.Engine.Id = UpstreamId(Name);
  Change.Engine.Service = ServiceId("desk");
  Change.Engine.At = {"127.0.0.1", static_cast<std::uint16_t>(200 + Offset)};
  Change.Engine.Zone = ZoneId(Zone);
  Change.Engine.Slots = 16;
  Change.Offset = Offset;
  EnginesRead Read;
  Read.UpTo = Offset + 1;
  Read.Changes.push_back(std::move(Change));
  this->send(GatewayEvent(std::move(Read)));
}

std::size_t GatewayBench::logged(const EventKind &Kind) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(this->Lines, [&](const WriteLogLine &Written) {
        return Written.Line.Number == Kind.Number;
      }));
}

RelayHead GatewayBench::headOf(const RequestId &Id, std::string Path) {
  RelayHead Result;
  Result.Id = Id;
  Result.Host = "a.example";
  Result.Path = std::move(Path);
  Result.Key = "key";
  return Result;
}

RequestId GatewayBench::arrive(std::string Path, std::uint64_t PromptTokens,
                               Duration Remaining,
                               std::optional<Fingerprint> Content) {
  RelayHead Head = headOf(RequestId(++this->Requests), std::move(Path));
  Head.Remaining = Remaining;
  Head.PromptTokens = PromptTokens;
  Head.Content = Content.value_or(Fingerprint(Head.Id.Value));
  const RequestId Id = Head.Id;
  this->send(GatewayEvent(RelayArrived{std::move(Head)}));
  return Id;
}

void GatewayBench::reportCrash(Fingerprint Content, const char *Engine) {
  QuarantineNotice Notice;
  Notice.Content = Content;
  Notice.Upstream = UpstreamId(Engine);
  this->receive("h2", Notice);
}

void GatewayBench::report(const UpstreamId &Engine) {
  EngineReport Report;
  Report.Engine = Engine;
  this->send(GatewayEvent(EngineReported{Report}));
}

void GatewayBench::requestBackoff(const UpstreamId &Engine, Duration For) {
  AnswerSignals Signals;
  Signals.Backoff = BackoffRequested{For};
  this->send(GatewayEvent(EngineSignalsReceived{Engine, this->Now, Signals}));
}

void GatewayBench::endAttempt(const AttemptId &Attempt, RelayOutcome Outcome) {
  this->send(GatewayEvent(RelayEnded{Attempt, std::move(Outcome)}));
}

void GatewayBench::receive(const char *From, PeerMessageBody Body) {
  this->send(Event(PeerMessageReceived{
      PeerMessage{HostId(From), Incarnation(22), std::move(Body)}}));
}

} // namespace banyanpick
