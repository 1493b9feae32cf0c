#include "wire/MembershipCodec.h"

#include "peer.pb.h"
#include "wire/AddressCodec.h"
#include "wire/WireChecks.h"

#include <bit>

namespace banyanpick::wire {

namespace {

/// Longest time that is read, in microseconds; one day.
constexpr std::uint64_t OldestUs = 86'400'000'000;

/// Most members that are read from one message; a sender sends fewer.
constexpr int MaxMembers = 4096;

void write(const HostListing &Source, Listing &Out) {
  Out.set_host(Source.Id.Value);
  Out.set_zone(Source.Zone.Value);
  toWire(Source.Callers, *Out.mutable_callers());
  toWire(Source.Peers, *Out.mutable_peers());
  Out.set_processor(Source.Processor.Thousandths);
}

HostListing read(const Listing &In) {
  HostListing Result;
  Result.Id.Value = In.host();
  Result.Zone.Value = In.zone();
  Result.Callers = fromWire(In.callers());
  Result.Peers = fromWire(In.peers());
  if (In.processor() > 0)
    Result.Processor.Thousandths = In.processor();
  return Result;
}

void write(const MemberUpdate &Update, Rumour &Out) {
  Out.set_host(Update.Host.Value);
  Out.set_life(Update.Life.Value);
  Out.set_version(Update.Version);
  Out.set_state(static_cast<std::uint32_t>(Update.State));
  Out.set_ready(Update.Ready);
  Out.set_cut_off(Update.CutOff);
}

MemberUpdate read(const Rumour &In) {
  return {HostId(In.host()), Incarnation(In.life()),
          In.version(),      checkedEnum(In.state(), MemberState::Leaving),
          In.ready(),        In.cut_off()};
}

} // namespace

void toWire(const banyanpick::Heartbeat &Body, Heartbeat &Out) {
  Out.set_sequence(Body.Sequence);
  Out.set_acknowledges(Body.Acknowledges);
  Out.set_zone(Body.Zone.Value);
  Out.set_version(Body.Version);
  Out.set_leaving(Body.Leaving);
  Out.set_ready(Body.Ready);
  Out.set_in_force(Body.InForce);
  Out.set_log_confirmed_at_us(toWire(Body.LogConfirmedAt));
  for (const MemberUpdate &Update : Body.Updates)
    write(Update, *Out.add_rumours());
  for (const HostListing &Host : Body.KnownHosts)
    write(Host, *Out.add_known());
  Out.set_engines_known_to(Body.EnginesKnownTo);
  Out.set_engines_digest(Body.EnginesDigest);
  if (Body.StoreAge != Duration::max())
    Out.set_store_age_us(static_cast<std::uint64_t>(Body.StoreAge.count()));
  Out.set_late_us(static_cast<std::uint64_t>(Body.Late.count()));
  for (const EvacuationRecord &Record : Body.Evacuations) {
    Evacuation &Item = *Out.add_evacuations();
    Item.set_zone(Record.Zone.Value);
    Item.set_active(Record.Active);
    Item.set_offset(Record.Offset);
  }
  for (const banyanpick::VersionInForce &Recent : Body.RecentVersions) {
    VersionInForce &Item = *Out.add_recent_versions();
    Item.set_version(Recent.Version);
    Item.set_age_us(static_cast<std::uint64_t>(Recent.Age.count()));
  }
  Out.set_cut_off(Body.CutOff);
  Out.set_members_digest(Body.MembersDigest);
  Out.set_members_count(Body.MembersCount);
}

banyanpick::Heartbeat fromWire(const Heartbeat &In) {
  banyanpick::Heartbeat Result;
  Result.Sequence = In.sequence();
  Result.Acknowledges = In.acknowledges();
  Result.Zone.Value = In.zone();
  Result.Version = In.version();
  Result.Leaving = In.leaving();
  Result.Ready = In.ready();
  Result.InForce = In.in_force();
  Result.LogConfirmedAt = timeFromWire(In.log_confirmed_at_us());
  for (const Rumour &Update : In.rumours())
    Result.Updates.push_back(read(Update));
  for (const Listing &Host : In.known())
    Result.KnownHosts.push_back(read(Host));
  Result.EnginesKnownTo = In.engines_known_to();
  Result.EnginesDigest = In.engines_digest();
  // Larger values are clamped to one day so that time arithmetic can't
  // overflow. Receivers treat all values above one day alike.
  if (In.has_store_age_us())
    Result.StoreAge = Duration(std::min(In.store_age_us(), OldestUs));
  Result.Late = Duration(std::min(In.late_us(), OldestUs));
  const std::size_t Evacuations = std::min<std::size_t>(
      static_cast<std::size_t>(In.evacuations_size()), MaxEvacuationRecords);
  for (std::size_t Index = 0; Index < Evacuations; ++Index) {
    const Evacuation &Item = In.evacuations(static_cast<int>(Index));
    Result.Evacuations.push_back(
        {ZoneId(Item.zone()), Item.active(), Item.offset()});
  }
  const std::size_t Versions = std::min<std::size_t>(
      static_cast<std::size_t>(In.recent_versions_size()), MaxRecentVersions);
  for (std::size_t Index = 0; Index < Versions; ++Index) {
    const VersionInForce &Item = In.recent_versions(static_cast<int>(Index));
    Result.RecentVersions.push_back(
        {Item.version(), Duration(std::min(Item.age_us(), OldestUs))});
  }
  Result.CutOff = In.cut_off();
  Result.MembersDigest = In.members_digest();
  Result.MembersCount = In.members_count();
  return Result;
}

void toWire(const banyanpick::MembersRequest &Body, MembersAsked &Out) {
  for (const std::uint32_t Digest : Body.Digests)
    Out.add_digests(Digest);
}

banyanpick::MembersRequest fromWire(const MembersAsked &In) {
  const auto Buckets = static_cast<std::size_t>(In.digests_size());
  if (!std::has_single_bit(Buckets) || Buckets > MaxMemberBuckets)
    throwMalformed("a request for members has a wrong number of buckets");
  return {{In.digests().begin(), In.digests().end()}};
}

void toWire(const banyanpick::MembersRelayed &Body, MembersRelayed &Out) {
  for (const auto &Member : Body.Members) {
    MembersRelayed::Item &Item = *Out.add_members();
    write(Member.Listing, *Item.mutable_listing());
    write(Member.State, *Item.mutable_state());
  }
}

banyanpick::MembersRelayed fromWire(const MembersRelayed &In) {
  if (In.members_size() > MaxMembers)
    throwMalformed("a message names too many members");
  banyanpick::MembersRelayed Result;
  for (const MembersRelayed::Item &Item : In.members())
    Result.Members.push_back({read(Item.listing()), read(Item.state())});
  return Result;
}

} // namespace banyanpick::wire
