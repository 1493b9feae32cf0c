#include "plugins/drain/DrainPlugin.h"

#include "base/EventNumbers.h"
#include "base/Visitor.h"
#include "kernel/PluginRegistry.h"

#include <algorithm>

namespace banyanpick {

namespace {

constexpr Duration CheckInterval = milliseconds(100);
/// Callers can use another host at once; the delay only spreads them.
constexpr Duration RetryAfter = milliseconds(100);

} // namespace

void DrainPlugin::initialize(PluginContext &Context) {
  const Settings &Values = Context.settings();
  this->Registry = &Context.services();
  this->Grace = Values.span("resolve", "ttl") + Values.span("drain", "slack");
  this->HandOverAfter = Values.span("drain", "hand_over_after");
  this->Budget = Values.span("drain", "budget");
  this->Linger = Values.span("drain", "linger");
  Context.services().provide<DrainView>(*this);
  Context.services().list<AdmissionGate>().add(*this);
}

void DrainPlugin::start(Time, Actions &) {
  this->Requests = &this->Registry->get<RequestTable>();
  this->Fleet = &this->Registry->get<FleetView>();
  this->Log = &this->Registry->get<LogWriter>();
  this->Handovers =
      StreamHandovers(this->Registry->get<MembershipView>(), *this->Requests);
}

void DrainPlugin::handle(const Event &Incoming, Time Now, Actions &Out) {
  match(
      Incoming, [&](const StopRequest &) { this->beginStop(Now, Out); },
      [&](const PeerMessageReceived &Received) {
        this->handlePeerMessage(Received.Message, Now, Out);
      },
      [](const auto &) {});
  if (this->Leaving && !this->Stopped)
    this->continueStop(Now, Out);
}

void DrainPlugin::checkInvariants(InvariantMonitor &Monitor, Time Now) const {
  const bool InTime = !this->Stopped || this->Requests->running() == 0 ||
                      Now >= this->StopRequestedAt + this->Budget;
  Monitor.require(InTime, "a planned stop within its budget cuts nothing off");
}

std::optional<NotRun> DrainPlugin::check(const Request &, Time Now) {
  if (Now < this->RefuseFrom)
    return std::nullopt;
  return NotRun{RefusalReason::Leaving, RetryAfter,
                "this host is stopping; ask resolve for another"};
}

void DrainPlugin::beginStop(Time Now, Actions &Out) {
  if (this->Leaving)
    return;
  this->Leaving = true;
  this->StopRequestedAt = Now;
  this->RefuseFrom = Now + this->Grace;
  Out.log(logEvent(events::DrainBegun)
              .with("running", this->Requests->running())
              .with("refuses_after_us", this->Grace.count())
              .build());
}

void DrainPlugin::handlePeerMessage(const PeerMessage &Message, Time Now,
                                    Actions &Out) {
  match(
      Message.Body,
      [&](const StreamHandover &Stream) {
        this->adopt(Message.From, Stream, Now, Out);
      },
      [&](const HandoverTaken &Answer) {
        this->Handovers.handleTaken(Message.From, Answer, Now, Out);
      },
      [](const auto &) {});
}

void DrainPlugin::adopt(const HostId &From, const StreamHandover &Stream,
                        Time Now, Actions &Out) {
  // The sender keeps the stream if it gets no answer.
  const bool CanServe = !this->Leaving && this->Fleet->find(Stream.Upstream);
  if (!CanServe)
    return;
  this->Requests->adopt(Stream, Now, Out);
  Out.log(logEvent(events::StreamTakenOver).with("from", From.Value).build());
  Out.add(SendToPeer{From, HandoverTaken{Stream.ResumeToken}});
}

void DrainPlugin::continueStop(Time Now, Actions &Out) {
  this->NextCheck = Now + CheckInterval;
  if (Now >= this->StopRequestedAt + this->HandOverAfter)
    this->Handovers.offer(Now, Out);
  // An outcome that is not yet in the log would be lost with this process.
  const bool Idle = Now >= this->RefuseFrom && this->Requests->running() == 0 &&
                    this->Log->unsettled() == 0;
  this->IdleSince = Idle ? std::min(this->IdleSince, Now) : Never;
  const bool Finished =
      this->IdleSince != Never && Now >= this->IdleSince + this->Linger;
  if (Finished || Now >= this->StopRequestedAt + this->Budget)
    this->stop(Out);
}

void DrainPlugin::stop(Actions &Out) {
  this->Stopped = true;
  this->NextCheck = Never;
  Out.log(logEvent(events::DrainEnded)
              .with("cut_off", this->Requests->running())
              .build());
  Out.add(StopNow{});
}

std::vector<SettingDeclaration> DrainPlugin::settings() {
  const std::string Section = "drain";
  return {{Section, "slack", SettingKind::Span, "1s",
           "How much longer than a resolve answer's time to live a stopping "
           "host takes new work.",
           0, 60e6},
          {Section, "hand_over_after", SettingKind::Span, "30s",
           "Streams still running so long after a stop was asked are handed to "
           "other entry hosts.",
           0, 3600e6},
          {Section, "budget", SettingKind::Span, "10min",
           "A stopping process ends at the latest after this, whatever runs; "
           "choose it longer than the longest promise.",
           1e6, 86400e6},
          {Section, "linger", SettingKind::Span, "500ms",
           "A stopping process waits so long after its last request, for last "
           "bytes and log records.",
           0, 60e6}};
}

namespace {

const PluginRegistration Registration({"drain",
                                       {"fleet", "membership", "resolve"},
                                       DrainPlugin::settings,
                                       []() -> std::unique_ptr<Plugin> {
                                         return std::make_unique<DrainPlugin>();
                                       }});

} // namespace

} // namespace banyanpick
