#include "wire/PeerCodec.h"

#include "base/Visitor.h"
#include "peer.pb.h"
#include "wire/EngineCodec.h"
#include "wire/LogCodec.h"
#include "wire/MembershipCodec.h"
#include "wire/UpstreamCodec.h"
#include "wire/WireChecks.h"

namespace banyanpick {

namespace wire {
namespace {

/// Longest time that is read, in microseconds; one day.
constexpr std::uint64_t OldestUs = 86'400'000'000;

std::uint64_t agoToWire(Duration Ago) {
  return static_cast<std::uint64_t>(std::max(Ago, Duration(0)).count());
}

Duration agoFromWire(std::uint64_t Ago) {
  return Duration(std::min(Ago, OldestUs));
}

void write(const banyanpick::Heartbeat &Body, Envelope &Envelope) {
  toWire(Body, *Envelope.mutable_heartbeat());
}

void write(const banyanpick::MembersRequest &Body, Envelope &Envelope) {
  toWire(Body, *Envelope.mutable_members_asked());
}

void write(const banyanpick::MembersRelayed &Body, Envelope &Envelope) {
  toWire(Body, *Envelope.mutable_members_relayed());
}

void write(const banyanpick::EnginesRelayed &Body, Envelope &Envelope) {
  toWire(Body, *Envelope.mutable_engines_relayed());
}

void write(const banyanpick::EngineWork &Body, Envelope &Envelope) {
  toWire(Body, *Envelope.mutable_engine_work());
}

void write(const banyanpick::EngineLimits &Body, Envelope &Envelope) {
  toWire(Body, *Envelope.mutable_engine_limits());
}

void write(const banyanpick::EngineSignals &Body, Envelope &Envelope) {
  toWire(Body, *Envelope.mutable_engine_signals());
}

void write(const banyanpick::WorkSent &Body, Envelope &Envelope) {
  WorkSent &Out = *Envelope.mutable_work_sent();
  for (const auto &Work : Body.Items) {
    WorkSent::Item &Item = *Out.add_items();
    Item.set_engine(Work.Engine.Value);
    Item.set_prefill_tokens(Work.PrefillTokens);
    Item.set_requests(Work.Requests);
  }
}

void write(const banyanpick::TeamUsage &Body, Envelope &Envelope) {
  TeamUsage &Out = *Envelope.mutable_team_usage();
  Out.set_epoch(Body.Epoch);
  for (const auto &Usage : Body.Items) {
    TeamUsage::Item &Item = *Out.add_items();
    Item.set_team(Usage.Team.Value);
    Item.set_service_tokens(Usage.ServiceTokens);
    Item.set_demand_requests(Usage.DemandRequests);
    Item.set_demand_tokens(Usage.DemandTokens);
    Item.set_concurrent(Usage.Concurrent);
    Item.set_lane(Usage.QueueHash);
  }
}

void write(const banyanpick::LimitShare &Body, Envelope &Envelope) {
  LimitShare &Out = *Envelope.mutable_limit_share();
  Out.set_team(Body.Team.Value);
  Out.set_transfer(Body.Transfer);
  Out.set_fraction(Body.Fraction);
  Out.set_valid_from_us(toWire(Body.ValidFrom));
  Out.set_view(Body.View);
}

void write(const banyanpick::RecordsRelayed &Body, Envelope &Envelope) {
  RecordsRelayed &Out = *Envelope.mutable_records_relayed();
  for (const banyanpick::StoredRecord &Record : Body.Records)
    toWire(Record, *Out.add_records());
  Out.set_first_offset(Body.FirstOffset);
  Out.set_next_offset(Body.NextOffset);
}

void write(const banyanpick::RecordsRequest &Body, Envelope &Envelope) {
  Envelope.mutable_records_asked()->set_from_offset(Body.FromOffset);
}

void write(const banyanpick::CatalogueRelayed &Body, Envelope &Envelope) {
  Envelope.mutable_catalogue_relayed()->set_at_offset(Body.AtOffset);
  Envelope.mutable_catalogue_relayed()->set_text(Body.Text);
}

void write(const QuarantineNotice &Body, Envelope &Envelope) {
  Quarantine &Out = *Envelope.mutable_quarantine_notice();
  Out.set_content(Body.Content.Value);
  Out.set_crashes(Body.Crashes);
  Out.set_until_us(toWire(Body.Until));
  Out.set_upstream(Body.Upstream.Value);
  Out.set_upstream_life(Body.UpstreamLife.Value);
  Out.set_crashed_us_ago(agoToWire(Body.CrashedAgo));
  Out.set_sent_us_ago(agoToWire(Body.SentAgo));
  Out.set_probe(static_cast<std::uint32_t>(Body.Probe));
  Out.set_proven(Body.IsProven);
}

void write(const banyanpick::HarmlessContent &Body, Envelope &Envelope) {
  HarmlessContent &Out = *Envelope.mutable_harmless_content();
  Out.set_content(Body.Content.Value);
  Out.set_began_us_ago(agoToWire(Body.BeganAgo));
}

void write(const banyanpick::UpstreamNotice &Body, Envelope &Envelope) {
  UpstreamNotice &Out = *Envelope.mutable_upstream_notice();
  Out.set_upstream(Body.Upstream.Value);
  Out.set_life(Body.Life.Value);
  Out.set_leaving(Body.Leaving);
  Out.set_dead(Body.Dead);
}

void write(const LoadRelayed &Body, Envelope &Envelope) {
  toWire(Body.Report, *Envelope.mutable_load_relayed());
}

void write(const banyanpick::StreamHandover &Body, Envelope &Envelope) {
  StreamHandover &Out = *Envelope.mutable_stream_handover();
  Out.set_resume_token(Body.ResumeToken);
  Out.set_team(Body.Team.Value);
  Out.set_class_id(Body.Class.Value);
  Out.set_attempt_maker(Body.Attempt.Maker.Value);
  Out.set_attempt_sequence(Body.Attempt.Sequence);
  Out.set_upstream(Body.Upstream.Value);
  Out.set_next_index(Body.NextIndex);
  Out.set_deadline_us(toWire(Body.Deadline));
}

void write(const banyanpick::HandoverTaken &Body, Envelope &Envelope) {
  Envelope.mutable_handover_taken()->set_resume_token(Body.ResumeToken);
}

void write(const banyanpick::RecordsToAppend &Body, Envelope &Envelope) {
  Envelope.set_records_to_append(encodeLogBatch(Body.Records));
}

void write(const banyanpick::ConfigurationRequest &Body, Envelope &Envelope) {
  ConfigurationAsked &Out = *Envelope.mutable_configuration_asked();
  Out.set_newer_than(Body.NewerThan);
  Out.set_version(Body.Version);
  Out.set_from(Body.From);
}

void write(const banyanpick::ConfigurationRelayed &Body, Envelope &Envelope) {
  ConfigurationRelayed &Out = *Envelope.mutable_configuration_relayed();
  Out.set_version(Body.Version);
  Out.set_piece(Body.Chunk);
  Out.set_from(Body.From);
  Out.set_size(Body.Size);
}

void write(const banyanpick::EnginesRequest &Body, Envelope &Envelope) {
  Envelope.mutable_engines_asked()->set_from_offset(Body.From);
}

banyanpick::WorkSent read(const WorkSent &In) {
  banyanpick::WorkSent Result;
  for (const WorkSent::Item &Work : In.items())
    Result.Items.push_back(
        {UpstreamId(Work.engine()), Work.prefill_tokens(), Work.requests()});
  return Result;
}

banyanpick::TeamUsage read(const TeamUsage &In) {
  banyanpick::TeamUsage Result;
  Result.Epoch = In.epoch();
  for (const TeamUsage::Item &Usage : In.items())
    Result.Items.push_back({TeamId(Usage.team()),
                            checkedNumber(Usage.service_tokens()),
                            checkedNumber(Usage.demand_requests()),
                            checkedNumber(Usage.demand_tokens()),
                            Usage.concurrent(), Usage.lane()});
  return Result;
}

banyanpick::LimitShare read(const LimitShare &In) {
  return {TeamId(In.team()), In.transfer(), checkedNumber(In.fraction()),
          timeFromWire(In.valid_from_us()), In.view()};
}

banyanpick::RecordsRelayed read(const RecordsRelayed &In) {
  banyanpick::RecordsRelayed Result;
  for (const StoredRecord &Record : In.records())
    Result.Records.push_back(fromWire(Record));
  Result.FirstOffset = In.first_offset();
  Result.NextOffset = In.next_offset();
  return Result;
}

ProbeKind probeFromWire(std::uint32_t Value) {
  switch (Value) {
  case static_cast<std::uint32_t>(ProbeKind::Alone):
    return ProbeKind::Alone;
  case static_cast<std::uint32_t>(ProbeKind::Together):
    return ProbeKind::Together;
  default:
    return ProbeKind::None;
  }
}

QuarantineNotice read(const Quarantine &In) {
  return {Fingerprint(In.content()),
          In.crashes(),
          timeFromWire(In.until_us()),
          UpstreamId(In.upstream()),
          Incarnation(In.upstream_life()),
          agoFromWire(In.crashed_us_ago()),
          agoFromWire(In.sent_us_ago()),
          probeFromWire(In.probe()),
          In.proven()};
}

banyanpick::UpstreamNotice read(const UpstreamNotice &In) {
  return {UpstreamId(In.upstream()), Incarnation(In.life()), In.leaving(),
          In.dead()};
}

banyanpick::StreamHandover read(const StreamHandover &In) {
  banyanpick::StreamHandover Result;
  Result.ResumeToken = In.resume_token();
  Result.Team.Value = In.team();
  Result.Class.Value = In.class_id();
  Result.Attempt.Maker.Value = In.attempt_maker();
  Result.Attempt.Sequence = In.attempt_sequence();
  Result.Upstream.Value = In.upstream();
  Result.NextIndex = In.next_index();
  Result.Deadline = timeFromWire(In.deadline_us());
  return Result;
}

PeerMessageBody readBody(const Envelope &In) {
  switch (In.body_case()) {
  case Envelope::kHeartbeat:
    return fromWire(In.heartbeat());
  case Envelope::kWorkSent:
    return read(In.work_sent());
  case Envelope::kTeamUsage:
    return read(In.team_usage());
  case Envelope::kLimitShare:
    return read(In.limit_share());
  case Envelope::kRecordsRelayed:
    return read(In.records_relayed());
  case Envelope::kRecordsAsked:
    return banyanpick::RecordsRequest{In.records_asked().from_offset()};
  case Envelope::kCatalogueRelayed:
    return banyanpick::CatalogueRelayed{In.catalogue_relayed().at_offset(),
                                        In.catalogue_relayed().text()};
  case Envelope::kQuarantineNotice:
    return read(In.quarantine_notice());
  case Envelope::kUpstreamNotice:
    return read(In.upstream_notice());
  case Envelope::kLoadRelayed:
    return LoadRelayed{fromWire(In.load_relayed())};
  case Envelope::kStreamHandover:
    return read(In.stream_handover());
  case Envelope::kHandoverTaken:
    return banyanpick::HandoverTaken{In.handover_taken().resume_token()};
  case Envelope::kRecordsToAppend:
    return banyanpick::RecordsToAppend{decodeLogBatch(In.records_to_append())};
  case Envelope::kConfigurationAsked:
    return banyanpick::ConfigurationRequest{
        In.configuration_asked().newer_than(),
        In.configuration_asked().version(), In.configuration_asked().from()};
  case Envelope::kConfigurationRelayed:
    return banyanpick::ConfigurationRelayed{
        In.configuration_relayed().version(),
        In.configuration_relayed().piece(), In.configuration_relayed().from(),
        In.configuration_relayed().size()};
  case Envelope::kEnginesAsked:
    return banyanpick::EnginesRequest{In.engines_asked().from_offset()};
  case Envelope::kEnginesRelayed:
    return fromWire(In.engines_relayed());
  case Envelope::kEngineWork:
    return fromWire(In.engine_work());
  case Envelope::kEngineLimits:
    return fromWire(In.engine_limits());
  case Envelope::kEngineSignals:
    return fromWire(In.engine_signals());
  case Envelope::kHarmlessContent:
    return banyanpick::HarmlessContent{
        Fingerprint(In.harmless_content().content()),
        agoFromWire(In.harmless_content().began_us_ago())};
  case Envelope::kMembersAsked:
    return fromWire(In.members_asked());
  case Envelope::kMembersRelayed:
    return fromWire(In.members_relayed());
  case Envelope::BODY_NOT_SET:
    break;
  }
  throwMalformed("a peer message has no body");
}

} // namespace
} // namespace wire

std::string encodePeerMessage(const PeerMessage &Message) {
  wire::Envelope Envelope;
  Envelope.set_from(Message.From.Value);
  Envelope.set_from_life(Message.FromLife.Value);
  std::visit([&](const auto &Body) { wire::write(Body, Envelope); },
             Message.Body);
  return Envelope.SerializeAsString();
}

PeerMessage decodePeerMessage(std::string_view Bytes) {
  wire::Envelope Envelope;
  if (!Envelope.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    wire::throwMalformed("no peer message");
  return {HostId(Envelope.from()), Incarnation(Envelope.from_life()),
          wire::readBody(Envelope)};
}

} // namespace banyanpick
