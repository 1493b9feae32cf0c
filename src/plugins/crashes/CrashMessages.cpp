/// \file
/// What hosts tell each other of crashes, and the quarantines in the store.
#include "base/EventNumbers.h"
#include "base/RendezvousHash.h"
#include "plugins/crashes/CrashNotices.h"
#include "plugins/crashes/CrashesPlugin.h"

#include <algorithm>
#include <set>
#include <utility>

namespace banyanpick {

namespace {

/// Hosts that tell a new incarnation of the known crashes. If all did, the
/// messages to it would grow with the hosts.
constexpr std::size_t MaxInformers = 8;

/// Delay of the first reminder to a host that has just started; each following
/// one is double. With the last one a host on a busy machine is connected.
constexpr milliseconds FirstReminderDelay(200);
constexpr milliseconds LastReminderDelay(1600);

} // namespace

void CrashesPlugin::sendToPeers(const PeerMessageBody &Body,
                                Actions &Out) const {
  for (const HostId &Peer : this->Members->livePeers())
    Out.add(SendToPeer{Peer, Body});
}

void CrashesPlugin::takeNotice(const QuarantineNotice &Notice,
                               const HostId &From, Time Now, Actions &Out) {
  if (isStoredNotice(Notice)) {
    this->restore(StoredQuarantine{Notice.Content, Notice.IsProven}, Now, Out);
    return;
  }
  const ConfirmedCrash Found = readNotice(Notice, Now);
  if (!this->Tracker.add(Found, Now))
    return;
  this->log(Found, From.Value, Now, Out);
  this->tellHarmless(Notice.Content, Now, Out);
  this->noteQuarantine(Notice.Content, Now, Out);
  // The peer knows that the engine has died. What this host lost there is
  // confirmed too, although its own requests for a report may be unanswered.
  this->confirm(Notice.Upstream, Now, Out);
}

void CrashesPlugin::takeHarmless(const HarmlessContent &Cleared, Time Now,
                                 Actions &Out) {
  if (this->Tracker.takeHarmless(Cleared.Content, Now - Cleared.BeganAgo))
    this->endQuarantine(Cleared.Content, Now, Out);
}

void CrashesPlugin::tellHarmless(Fingerprint Content, Time Now, Actions &Out) {
  if (const auto BeganAt = this->Tracker.takeHarmlessToTell(Content))
    this->sendToPeers(HarmlessContent{Content, Now - *BeganAt}, Out);
}

void CrashesPlugin::endQuarantine(Fingerprint Content, Time Now, Actions &Out) {
  const HarmlessAnswers::Answers *Harmless =
      this->Tracker.harmlessAnswers(Content);
  Out.count("quarantines_refuted");
  auto Line =
      logEvent(events::QuarantineRefuted).with("content", Content.Value);
  if (Harmless)
    Line.with("harmless_answers", Harmless->Count)
        .with("harmless_us_ago", (Now - Harmless->NewestBeganAt).count());
  Out.log(Line.build());
  this->removeEnded(Content, Out);
}

void CrashesPlugin::removeEnded(Fingerprint Content, Actions &Out) {
  const bool IsStoredHere = this->Tracker.takeEnded(Content);
  const bool WasRead = !this->Tracker.isQuarantined(Content) &&
                       this->StoredContents.erase(Content) > 0;
  if (IsStoredHere || WasRead)
    Out.add(GatewayAction(StoreQuarantine{Content, false}));
}

void CrashesPlugin::restore(const QuarantinesRead &Read, Time Now,
                            Actions &Out) {
  const Time Until = Now + this->RetentionTime;
  for (const StoredQuarantine &Stored : Read.Contents) {
    this->restore(Stored, Now, Out);
    this->StoredContents[Stored.Content] = Stored;
    this->sendToPeers(makeStoredNotice(Stored, Until), Out);
  }
  for (const HostId &Peer : this->Members->livePeers())
    this->remindLater(Peer, FirstReminderDelay, Now);
}

void CrashesPlugin::restore(const StoredQuarantine &Stored, Time Now,
                            Actions &Out) {
  if (this->Tracker.isQuarantined(Stored.Content))
    return;
  this->Tracker.restore(
      Stored.Content,
      Stored.IsProven ? CrashVerdict::Proven : CrashVerdict::Suspected, Now);
  Out.log(logEvent(events::QuarantineRestored)
              .with("content", Stored.Content.Value)
              .with("proven", Stored.IsProven ? "true" : "false")
              .build());
  this->noteQuarantine(Stored.Content, Now, Out);
}

bool CrashesPlugin::informs(const HostId &Newcomer) const {
  const auto WeightOf = [&](const HostId &Host) {
    return rendezvousWeight(Newcomer.Value, Host.Value);
  };
  const std::uint64_t OwnWeight = WeightOf(this->Own);
  const std::vector<HostId> Peers = this->Members->livePeers();
  const auto Preferred = std::ranges::count_if(Peers, [&](const HostId &Peer) {
    return Peer != Newcomer && WeightOf(Peer) > OwnWeight;
  });
  return static_cast<std::size_t>(Preferred) < MaxInformers;
}

void CrashesPlugin::memberChanged(const Member &Changed, Time Now,
                                  Actions &Out) {
  Incarnation &Informed = this->InformedIncarnations[Changed.Listing.Id];
  const bool IsNew = Changed.Life != Incarnation() && Changed.Life != Informed;
  if (!IsNew || Changed.State != MemberState::Alive)
    return;
  Informed = Changed.Life;
  this->inform(Changed.Listing.Id, Now, Out);
  this->remindLater(Changed.Listing.Id, FirstReminderDelay, Now);
}

void CrashesPlugin::inform(const HostId &Host, Time Now, Actions &Out) {
  const Time Until = Now + this->RetentionTime;
  for (const auto &[Content, Stored] : this->StoredContents)
    Out.add(SendToPeer{Host, makeStoredNotice(Stored, Until)});
  const std::vector<ConfirmedCrash> Crashes = this->Tracker.openCrashes();
  if (Crashes.empty() || !this->informs(Host))
    return;
  std::set<Fingerprint> Contents;
  for (const ConfirmedCrash &Found : Crashes)
    Contents.insert(Found.Observed.Content);
  // The evidence for a content comes before the crashes.
  for (const Fingerprint &Content : Contents)
    if (const auto *Harmless = this->Tracker.harmlessAnswers(Content))
      Out.add(SendToPeer{
          Host, HarmlessContent{Content, Now - Harmless->NewestBeganAt}});
  for (const ConfirmedCrash &Found : Crashes)
    Out.add(SendToPeer{Host, makeNotice(Found, Now, Until)});
}

void CrashesPlugin::remindLater(const HostId &Host, Duration Delay, Time Now) {
  this->Reminders[Host] = {Now + Delay, Delay};
  this->NextReminder = std::min(this->NextReminder, Now + Delay);
}

void CrashesPlugin::sendReminders(Time Now, Actions &Out) {
  if (Now < this->NextReminder)
    return;
  this->NextReminder = Never;
  const auto Pending = std::exchange(this->Reminders, {});
  for (const auto &[Host, Due] : Pending) {
    if (Now < Due.At) {
      this->Reminders[Host] = Due;
      this->NextReminder = std::min(this->NextReminder, Due.At);
      continue;
    }
    this->inform(Host, Now, Out);
    if (Due.Delay < LastReminderDelay)
      this->remindLater(Host, 2 * Due.Delay, Now);
  }
}

} // namespace banyanpick
