#include "plugins/routes/RoutesPlugin.h"

#include "base/EventNumbers.h"
#include "base/Visitor.h"
#include "kernel/PluginRegistry.h"
#include "wire/DocumentCompression.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// Size of a chunk; its transfer takes a few milliseconds on the smallest link.
constexpr std::size_t ChunkBytes = 16'384;

/// A larger document is not accepted from a peer; the store accepts none of
/// this size.
constexpr std::size_t MaxDocumentBytes = 16'000'000;

} // namespace

void RoutesPlugin::initialize(PluginContext &Context) {
  this->Registry = &Context.services();
  this->Members = &Context.services().get<MembershipView>();
  this->RandomSource = &Context.random();
  this->CheckInterval = Context.settings().span("routes", "peer_look_interval");
  this->StaleAfter = Context.settings().span("routes", "stale_after");
  this->PendingRequests = ChunkQueue(
      static_cast<double>(Context.settings().whole("routes", "relay_rate")));
  Context.services().provide<RouteView>(*this);
  Context.services().provide<InForceView>(*this);
}

void RoutesPlugin::start(Time Now, Actions &) { this->NextCheck = Now; }

void RoutesPlugin::handle(const Event &Incoming, Time Now, Actions &Out) {
  match(
      Incoming,
      [&](const GatewayEvent &Gateway) {
        if (std::holds_alternative<DeclarationsRead>(Gateway)) {
          this->Tracker.noteReport(Now);
          this->Tracker.noteStoreRead(Now);
        }
        if (const auto *Read = std::get_if<ConfigurationRead>(&Gateway))
          this->activate(*Read, Now, Out);
        if (const auto *Failure =
                std::get_if<ConfigurationUnreadable>(&Gateway)) {
          // A version that can't be decoded is not fetched again and does not
          // make the local one stale.
          this->UnreadableVersion = this->DecodingVersion;
          this->Tracker.setKnownUpTo(this->UnreadableVersion);
          Out.log(logEvent(events::ConfigurationUnreadable)
                      .with("why", Failure->Why)
                      .with("in_force", this->version())
                      .build());
        }
      },
      [&](const PeerMessageReceived &Received) {
        this->handlePeerMessage(Received, Now, Out);
      },
      [](const auto &) {});
  if (Now >= this->NextCheck)
    this->requestFromPeer(Now, Out);
  this->reportMissing(Now, Out);
  this->sendChunks(Now, Out);
}

Time RoutesPlugin::nextWake() const {
  return std::min(this->NextCheck, this->PendingRequests.nextSendTime());
}

bool RoutesPlugin::isStale(Time Now) const {
  return this->Tracker.isOlderThan(this->StaleAfter, Now);
}

bool RoutesPlugin::mayBeOutdated(Time Now) const {
  const ConfigurationFreshness Current = this->Tracker.freshness(Now);
  return Current.MissingVersion != 0 || Current.ReportAge >= this->StaleAfter;
}

std::vector<VersionInForce> RoutesPlugin::recentVersions(Time Now) const {
  return this->Tracker.recent(Now);
}

ConfigurationFreshness RoutesPlugin::freshness(Time Now) const {
  return this->Tracker.freshness(Now);
}

bool RoutesPlugin::isReady() const {
  const auto *Drain = this->Registry->find<DrainView>();
  return this->Table && !(Drain && Drain->isLeaving());
}

std::uint64_t RoutesPlugin::version() const {
  return this->Table ? this->Table->version() : 0;
}

void RoutesPlugin::activate(const ConfigurationRead &Read, Time Now,
                            Actions &Out) {
  const bool IsFromStore = Read.From == ConfigurationSource::Store;
  if (IsFromStore)
    this->Tracker.noteReport(Now);
  if (this->Table && Read.Declared->Version <= this->version())
    return;
  const std::uint64_t PreviousVersion = this->version();
  this->Table = std::make_unique<RouteTable>(Read.Declared);
  this->HighestVersion = std::max(this->HighestVersion, this->version());
  if (IsFromStore)
    this->Tracker.noteReadFromStore(this->version(), Read.ReadAt.value_or(Now));
  this->Tracker.activated(this->version(), Now);
  Out.add(GatewayAction(LimitCallers{Read.Declared->Limits}));
  Out.log(logEvent(events::ConfigurationInForce)
              .with("version", this->version())
              .with("before", PreviousVersion)
              .with("from",
                    Read.From == ConfigurationSource::Store ? "store" : "peer")
              .with("routes", Read.Declared->Routes.size())
              .with("keys", Read.Declared->Keys.size())
              .build());
  Out.count("configurations_taken",
            Read.From == ConfigurationSource::Store ? "store" : "peer");
}

void RoutesPlugin::handlePeerMessage(const PeerMessageReceived &Received,
                                     Time Now, Actions &Out) {
  const PeerMessage &Message = Received.Message;
  match(
      Message.Body,
      [&](const ConfigurationRequest &Request) {
        if (this->version() > Request.NewerThan)
          this->PendingRequests.add(Message.From, Request, Now);
      },
      [&](const ConfigurationRelayed &Chunk) {
        this->receiveChunk(Message.From, Chunk, Now, Out);
      },
      [&](const Heartbeat &Beat) {
        this->handleHeartbeat(Message.From, Beat,
                              Received.ReceivedAt.value_or(Now), Now, Out);
      },
      [](const auto &) {});
}

bool RoutesPlugin::isNewer(std::uint64_t Version) const {
  return Version > std::max(this->version(), this->DecodingVersion);
}

void RoutesPlugin::handleHeartbeat(const HostId &From, const Heartbeat &Beat,
                                   Time ReceivedAt, Time Now, Actions &Out) {
  this->Tracker.noteReport(ReceivedAt);
  if (Beat.StoreAge != Duration::max())
    this->Tracker.noteStoreRead(ReceivedAt - Beat.StoreAge);
  for (const VersionInForce &Recent : Beat.RecentVersions)
    this->Tracker.noteInForce(Recent.Version, ReceivedAt - Recent.Age);
  this->Tracker.noteInForce(Beat.InForce, ReceivedAt);
  // Requests the version at once, because a revoked key must stop working on
  // this host too.
  if (this->isNewer(Beat.InForce) && this->Fetch.mayRequest(Now))
    Out.add(SendToPeer{From, this->Fetch.makeRequest(this->version(), Now)});
}

void RoutesPlugin::receiveChunk(const HostId &From,
                                const ConfigurationRelayed &Chunk, Time Now,
                                Actions &Out) {
  if (!this->isNewer(Chunk.Version))
    return;
  ConfigurationFetch::Progress Progress = this->Fetch.addChunk(Chunk, Now);
  if (Progress.NeedsNextChunk)
    Out.add(SendToPeer{From, this->Fetch.makeRequest(this->version(), Now)});
  if (!Progress.Document)
    return;
  auto Document = decompressDocument(*Progress.Document, MaxDocumentBytes);
  if (!Document) {
    Out.count("configurations_malformed", From.Value);
    Out.log(logEvent(events::PeerConfigurationMalformed)
                .with("version", Chunk.Version)
                .with("from", From.Value)
                .with("bytes", Progress.Document->size())
                .build());
    return;
  }
  this->DecodingVersion = Chunk.Version;
  this->Packed = std::move(*Progress.Document);
  this->PackedVersion = Chunk.Version;
  Out.add(GatewayAction(DecodeConfiguration{std::move(*Document)}));
}

void RoutesPlugin::sendChunks(Time Now, Actions &Out) {
  while (const auto Next = this->PendingRequests.next(Now)) {
    const std::string &Document = this->packed();
    const ConfigurationRequest &Request = Next->Request;
    const bool Continues =
        Request.Version == this->version() && Request.From < Document.size();
    const std::uint64_t From = Continues ? Request.From : 0;
    ConfigurationRelayed Chunk{this->version(),
                               Document.substr(From, ChunkBytes), From,
                               Document.size()};
    this->PendingRequests.recordSent(Chunk.Chunk.size(), Now);
    Out.count("configuration_pieces_sent");
    Out.add(SendToPeer{Next->Peer, std::move(Chunk)});
  }
}

const std::string &RoutesPlugin::packed() {
  if (this->PackedVersion != this->version()) {
    this->Packed = compressDocument(this->Table->configuration().Document);
    this->PackedVersion = this->version();
  }
  return this->Packed;
}

void RoutesPlugin::requestFromPeer(Time Now, Actions &Out) {
  this->NextCheck = Now + this->CheckInterval;
  std::vector<const Member *> MostCurrent;
  for (const Member &Candidate : this->Members->peers()) {
    if (Candidate.State == MemberState::Dead ||
        !this->isNewer(Candidate.InForce))
      continue;
    if (!MostCurrent.empty() &&
        Candidate.InForce > MostCurrent.front()->InForce)
      MostCurrent.clear();
    if (MostCurrent.empty() ||
        Candidate.InForce == MostCurrent.front()->InForce)
      MostCurrent.push_back(&Candidate);
  }
  if (MostCurrent.empty() || !this->Fetch.mayRequest(Now))
    return;
  // Chooses a peer at random, so that hosts do not all ask the same one.
  const Member &Peer =
      *MostCurrent[this->RandomSource->below(MostCurrent.size())];
  Out.add(SendToPeer{Peer.Listing.Id,
                     this->Fetch.makeRequest(this->version(), Now)});
}

void RoutesPlugin::reportMissing(Time Now, Actions &Out) {
  if (!this->isStale(Now))
    return;
  const ConfigurationFreshness Current = this->Tracker.freshness(Now);
  if (Current.MissingVersion == this->ReportedMissing)
    return;
  this->ReportedMissing = Current.MissingVersion;
  Out.log(logEvent(events::ConfigurationMissing)
              .with("version", Current.MissingVersion)
              .with("in_force", this->version())
              .with("known_for_us", Current.MissingFor.count())
              .build());
}

void RoutesPlugin::checkInvariants(InvariantMonitor &Monitor, Time) const {
  Monitor.require(this->version() == this->HighestVersion,
                  "the configuration never goes back");
}

std::vector<SettingDeclaration> RoutesPlugin::settings() {
  return {{"routes", "peer_look_interval", SettingKind::Span, "250ms",
           "How often a host that lags behind its peers asks one of them for "
           "the configuration.",
           50e3, 10e6},
          {"routes", "relay_rate", SettingKind::Whole, "1250000",
           "Bytes a second of the configuration that a host sends its peers in "
           "all; half of the smallest host's link.",
           16e3, 1e9},
          {"routes", "stale_after", SettingKind::Span, "2500ms",
           "A host that has known for so long that a newer configuration is in "
           "force elsewhere refuses requests until it has it; under the time "
           "in which operators expect it in force everywhere.",
           100e3, 600e6}};
}

namespace {

const PluginRegistration
    Registration({"routes",
                  {"membership"},
                  RoutesPlugin::settings,
                  []() -> std::unique_ptr<Plugin> {
                    return std::make_unique<RoutesPlugin>();
                  },
                  PluginUse::Gateway});

} // namespace

} // namespace banyanpick
