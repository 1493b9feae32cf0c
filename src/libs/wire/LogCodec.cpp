#include "wire/LogCodec.h"

#include "base/Visitor.h"
#include "log.pb.h"
#include "wire/CatalogueCodec.h"
#include "wire/WireChecks.h"

namespace banyanpick {

namespace wire {
namespace {

void write(const ClaimRecord &Record, Claim &Out) {
  Out.set_key(Record.Key.Value);
  Out.set_team(Record.Team.Value);
  Out.set_owner(Record.Owner.Value);
  Out.set_owner_life(Record.OwnerLife.Value);
  Out.set_content(Record.Content.Value);
}

void write(const OutcomeRecord &Record, Outcome &Out) {
  Out.set_key(Record.Key.Value);
  Out.set_team(Record.Team.Value);
  Out.set_owner_life(Record.OwnerLife.Value);
  Out.set_ended(static_cast<std::uint32_t>(Record.Ended));
  Out.set_result(Record.Result);
  Out.set_claim_sequence(Record.ClaimSequence);
}

void write(const banyanpick::SnapshotChunk &Record, SnapshotChunk &Out) {
  Out.set_at_offset(Record.AtOffset);
  Out.set_index(Record.Index);
  Out.set_count(Record.Count);
  Out.set_whole_checksum(Record.WholeChecksum);
  Out.set_bytes(Record.Bytes);
}

void write(const banyanpick::LeaderLease &Record, StewardLease &Out) {
  Out.set_engine(Record.Engine.Value);
  Out.set_steward(Record.Leader.Value);
  Out.set_steward_life(Record.LeaderLife.Value);
  Out.set_length_us(Record.Length.count());
}

void write(const QuarantineRecord &Record, Quarantine &Out) {
  Out.set_content(Record.Content.Value);
  Out.set_crashes(Record.Crashes);
  Out.set_until_us(toWire(Record.Until));
}

void write(const banyanpick::LogRecord &Record, LogRecord &Out) {
  Out.set_maker(Record.Id.Maker.Value);
  Out.set_sequence(Record.Id.Sequence);
  match(
      Record.Body,
      [&](const ConfigurationRecord &Body) {
        toWire(Body.Set, *Out.mutable_configuration());
      },
      [&](const ClaimRecord &Body) { write(Body, *Out.mutable_claim()); },
      [&](const OutcomeRecord &Body) { write(Body, *Out.mutable_outcome()); },
      [&](const banyanpick::SnapshotChunk &Body) {
        write(Body, *Out.mutable_snapshot());
      },
      [&](const banyanpick::LeaderLease &Body) {
        write(Body, *Out.mutable_lease());
      },
      [&](const QuarantineRecord &Body) {
        write(Body, *Out.mutable_quarantine());
      });
}

ClaimRecord read(const Claim &In) {
  return {OperationKey(In.key()), TeamId(In.team()), HostId(In.owner()),
          Incarnation(In.owner_life()), Fingerprint(In.content())};
}

OutcomeRecord read(const Outcome &In) {
  return {OperationKey(In.key()),
          TeamId(In.team()),
          Incarnation(In.owner_life()),
          checkedEnum(In.ended(), OutcomeRecord::Kind::Released),
          In.result(),
          In.claim_sequence()};
}

banyanpick::SnapshotChunk read(const SnapshotChunk &In) {
  return {In.at_offset(), In.index(), In.count(), In.whole_checksum(),
          In.bytes()};
}

banyanpick::LeaderLease read(const StewardLease &In) {
  return {UpstreamId(In.engine()), HostId(In.steward()),
          Incarnation(In.steward_life()), Duration(In.length_us())};
}

QuarantineRecord read(const Quarantine &In) {
  return {Fingerprint(In.content()), In.crashes(), timeFromWire(In.until_us())};
}

LogRecordBody readBody(const LogRecord &In) {
  switch (In.body_case()) {
  case LogRecord::kConfiguration:
    return ConfigurationRecord{fromWire(In.configuration())};
  case LogRecord::kClaim:
    return read(In.claim());
  case LogRecord::kOutcome:
    return read(In.outcome());
  case LogRecord::kSnapshot:
    return read(In.snapshot());
  case LogRecord::kLease:
    return read(In.lease());
  case LogRecord::kQuarantine:
    return read(In.quarantine());
  case LogRecord::BODY_NOT_SET:
    break;
  }
  throwMalformed("a record has no body");
}

banyanpick::LogRecord read(const LogRecord &In) {
  return {RecordId{Incarnation(In.maker()), In.sequence()}, readBody(In)};
}

} // namespace

void toWire(const banyanpick::StoredRecord &Record, StoredRecord &Out) {
  Out.set_offset(Record.Offset);
  Out.set_position(Record.Position);
  write(Record.Record, *Out.mutable_record());
}

banyanpick::StoredRecord fromWire(const StoredRecord &In) {
  return {In.offset(), In.position(), read(In.record())};
}

} // namespace wire

std::string encodeLogBatch(std::span<const LogRecord> Records) {
  wire::LogBatch Batch;
  for (const LogRecord &Record : Records)
    wire::write(Record, *Batch.add_records());
  return Batch.SerializeAsString();
}

std::vector<LogRecord> decodeLogBatch(std::string_view Bytes) {
  wire::LogBatch Batch;
  if (!Batch.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    wire::throwMalformed("no log batch");
  std::vector<LogRecord> Result;
  for (const wire::LogRecord &Record : Batch.records())
    Result.push_back(wire::read(Record));
  return Result;
}

} // namespace banyanpick
