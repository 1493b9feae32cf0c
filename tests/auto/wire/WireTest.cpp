/// \file
/// Tests that encoded messages decode to equal values and that decoders reject
/// malformed bytes with Error(BadInput) instead of crashing.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "base/Error.h"
#include "wire/LogCodec.h"
#include "wire/PeerCodec.h"

using namespace banyanpick;

namespace {

// Generators of random values, to be called inside a property.
std::string anyText() { return *rc::gen::arbitrary<std::string>(); }
std::uint64_t anyUint64() { return *rc::gen::arbitrary<std::uint64_t>(); }
std::uint32_t anyUint32() { return *rc::gen::arbitrary<std::uint32_t>(); }
bool anyBool() { return *rc::gen::arbitrary<bool>(); }
double anyDouble() { return *rc::gen::inRange(-1000000, 1000000) / 64.0; }
Duration anyDuration() { return Duration(*rc::gen::arbitrary<std::int64_t>()); }
Time anyTime() { return Time(anyDuration()); }
/// A time that has passed, up to the longest that is read, one day.
Duration anyAge() {
  return Duration(*rc::gen::inRange<std::int64_t>(0, 86'400'000'000));
}
template <class Id> Id anyId() { return Id(anyText()); }
Incarnation anyIncarnation() { return Incarnation(anyUint64()); }
template <class Enum> Enum anyEnumerator(Enum Last) {
  return static_cast<Enum>(*rc::gen::inRange(0, static_cast<int>(Last) + 1));
}
template <class MakeElement> auto anyVector(MakeElement Make) {
  std::vector<decltype(Make())> Result(*rc::gen::inRange<std::size_t>(0, 4));
  for (auto &Element : Result)
    Element = Make();
  return Result;
}

EntryBody anyEntryBody() {
  switch (*rc::gen::inRange(0, 4)) {
  case 0:
    return OwnerEntry{KeyDigest{anyText()}};
  case 1:
    return TeamEntry{KeyDigest{anyText()}, anyDouble(),
                     anyUint32(),          anyUint64(),
                     anyUint32(),          anyVector(anyId<ClassId>)};
  case 2:
    return ClassEntry{anyEnumerator(TargetKind::Application),
                      anyText(),
                      anyUint64(),
                      anyUint64(),
                      anyDuration(),
                      anyDuration(),
                      anyDuration(),
                      anyDuration(),
                      anyUint32(),
                      anyBool()};
  default:
    return ModelEntry{anyText(), anyUint64(), anyUint32(), anyUint32()};
  }
}

Change anyChange() {
  Change Result{{anyEnumerator(EntryKind::Model), anyText()},
                anyUint64(),
                anyId<OwnerId>(),
                {}};
  if (anyBool())
    Result.Body = anyEntryBody();
  return Result;
}

LogRecord anyLogRecord() {
  const RecordId Id{anyIncarnation(), anyUint64()};
  switch (*rc::gen::inRange(0, 6)) {
  case 0:
    return {Id, ConfigurationRecord{{anyId<ChangeId>(), anyId<OwnerId>(),
                                     anyVector(anyChange)}}};
  case 1:
    return {Id,
            ClaimRecord{anyId<OperationKey>(), anyId<TeamId>(), anyId<HostId>(),
                        anyIncarnation(), Fingerprint(anyUint64())}};
  case 2:
    return {Id, OutcomeRecord{anyId<OperationKey>(), anyId<TeamId>(),
                              anyIncarnation(),
                              anyEnumerator(OutcomeRecord::Kind::Released),
                              anyText(), anyUint64()}};
  case 3:
    return {Id, SnapshotChunk{anyUint64(), anyUint32(), anyUint32(),
                              anyUint64(), anyText()}};
  case 4:
    return {Id, LeaderLease{anyId<UpstreamId>(), anyId<HostId>(),
                            anyIncarnation(), anyDuration()}};
  default:
    return {Id,
            QuarantineRecord{Fingerprint(anyUint64()), anyUint32(), anyTime()}};
  }
}

LoadReport anyLoadReport() {
  return {anyId<UpstreamId>(),
          anyIncarnation(),
          anyTime(),
          anyBool(),
          anyUint32(),
          anyUint32(),
          anyUint64(),
          anyUint64(),
          anyUint64(),
          anyDouble(),
          anyDouble(),
          anyUint64(),
          anyVector(anyId<ModelId>),
          anyVector([] {
            return HoldReport{anyEnumerator(HoldKind::Export),
                              anyUint64(),
                              anyUint64(),
                              anyText(),
                              anyUint64(),
                              anyTime()};
          }),
          anyVector([] {
            return PriorityBacklog{anyUint32(), anyUint64()};
          })};
}

Heartbeat anyHeartbeat() {
  Heartbeat Result{anyUint64(),
                   anyBool(),
                   anyId<ZoneId>(),
                   anyUint64(),
                   anyBool(),
                   anyBool(),
                   anyUint64(),
                   anyTime(),
                   anyVector([] {
                     return MemberUpdate{
                         anyId<HostId>(), anyIncarnation(), anyUint64(),
                         anyEnumerator(MemberState::Leaving), anyBool()};
                   })};
  Result.KnownHosts = anyVector([] {
    HostListing Host;
    Host.Id = anyId<HostId>();
    Host.Zone = anyId<ZoneId>();
    Host.Processor.Thousandths = anyUint32() + 1;
    return Host;
  });
  Result.EnginesKnownTo = anyUint64();
  Result.EnginesDigest = anyUint64();
  Result.Evacuations = anyVector([] {
    return EvacuationRecord{anyId<ZoneId>(), anyBool(), anyUint64()};
  });
  if (Result.Evacuations.size() > MaxEvacuationRecords)
    Result.Evacuations.resize(MaxEvacuationRecords);
  Result.RecentVersions = anyVector([] {
    return VersionInForce{anyUint64(), Duration(anyUint32())};
  });
  if (Result.RecentVersions.size() > MaxRecentVersions)
    Result.RecentVersions.resize(MaxRecentVersions);
  return Result;
}

/// Not negative, and short enough not to be clamped by the decoder.
double anyMilliseconds() { return *rc::gen::inRange(0, 86'400'000) / 7.0; }

EngineLimits anyEngineLimits() {
  EngineLimits Result;
  Result.LimitReports = anyVector([] {
    const std::optional<double> PerSecond =
        anyBool() ? std::optional(anyMilliseconds()) : std::nullopt;
    return EngineLimits::LimitReport{anyId<UpstreamId>(), PerSecond,
                                     anyMilliseconds()};
  });
  Result.LeaseRequests = anyVector([] {
    return EngineLimits::LeaseRequest{anyId<UpstreamId>(), anyUint64(),
                                      anyUint32()};
  });
  Result.Leases = anyVector([] {
    return EngineLimits::Lease{anyId<UpstreamId>(), anyUint64(), anyUint32(),
                               anyMilliseconds(), anyMilliseconds()};
  });
  Result.ColdReports = anyVector([] {
    return EngineLimits::ColdReport{anyId<UpstreamId>(), anyMilliseconds(),
                                    anyBool()};
  });
  Result.Returns = anyVector([] {
    return EngineLimits::Return{anyId<UpstreamId>(), anyUint64(), anyUint32()};
  });
  return Result;
}

EngineSignals anyEngineSignals() {
  EngineSignals Result;
  Result.Backoffs = anyVector([] {
    return EngineSignals::Backoff{anyId<UpstreamId>(), anyMilliseconds()};
  });
  Result.Leaving = anyVector([] { return anyId<UpstreamId>(); });
  return Result;
}

QuarantineNotice anyQuarantineNotice() {
  return QuarantineNotice{Fingerprint(anyUint64()),
                          anyUint32(),
                          anyTime(),
                          anyId<UpstreamId>(),
                          anyIncarnation(),
                          anyAge(),
                          anyAge(),
                          anyEnumerator(ProbeKind::Together),
                          anyBool()};
}

PeerMessageBody anyPeerBody() {
  switch (*rc::gen::inRange(0, 16)) {
  case 0:
    return anyHeartbeat();
  case 1:
    return WorkSent{anyVector([] {
      return WorkSent::Item{anyId<UpstreamId>(), anyUint64(), anyUint32()};
    })};
  case 2:
    return TeamUsage{anyUint64(), anyVector([] {
                       return TeamUsage::Item{anyId<TeamId>(), anyDouble(),
                                              anyDouble(),     anyDouble(),
                                              anyUint32(),     anyUint32()};
                     })};
  case 3:
    return LimitShare{anyId<TeamId>(), anyUint64(), anyDouble(), anyTime(),
                      anyUint64()};
  case 4:
    return RecordsRelayed{
        anyVector([] {
          return StoredRecord{anyUint64(), anyUint32(), anyLogRecord()};
        }),
        anyUint64(), anyUint64()};
  case 5:
    return RecordsRequest{anyUint64()};
  case 6:
    return CatalogueRelayed{anyUint64(), anyText()};
  case 7:
    return anyQuarantineNotice();
  case 8:
    return UpstreamNotice{anyId<UpstreamId>(), anyIncarnation(), anyBool(),
                          anyBool()};
  case 9:
    return LoadRelayed{anyLoadReport()};
  case 10:
    return StreamHandover{anyText(),
                          anyId<TeamId>(),
                          anyId<ClassId>(),
                          AttemptId{anyIncarnation(), anyUint64()},
                          anyId<UpstreamId>(),
                          anyUint64(),
                          anyTime()};
  case 11:
    return HandoverTaken{anyText()};
  case 12:
    return anyEngineLimits();
  case 13:
    return anyEngineSignals();
  case 14:
    return HarmlessContent{Fingerprint(anyUint64()), anyAge()};
  default:
    return RecordsToAppend{anyVector([] { return anyLogRecord(); })};
  }
}

PeerMessage anyPeerMessage() {
  return {anyId<HostId>(), anyIncarnation(), anyPeerBody()};
}

/// Decodes and allows no error other than BadInput.
template <class Decode> void decodeUntrusted(Decode Function) {
  try {
    Function();
  } catch (const Error &Problem) {
    RC_ASSERT(Problem.kind() == ErrorKind::BadInput);
  }
}

RC_GTEST_PROP(Wire, LogBatchRoundTrip, ()) {
  const auto Records = anyVector(anyLogRecord);
  RC_ASSERT(decodeLogBatch(encodeLogBatch(Records)) == Records);
}

RC_GTEST_PROP(Wire, PeerMessageRoundTrip, ()) {
  const PeerMessage Message = anyPeerMessage();
  RC_ASSERT(decodePeerMessage(encodePeerMessage(Message)) == Message);
}

/// Hosts that do not read the store know of a cold engine only by this message.
TEST(Wire, RelayedRegistrationsKeepTheColdTime) {
  EngineChange Change;
  Change.Engine.Id = UpstreamId("e1");
  Change.Engine.ColdFor = milliseconds(2500);
  Change.Engine.ColdUnreadable = true;
  EnginesRelayed Relayed;
  Relayed.Changes.push_back(Change);
  const PeerMessage Message{HostId("h1"), Incarnation(1), Relayed};
  EXPECT_EQ(decodePeerMessage(encodePeerMessage(Message)), Message);
}

RC_GTEST_PROP(Wire, RandomBytesAreRejectedOrDecoded,
              (const std::string &Bytes)) {
  decodeUntrusted([&] { decodeLogBatch(Bytes); });
  decodeUntrusted([&] { decodePeerMessage(Bytes); });
}

RC_GTEST_PROP(Wire, CorruptMessagesAreRejectedOrDecoded, ()) {
  std::string Bytes = anyBool() ? encodePeerMessage(anyPeerMessage())
                                : encodeLogBatch(anyVector(anyLogRecord));
  Bytes.resize(*rc::gen::inRange<std::size_t>(0, Bytes.size() + 1));
  if (!Bytes.empty())
    Bytes[*rc::gen::inRange<std::size_t>(0, Bytes.size())] =
        *rc::gen::arbitrary<char>();
  decodeUntrusted([&] { decodeLogBatch(Bytes); });
  decodeUntrusted([&] { decodePeerMessage(Bytes); });
}

/// Guards against reports of engines that get lost on the way to peers.
TEST(Wire, WorkReportCarriesTheLoadOfEngines) {
  EngineWork Work;
  Work.WarmingUp = true;
  Work.Loads = {{UpstreamId("e1"), 7, 2, 45000, 120}};
  const PeerMessage Message{HostId("h1"), Incarnation(3), Work};
  EXPECT_EQ(decodePeerMessage(encodePeerMessage(Message)), Message);
}

TEST(Wire, MissingBodiesAndUnknownEnumeratorsAreRejected) {
  EXPECT_THROW(decodePeerMessage(""), Error);
  // Field 3 (heartbeat) holds field 9 (rumours), whose field 4 (state) has the
  // unknown value 9.
  EXPECT_THROW(decodePeerMessage("\x1a\x04\x4a\x02\x20\x09"), Error);
}

} // namespace
