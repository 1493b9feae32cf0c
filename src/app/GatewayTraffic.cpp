#include "app/GatewayTraffic.h"

#include "app/TrafficLoop.h"
#include "base/EventNumbers.h"
#include "base/Visitor.h"
#include "logging/LineLog.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// Time limit for resolve requests. Callers wait one second.
constexpr milliseconds ResolveTimeout(900);

/// Upper bound of reports and of answers to orders, which are small. A larger
/// body is not read.
constexpr std::size_t MaxReportBytes = 256ULL * 1024;

/// Maximum number of unknown header names that are logged. Further names are
/// only counted.
constexpr std::size_t MaxUnknownHeaders = 32;

StoreObserved storeObserved(StoreObserved::Part Part, bool Reachable,
                            std::string_view Why) {
  return {Part, Reachable, std::string(Why)};
}

std::string_view name(ExchangeEnd End) {
  switch (End) {
  case ExchangeEnd::Complete:
    return "complete";
  case ExchangeEnd::CallerLeft:
    return "caller_left";
  case ExchangeEnd::Cut:
    return "cut";
  case ExchangeEnd::NotSent:
    return "not_sent";
  case ExchangeEnd::NoAnswer:
    break;
  }
  return "no_answer";
}

} // namespace

GatewayTraffic::GatewayTraffic(const GatewayContext &Context)
    : Context(Context), Io(1), Work(net::make_work_guard(this->Io)),
      Store(Context.Protocol.openStore(this->Io.get_executor(),
                                       Context.Values.Store)),
      Hosts(this->Io.get_executor(), *this->Store, Context),
      Links(this->Io.get_executor(), Context.Values.LinkIdle,
            Context.Values.LinksPerUpstream),
      Calls(this->Links, MaxReportBytes),
      ResolveAnswers(this->Io.get_executor()) {}

GatewayTraffic::~GatewayTraffic() { this->stop(); }

void GatewayTraffic::start(HttpServer &CallersServer) {
  this->Server = &CallersServer;
  this->followDeclarations();
  this->followEngines();
  this->Thread =
      std::thread([this] { runTrafficLoop(this->Io, this->Context.Clock); });
}

void GatewayTraffic::stop() {
  this->Io.stop();
  if (this->Thread.joinable())
    this->Thread.join();
}

void GatewayTraffic::post(std::vector<Action> Wanted) {
  net::post(this->Io, [this, Wanted = std::move(Wanted)] {
    for (const Action &NextAction : Wanted)
      this->perform(NextAction);
  });
}

void GatewayTraffic::spawn(Task<void> Work) {
  net::co_spawn(
      this->Io, std::move(Work), [this](const std::exception_ptr &Thrown) {
        try {
          if (Thrown)
            std::rethrow_exception(Thrown);
        } catch (const std::exception &Failure) {
          logTrafficException(Failure.what(), this->Context.Clock.now());
        }
      });
}

void GatewayTraffic::perform(const Action &Wanted) {
  match(
      Wanted, [&](const GatewayAction &Item) { this->perform(Item); },
      [&](const AnswerResolve &Item) {
        this->ResolveAnswers.answer(Item.Id.Value, Item);
      },
      [&](const ReadHostList &) { this->spawn(this->Hosts.readHosts()); },
      [](const auto &) {});
}

void GatewayTraffic::perform(const GatewayAction &Wanted) {
  match(
      Wanted, [&](const DispatchRelay &Item) { this->dispatch(Item); },
      [&](const CancelRelay &Item) {
        const auto Found = this->Runs.find(Item.Attempt);
        if (Found != this->Runs.end())
          Found->second->cancel();
      },
      [&](const RefuseRelay &Item) {
        if (const auto Side = this->caller(Item.Request))
          Side->refuse(this->Context.Protocol.callers().answerTo(Item));
      },
      [&](const DeliverFailure &Item) {
        if (const auto Side = this->caller(Item.Request))
          Side->deliverFailure(Item.Attempt);
      },
      [&](const BreakRelay &Item) {
        if (const auto Side = this->caller(Item.Request))
          Side->abort();
      },
      [&](const DecodeConfiguration &Item) {
        this->decode(Item.Document, ConfigurationSource::Peer);
      },
      [&](const LimitCallers &Item) { this->Server->setLimits(Item.Limits); },
      [&](const AskReport &Item) { this->spawn(this->requestReport(Item)); },
      [&](const ReserveMemory &Item) { this->spawn(this->reserve(Item)); },
      [&](const ReleaseMemory &Item) { this->spawn(this->release(Item)); },
      [&](const CloseCallers &) { this->Server->closeAfterAnswers(); },
      [&](const StopCallersServer &) { this->Server->stop(); },
      [&](const CloseEngines &Item) {
        this->ClosedEngines = {Item.Engines.begin(), Item.Engines.end()};
      },
      [&](const FollowStore &Item) { this->followStore(Item); },
      [&](const StoreQuarantine &Item) {
        this->spawn(this->Hosts.storeQuarantine(Item));
      },
      [&](const AnnounceHost &Item) {
        this->spawn(this->Hosts.announce(Item.Present));
      });
}

std::shared_ptr<CallerSide> GatewayTraffic::caller(const RequestId &Id) const {
  const auto Found = this->Callers.find(Id);
  return Found == this->Callers.end() ? nullptr : Found->second;
}

Task<void> GatewayTraffic::relay(HttpExchange &Exchange) {
  RelayHead Head =
      this->Context.Protocol.callers().readHead(Exchange.request());
  Head.Id = RequestId(++this->LastId);
  const RequestId Id = Head.Id;
  const auto Side = std::make_shared<CallerSide>(Exchange, Id);
  this->Callers[Id] = Side;
  Exchange.onDisconnect([this, Id] {
    this->Context.Events.send(CallerDisconnected{Id});
    if (const auto Disconnected = this->caller(Id))
      Disconnected->disconnected();
  });
  this->Context.Events.send(GatewayEvent(RelayArrived{std::move(Head)}));
  co_await Side->waitUntilFinished();
  this->Callers.erase(Id);
  co_await Side->sendFinalAnswer();
  this->count("caller_answers_ended", name(Exchange.end()));
}

Task<void> GatewayTraffic::resolve(HttpExchange &Exchange) {
  ResolveRequest Req =
      this->Context.Protocol.callers().readResolveRequest(Exchange);
  Req.Id = ResolveRequestId(++this->LastId);
  const std::uint64_t Id = Req.Id.Value;
  this->Context.Events.send(std::move(Req));
  const auto Answer = co_await this->ResolveAnswers.wait(Id, ResolveTimeout);
  if (!Answer || Answer->Hosts.empty())
    throw Error(ErrorKind::Unavailable, "no host is known that takes requests",
                "ask another host, or again in a moment");
  HttpAnswer Response = this->Context.Protocol.callers().answerTo(*Answer);
  co_await Exchange.respond(std::move(Response));
}

void GatewayTraffic::dispatch(const DispatchRelay &Order) {
  const auto Side = this->caller(Order.Request);
  if (!Side) {
    // The caller has its answer or has disconnected. Control is notified in
    // either case.
    this->Context.Events.send(
        GatewayEvent(RelayEnded{Order.Attempt, RelayDelivered{}}));
    return;
  }
  const EngineProtocol &Protocol = Order.IsForward
                                       ? this->Context.Protocol.hosts()
                                       : this->Context.Protocol.engines();
  auto Run = std::make_shared<EngineRun>(this->Io.get_executor(), Order, Side,
                                         this->Links, Protocol,
                                         this->Context.Values.RunLimits);
  this->Runs[Order.Attempt] = Run;
  this->spawn(this->runAttempt(std::move(Run), Order));
}

Task<void> GatewayTraffic::runAttempt(std::shared_ptr<EngineRun> Run,
                                      DispatchRelay Order) {
  const Time SentAt = this->Context.Clock.now();
  EngineRunListener Callbacks;
  Callbacks.OnSignals = [this, Engine = Order.Engine,
                         SentAt](const AnswerSignals &Signals) {
    this->reportSignals(Engine, SentAt, Signals);
  };
  Callbacks.OnFirstEvent = [this, Id = Order.Attempt] {
    this->Context.Events.send(GatewayEvent(RelayBegan{Id}));
  };
  Callbacks.MaySend = [this, &Order] { return this->maySend(Order); };
  // Control waits for the end of every attempt.
  RelayOutcome Outcome =
      RelayBroken{RelayBroken::Why::Malformed, false, std::nullopt};
  try {
    Outcome = co_await Run->run(Order.Deadline - SentAt, std::move(Callbacks));
  } catch (const std::exception &Failure) {
    logTrafficException(Failure.what(), this->Context.Clock.now());
  }
  this->Runs.erase(Order.Attempt);
  this->reportUnknownHeaders(*Run, Order.Engine);
  if (!Run->isCancelled())
    this->Context.Events.send(
        GatewayEvent(RelayEnded{Order.Attempt, std::move(Outcome)}));
}

bool GatewayTraffic::maySend(const DispatchRelay &Order) const {
  const bool IsClosed =
      this->ClosedEngines.contains(Order.Engine) ||
      std::ranges::any_of(Order.Helpers, [this](const HelperEngine &Helper) {
        return this->ClosedEngines.contains(Helper.Engine);
      });
  return !IsClosed &&
         !this->Backoffs.isBackingOff(Order.Engine, this->Context.Clock.now());
}

void GatewayTraffic::reportSignals(const UpstreamId &Engine, Time SentAt,
                                   const AnswerSignals &Signals) {
  if (Signals == AnswerSignals())
    return;
  const Time Now = this->Context.Clock.now();
  this->Backoffs.age(Now);
  this->Backoffs.take(Engine, Now + backoffLength(Signals.Backoff), Now);
  this->Context.Events.send(
      GatewayEvent(EngineSignalsReceived{Engine, SentAt, Signals}));
}

void GatewayTraffic::reportSignals(const UpstreamId &Engine, Time SentAt,
                                   const ClientResult &Result) {
  if (const auto *Answer = std::get_if<ClientAnswer>(&Result))
    this->reportSignals(
        Engine, SentAt,
        this->Context.Protocol.engines().signalsOf(Answer->Head));
}

void GatewayTraffic::reportUnknownHeaders(const EngineRun &Run,
                                          const UpstreamId &Engine) {
  for (const std::string &Name : Run.unknownHeaders()) {
    this->count("answer_headers_unknown", Name);
    const bool IsNew = this->UnknownHeaders.size() < MaxUnknownHeaders &&
                       this->UnknownHeaders.insert(Name).second;
    if (IsNew)
      writeLogLine(logEvent(events::AnswerHeaderUnknown)
                       .with("header", Name)
                       .with("engine", Engine.Value)
                       .build(),
                   this->Context.Clock.now());
  }
}

void GatewayTraffic::decode(const std::string &Document,
                            ConfigurationSource From) {
  const Time ReadAt = this->Context.Clock.now();
  try {
    this->Context.Events.send(GatewayEvent(ConfigurationRead{
        this->Context.Protocol.documents().readConfiguration(Document), From,
        ReadAt}));
  } catch (const std::exception &Failure) {
    this->Context.Events.send(
        GatewayEvent(ConfigurationUnreadable{Failure.what()}));
  }
}

void GatewayTraffic::followStore(const FollowStore &Order) {
  this->Engines->setMinInterval(this->Context.Values.Engines.MinInterval *
                                Order.Turns);
  this->Declarations->setFollowing(Order.Enabled);
  this->Engines->setFollowing(Order.Enabled);
  if (Order.Enabled)
    this->spawn(this->Hosts.readQuarantines());
}

void GatewayTraffic::followDeclarations() {
  KeyedFollower::Listener Callbacks;
  Callbacks.OnRecords = [this](std::span<const KeyedRecord> Records,
                               bool Complete, LogOffset UpTo) {
    this->takeEvacuations(Records, Complete, UpTo);
    for (const KeyedRecord &Record : Records)
      if (Record.Value &&
          this->Context.Protocol.documents().isConfiguration(Record.Key))
        this->decode(*Record.Value, ConfigurationSource::Store);
    this->Context.Events.send(GatewayEvent(DeclarationsRead{}));
  };
  Callbacks.OnReachable = [this](bool Reachable, std::string_view Why) {
    this->Context.Events.send(GatewayEvent(
        storeObserved(StoreObserved::Part::Configuration, Reachable, Why)));
  };
  this->Declarations = std::make_shared<KeyedFollower>(
      this->Io.get_executor(), *this->Store, StoreTopic::Declarations,
      this->Context.Values.Declarations, std::move(Callbacks));
  this->Declarations->start();
}

void GatewayTraffic::takeEvacuations(std::span<const KeyedRecord> Records,
                                     bool Complete, LogOffset UpTo) {
  const StoreDocuments &Documents = this->Context.Protocol.documents();
  EvacuationsRead Read;
  Read.Complete = Complete;
  Read.UpTo = UpTo;
  for (const KeyedRecord &Record : Records) {
    const std::optional<ZoneId> Zone = Documents.evacuatedZone(Record.Key);
    if (!Zone)
      continue;
    try {
      if (Zone->Value.empty())
        throw Error(ErrorKind::BadInput, "the key names no zone",
                    "remove the record and write one with the zone's name");
      if (Record.Value)
        Documents.checkEvacuation(*Record.Value);
    } catch (const Error &Failure) {
      this->count("evacuations_unreadable", "");
      writeLogLine(logEvent(events::EvacuationUnreadable)
                       .with("zone", Zone->Value)
                       .with("offset", Record.Offset)
                       .with("why", Failure.what())
                       .build(),
                   this->Context.Clock.now());
    }
    // The key holds all that is needed, so an unreadable value is in effect.
    if (!Zone->Value.empty())
      Read.Records.push_back({*Zone, Record.Value.has_value(), Record.Offset});
  }
  if (Complete || !Read.Records.empty())
    this->Context.Events.send(GatewayEvent(std::move(Read)));
}

void GatewayTraffic::followEngines() {
  KeyedFollower::Listener Callbacks;
  Callbacks.OnRecords = [this](std::span<const KeyedRecord> Records,
                               bool Complete, LogOffset UpTo) {
    this->takeEngines(Records, Complete, UpTo);
  };
  Callbacks.OnReachable = [this](bool Reachable, std::string_view Why) {
    this->Context.Events.send(GatewayEvent(
        storeObserved(StoreObserved::Part::Engines, Reachable, Why)));
  };
  this->Engines = std::make_shared<KeyedFollower>(
      this->Io.get_executor(), *this->Store, StoreTopic::Engines,
      this->Context.Values.Engines, std::move(Callbacks));
  this->Engines->start();
}

void GatewayTraffic::takeEngines(std::span<const KeyedRecord> Records,
                                 bool Complete, LogOffset UpTo) {
  EnginesRead Read;
  Read.Complete = Complete;
  Read.UpTo = UpTo;
  for (const KeyedRecord &Record : Records) {
    EngineChange Change;
    Change.Offset = Record.Offset;
    // A malformed record describes no usable engine, so the engine of this key
    // counts as removed until it registers again.
    Change.Removed = true;
    Change.Engine.Id = UpstreamId(Record.Key);
    try {
      if (Record.Key.empty())
        throw Error(ErrorKind::BadInput, "a record has no key",
                    "correct the program that writes it");
      if (Record.Value) {
        Change.Engine = this->Context.Protocol.documents().readEngine(
            Record.Key, *Record.Value);
        Change.Removed = false;
      }
    } catch (const std::exception &Failure) {
      this->count("registrations_malformed", "");
      writeLogLine(logEvent(events::RegistrationUnreadable)
                       .with("engine", Record.Key)
                       .with("offset", Record.Offset)
                       .with("why", Failure.what())
                       .build(),
                   this->Context.Clock.now());
    }
    Read.Changes.push_back(std::move(Change));
  }
  this->Context.Events.send(GatewayEvent(std::move(Read)));
}

Task<void> GatewayTraffic::requestReport(AskReport Wanted) {
  const EngineProtocol &Protocol = this->Context.Protocol.engines();
  const Time SentAt = this->Context.Clock.now();
  const ClientResult Result = co_await this->Calls.call(
      Wanted.Engine, Wanted.At, Protocol.reportRequest(),
      this->Context.Values.ReportTimeout);
  this->reportSignals(Wanted.Engine, SentAt, Result);
  const auto *Answer = std::get_if<ClientAnswer>(&Result);
  constexpr unsigned Ok = 200;
  try {
    if (Answer && Answer->Status == Ok) {
      this->Context.Events.send(GatewayEvent(
          EngineReported{Protocol.readReport(Wanted.Engine, Answer->Body)}));
      co_return;
    }
  } catch (const Error &Failure) {
    this->count("reports_malformed", Wanted.Engine.Value);
    writeLogLine(logEvent(events::ReportUnreadable)
                     .with("engine", Wanted.Engine.Value)
                     .with("why", Failure.what())
                     .build(),
                 this->Context.Clock.now());
  }
  const auto *Failure = std::get_if<ClientFailure>(&Result);
  const bool Refused = Failure && *Failure == ClientFailure::ConnectionRefused;
  this->Context.Events.send(GatewayEvent(
      EngineReportFailed{Wanted.Engine, Refused, Answer != nullptr}));
}

Task<void> GatewayTraffic::reserve(ReserveMemory Wanted) {
  const EngineProtocol &Protocol = this->Context.Protocol.engines();
  const Time SentAt = this->Context.Clock.now();
  // Does not reuse a connection: an order sent over a connection that is being
  // closed is lost without an error.
  const ClientResult Result = co_await this->Calls.call(
      Wanted.Engine, Wanted.At, Protocol.requestFor(Wanted),
      this->Context.Values.ReportTimeout, HttpClient::Reuse::No);
  this->reportSignals(Wanted.Engine, SentAt, Result);
  ReservationAnswered Answered{Wanted.Engine, Wanted.Name,
                               ReservationResult::Unknown};
  if (const auto *Answer = std::get_if<ClientAnswer>(&Result))
    Answered.Result = Protocol.readReservation(*Answer);
  else if (wasNotSent(std::get<ClientFailure>(Result)))
    Answered.Result = ReservationResult::Refused;
  this->Context.Events.send(GatewayEvent(std::move(Answered)));
}

Task<void> GatewayTraffic::release(ReleaseMemory Wanted) {
  const Time SentAt = this->Context.Clock.now();
  const ClientResult Result = co_await this->Calls.call(
      Wanted.Engine, Wanted.At,
      this->Context.Protocol.engines().requestFor(Wanted),
      this->Context.Values.ReportTimeout, HttpClient::Reuse::No);
  this->reportSignals(Wanted.Engine, SentAt, Result);
  this->count("releases", std::holds_alternative<ClientAnswer>(Result)
                              ? "answered"
                              : "unanswered");
}

void GatewayTraffic::count(std::string_view Name, std::string_view Label) {
  this->Context.HostMetrics.record(
      {RecordMeasurement::Kind::Count, Name, std::string(Label), 1});
}

} // namespace banyanpick
