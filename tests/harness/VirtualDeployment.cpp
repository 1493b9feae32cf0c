#include "harness/VirtualDeployment.h"

#include "base/Visitor.h"
#include "kernel/PluginRegistry.h"

#include <fmt/format.h>

namespace banyanpick {

namespace {

/// Start of virtual time: 2026-01-01 00:00 UTC.
constexpr Time StartTime{seconds(1767225600)};

/// One-way delay between a caller and an entry host.
constexpr Duration CallerDelay = milliseconds(2);
constexpr Duration ReconnectDelay = milliseconds(100);

/// Returns the time limit for the complete answer, by the class and the
/// request.
Duration answerTimeLimit(const ClassEntry &Class, const RequestHead &Head) {
  const auto Prompt = static_cast<Duration::rep>(Head.PromptTokens);
  const auto Output = static_cast<Duration::rep>(Head.MaxOutputTokens);
  const Duration Limit = Class.FirstTokenBase + Class.AnswerBase +
                         Class.FirstTokenPerThousandTokens * Prompt / 1000 +
                         Class.AnswerPerToken * Output;
  return std::min(Limit, Head.Timeout.value_or(Limit));
}

} // namespace

VirtualDeployment::VirtualDeployment(DeploymentOptions Options)
    : Options(std::move(Options)), Rng(this->Options.Seed), Queue(StartTime) {}

VirtualDeployment::~VirtualDeployment() = default;

void VirtualDeployment::addHost(const std::string &Name,
                                const std::string &Zone) {
  HostListing Listing;
  Listing.Id = HostId(Name);
  Listing.Zone = ZoneId(Zone);
  const auto Port = static_cast<std::uint16_t>(7000 + this->Hosts.size());
  Listing.Callers = Address{"10.0.0.1", Port};
  Listing.Peers = Address{"10.0.0.2", Port};
  this->Net.place(Name, Zone);
  this->PublishedHostList.Hosts.push_back(Listing);
  this->Hosts.emplace(Name, std::make_unique<VirtualHost>(*this, Listing));
  this->startHost(Name);
}

void VirtualDeployment::addEngine(EngineShape Shape, const std::string &Zone) {
  UpstreamListing Listing;
  Listing.Id = Shape.Id;
  Listing.Life = Shape.Life = this->newIncarnation();
  Listing.Zone = ZoneId(Zone);
  Listing.ChecksFencing = Shape.ChecksFencing;
  Listing.At = Address{"10.0.1.1",
                       static_cast<std::uint16_t>(8000 + this->Engines.size())};
  this->Net.place(Shape.Id.Value, Zone);
  this->PublishedHostList.Upstreams.push_back(Listing);
  this->Engines.emplace(Shape.Id.Value, FakeEngine(Listing, Shape));
  this->publishHostList();
}

void VirtualDeployment::addApplication(const std::string &Name,
                                       const std::string &Service,
                                       const std::string &Zone) {
  FakeApplication Added;
  Added.Listing.Id = UpstreamId(Name);
  Added.Listing.Life = this->newIncarnation();
  Added.Listing.Kind = UpstreamKind::Application;
  Added.Listing.Zone = ZoneId(Zone);
  Added.Listing.Application = Service;
  Added.Listing.At = Address{
      "10.0.2.1", static_cast<std::uint16_t>(9000 + this->Applications.size())};
  this->Net.place(Name, Zone);
  this->PublishedHostList.Upstreams.push_back(Added.Listing);
  this->Applications.emplace(Name, std::move(Added));
  this->publishHostList();
}

void VirtualDeployment::seedCatalogue(std::vector<Change> Changes) {
  ChangeSet Set;
  Set.Id = ChangeId("seed-" + std::to_string(++this->RecordsSeeded));
  Set.Author = Changes.empty() ? OwnerId() : Changes.front().Owner;
  Set.Changes = std::move(Changes);
  const RecordId Id{Incarnation(1), this->RecordsSeeded};
  this->storeInLog({LogRecord{Id, ConfigurationRecord{std::move(Set)}}});
}

std::size_t VirtualDeployment::send(const std::string &Host, RequestHead Head) {
  const std::size_t Caller = this->Callers.size();
  CallerRecord Made;
  Made.Host = Host;
  Made.Head = std::move(Head);
  Made.SentAt = this->now();
  this->Callers.push_back(std::move(Made));
  this->Queue.after(CallerDelay, [this, Caller, Host] {
    VirtualHost &To = *this->Hosts.at(Host);
    if (!To.isRunning() || this->Net.isCut("callers", Host))
      return this->connectionLost(Caller);
    if (To.isFrozen())
      this->Callers[Caller].HostWasFrozen = true;
    To.whenRunning(To.life(), [this, &To, Caller] {
      To.connect(Caller, this->Callers[Caller].Head);
    });
  });
  return Caller;
}

void VirtualDeployment::resume(std::size_t Caller, const std::string &Host) {
  this->Callers[Caller].ConnectionLost = false;
  this->Callers[Caller].EndedAt.reset();
  this->Callers[Caller].Host = Host;
  this->Queue.after(CallerDelay, [this, Caller, Host] {
    VirtualHost &To = *this->Hosts.at(Host);
    if (!To.isRunning())
      return this->connectionLost(Caller);
    To.whenRunning(To.life(), [this, &To, Caller] {
      const CallerRecord &Record = this->Callers[Caller];
      To.reconnect(Caller, Record.ResumeToken, Record.Next);
    });
  });
}

void VirtualDeployment::disconnect(std::size_t Caller) {
  CallerRecord &Record = this->Callers[Caller];
  Record.Disconnected = Record.ConnectionLost = true;
  VirtualHost &From = *this->Hosts.at(Record.Host);
  From.whenRunning(From.life(), [&From, Caller] { From.disconnect(Caller); });
}

OperationKey VirtualDeployment::makeOperationKey() {
  const auto Ms = static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(this->now().time_since_epoch())
          .count());
  const std::uint64_t High = this->Rng.below(0x1000);
  const std::uint64_t Low = this->Rng.below(std::uint64_t(1) << 62);
  return OperationKey(fmt::format("{:08x}-{:04x}-7{:03x}-{:04x}-{:012x}",
                                  (Ms >> 16) & 0xffffffff, Ms & 0xffff, High,
                                  0x8000 | (Low >> 48), Low & 0xffffffffffff));
}

void VirtualDeployment::sendResolveRequest(
    const std::string &Host, const std::string &Team, const std::string &Zone,
    std::function<void(const AnswerResolve &)> Answered) {
  const std::uint64_t Id = ++this->LastQuestionId;
  this->ResolveCallbacks[Id] = std::move(Answered);
  this->Hosts.at(Host)->deliver(
      ResolveRequest{ResolveRequestId(Id), TeamId(Team), ZoneId(Zone)});
}

void VirtualDeployment::sendOperatorRequest(
    const std::string &Host, const std::string &OperatorKey,
    OperatorQuestion Question,
    std::function<void(const OperatorAnswer &)> Answered) {
  const std::uint64_t Id = ++this->LastQuestionId;
  this->OperatorCallbacks[Id] = std::move(Answered);
  this->Hosts.at(Host)->deliver(
      OperatorRequest{OperatorRequestId(Id), OperatorKey, std::move(Question)});
}

void VirtualDeployment::resolved(const AnswerResolve &Answer) {
  const auto Found = this->ResolveCallbacks.extract(Answer.Id.Value);
  if (Found)
    Found.mapped()(Answer);
}

void VirtualDeployment::operatorAnswered(const AnswerOperator &Answer) {
  const auto Found = this->OperatorCallbacks.extract(Answer.Id.Value);
  if (Found)
    Found.mapped()(Answer.Answer);
}

bool VirtualDeployment::isConnected(const std::string &One,
                                    const std::string &Other) const {
  return !this->Net.isCut(One, Other) && !this->Net.isCut(Other, One);
}

bool VirtualDeployment::canLearnFrom(const std::string &Host,
                                     const std::string &Service) const {
  if (this->isConnected(Host, Service))
    return true;
  for (const auto &[Name, Peer] : this->Hosts)
    if (Name != Host && Peer->isRunning() && !Peer->isFrozen() &&
        this->isConnected(Host, Name) && this->isConnected(Name, Service))
      return true;
  return false;
}

void VirtualDeployment::violation(const std::string &Problem) {
  this->Violations.push_back(
      std::to_string(inSeconds(this->now() - StartTime)) + " s: " + Problem);
}

void VirtualDeployment::measured(const RecordMeasurement &Measurement) {
  if (Measurement.As != RecordMeasurement::Kind::Count)
    return;
  this->Counts[std::string(Measurement.Name)] += Measurement.Value;
  if (Measurement.Name == "invariants_broken")
    this->violation("invariant broken: " + Measurement.Label);
}

std::unique_ptr<Kernel>
VirtualDeployment::makeKernel(const HostListing &Listing, Incarnation Life,
                              std::uint64_t Seed) {
  Settings Values = Settings::defaults(pluginSettings());
  for (const SettingOverride &Override : this->Options.Settings) {
    const std::string Problem =
        Values.set(Override.Section, Override.Key, Override.Value);
    if (!Problem.empty())
      throw Error(ErrorKind::BadInput, Problem, "correct the override");
  }
  auto Made = std::make_unique<Kernel>(
      Identity{Listing.Id, Life, Listing.Zone, Listing.Callers, Listing.Peers},
      Values, Seed);
  if (this->Options.CheckEveryEvent)
    Made->checkEveryEvent();
  return Made;
}

Incarnation VirtualDeployment::newIncarnation() {
  return Incarnation(this->Rng.below(~0ULL) + 1);
}

// --- entry hosts

void VirtualDeployment::sendPeer(VirtualHost &From, const SendToPeer &Wanted) {
  const std::string To = Wanted.To.Value;
  if (!this->Hosts.contains(To) || this->Net.isCut(From.name(), To))
    return;
  if (this->Net.Loss > 0 && this->Rng.fraction() < this->Net.Loss)
    return;
  const bool Twice =
      this->Net.Duplication > 0 && this->Rng.fraction() < this->Net.Duplication;
  const PeerMessage Message{HostId(From.name()), From.life(), Wanted.Body};
  if (this->OnPeerMessage)
    this->OnPeerMessage(Message);
  for (int Copy = 0; Copy < (Twice ? 2 : 1); ++Copy)
    this->Queue.after(
        this->Net.delay(From.name(), To) * (1 + 3 * Copy), [this, To, Message] {
          this->Hosts.at(To)->deliver(PeerMessageReceived{Message});
        });
}

void VirtualDeployment::startHost(const std::string &Name) {
  // Compilers evaluate arguments in different orders.
  const std::uint64_t Seed = this->Rng.below(~0ULL);
  const Incarnation Life = this->newIncarnation();
  this->Hosts.at(Name)->start(Life, Seed);
  this->publishHostList();
}

void VirtualDeployment::killHost(const std::string &Name) {
  this->Hosts.at(Name)->kill();
  this->publishHostList();
}

void VirtualDeployment::stopHost(const std::string &Name) {
  this->Hosts.at(Name)->deliver(StopRequest{});
}

// --- callers

void VirtualDeployment::accepted(std::size_t Caller, VirtualHost &From,
                                 const std::string &Token) {
  CallerRecord &Record = this->Callers[Caller];
  Record.AcceptedAt = this->now();
  Record.ResumeToken = Token;
  const auto &View = From.kernel().services().get<CatalogueView>();
  if (const ClassEntry *Class = View.catalogue().classOf(Record.Head.Class))
    Record.Deadline = Record.SentAt + answerTimeLimit(*Class, Record.Head);
}

void VirtualDeployment::chunksTo(std::size_t Caller, VirtualHost &From,
                                 Fingerprint Content, std::uint64_t First,
                                 std::uint64_t End) {
  CallerRecord &Record = this->Callers[Caller];
  if (!Record.isOpen() || Record.Host != From.name())
    return;
  if (Content != Record.Head.Content)
    ++Record.ForeignChunks;
  if (First != Record.Next)
    ++Record.OutOfOrderChunks;
  Record.Next = End;
  if (!Record.FirstTokenAt)
    Record.FirstTokenAt = this->now() + CallerDelay;
}

void VirtualDeployment::answerTo(std::size_t Caller, VirtualHost &From,
                                 const FinalAnswer &Answer) {
  CallerRecord &Record = this->Callers[Caller];
  ++Record.FinalAnswers;
  if (Record.FinalAnswers > 1)
    this->violation(From.name() + " sent two final answers to a request");
  Record.Answer = Answer;
  Record.EndedAt = this->now() + CallerDelay;
}

void VirtualDeployment::redirectTo(std::size_t Caller, const Address &To,
                                   const std::string &Token) {
  ++this->Callers[Caller].Redirects;
  this->Callers[Caller].ResumeToken = Token;
  for (const auto &[Name, Host] : this->Hosts)
    if (Host->listing().Callers == To)
      return this->Queue.after(ReconnectDelay, [this, Caller, Name = Name] {
        this->resume(Caller, Name);
      });
  this->violation("a caller is redirected to an unknown address");
}

void VirtualDeployment::connectionLost(std::size_t Caller) {
  CallerRecord &Record = this->Callers[Caller];
  if (Record.Answer)
    return;
  Record.ConnectionLost = true;
  Record.EndedAt = this->now();
}

void VirtualDeployment::connectionsLost(const std::string &Host) {
  for (std::size_t Index = 0; Index < this->Callers.size(); ++Index)
    if (this->Callers[Index].Host == Host && this->Callers[Index].isOpen())
      this->connectionLost(Index);
}

} // namespace banyanpick
