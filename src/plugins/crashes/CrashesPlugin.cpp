#include "plugins/crashes/CrashesPlugin.h"

#include "base/EventNumbers.h"
#include "base/Visitor.h"
#include "kernel/PluginRegistry.h"

namespace banyanpick {

namespace {

QuarantineNotice noticeOf(const Crash &Each, Time Until) {
  QuarantineNotice Result;
  Result.Content = Each.Content;
  Result.Crashes = 1;
  Result.Until = Until;
  Result.Upstream = Each.Engine;
  return Result;
}

} // namespace

void CrashesPlugin::initialize(PluginContext &Context) {
  const Settings &Values = Context.settings();
  const std::string_view In = "crashes";
  this->Members = &Context.services().get<MembershipView>();
  this->KeepFor = Values.span(In, "keep_for");
  this->Book = CrashBook(Values.whole(In, "most"),
                         Values.span(In, "suspect_for"), this->KeepFor);
  Context.services().provide<CrashView>(*this);
  Context.services().list<RelayObserver>().add(*this);
  Context.services().list<EngineObserver>().add(*this);
  Context.services().list<MembershipObserver>().add(*this);
}

void CrashesPlugin::handle(const Event &What, Time Now, Actions &Out) {
  match(
      What,
      [&](const PeerMessageReceived &Is) {
        const auto *Notice = std::get_if<QuarantineNotice>(&Is.Message.Body);
        if (!Notice)
          return;
        const Crash Each{Notice->Content, Notice->Upstream};
        if (this->Book.add(Each, Now))
          this->log(Each, Is.Message.From.Value, Out);
      },
      [](const auto &) {});
}

bool CrashesPlugin::isQuarantined(Fingerprint Content, Time) const {
  return this->Book.isQuarantined(Content);
}

void CrashesPlugin::attemptEnded(const RelayAttempt &Each,
                                 const RelayOutcome &Outcome, Time Now,
                                 Actions &Out) {
  match(
      Outcome,
      [&](const RelayBroken &Is) {
        if (Is.Reason == RelayBroken::Why::Reset)
          this->Book.suspect({Each.Content, Each.Engine}, Now);
      },
      // Nothing listens there any more: whatever ran there lately was cut off
      // by its death.
      [&](const RelayNeverSent &) { this->confirm(Each.Engine, Now, Out); },
      [](const auto &) {});
}

void CrashesPlugin::engineRemoved(const UpstreamId &Id, Time Now,
                                  Actions &Out) {
  this->confirm(Id, Now, Out);
  this->Book.age(Now);
}

void CrashesPlugin::memberChanged(const Member &Changed, Time Now,
                                  Actions &Out) {
  Incarnation &Known = this->Told[Changed.Listing.Id];
  const bool IsNew = Changed.Life != Incarnation() && Changed.Life != Known;
  if (!IsNew || Changed.State != MemberState::Alive)
    return;
  Known = Changed.Life;
  for (const Crash &Each : this->Book.all())
    Out.add(
        SendToPeer{Changed.Listing.Id, noticeOf(Each, Now + this->KeepFor)});
}

void CrashesPlugin::confirm(const UpstreamId &Engine, Time Now, Actions &Out) {
  for (const Crash &Each : this->Book.confirm(Engine, Now)) {
    this->log(Each, "here", Out);
    for (const HostId &Peer : this->Members->livePeers())
      Out.add(SendToPeer{Peer, noticeOf(Each, Now + this->KeepFor)});
  }
}

void CrashesPlugin::log(const Crash &Each, std::string_view From,
                        Actions &Out) const {
  Out.count("content_crashes");
  Out.log(logEvent(events::ContentCrashed)
              .with("content", Each.Content.Value)
              .with("engine", Each.Engine.Value)
              .with("crashes", this->Book.crashes(Each.Content))
              .with("quarantined",
                    this->Book.isQuarantined(Each.Content) ? "true" : "false")
              .with("from", From)
              .build());
}

std::vector<SettingDeclaration> CrashesPlugin::settings() {
  const std::string In = "crashes";
  return {
      {In, "most", SettingKind::Whole, "3",
       "A content that crashed so many upstreams is not run any more.", 2, 100},
      {In, "suspect_for", SettingKind::Span, "6s",
       "A connection lost is taken for a crash if the upstream's death shows "
       "within so long: three missed renewals of its registration and a "
       "margin.",
       100e3, 60e6},
      {In, "keep_for", SettingKind::Span, "10min",
       "How long a content is remembered after its last crash.", 1e6, 86400e6},
  };
}

namespace {

const PluginRegistration
    Registration({"crashes",
                  {"membership"},
                  CrashesPlugin::settings,
                  []() -> std::unique_ptr<Plugin> {
                    return std::make_unique<CrashesPlugin>();
                  },
                  PluginUse::Gateway});

} // namespace

} // namespace banyanpick
