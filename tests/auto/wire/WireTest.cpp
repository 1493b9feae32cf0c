/// \file
/// Every message comes back as it was written, and no bytes crash a decoder.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "base/Error.h"
#include "wire/LogCodec.h"
#include "wire/PeerCodec.h"

using namespace banyanpick;

namespace {

// Values drawn inside a property.
std::string text() { return *rc::gen::arbitrary<std::string>(); }
std::uint64_t number() { return *rc::gen::arbitrary<std::uint64_t>(); }
std::uint32_t small() { return *rc::gen::arbitrary<std::uint32_t>(); }
bool flag() { return *rc::gen::arbitrary<bool>(); }
double real() { return *rc::gen::inRange(-1000000, 1000000) / 64.0; }
Duration span() { return Duration(*rc::gen::arbitrary<std::int64_t>()); }
Time moment() { return Time(span()); }
template <class Id> Id id() { return Id(text()); }
Incarnation life() { return Incarnation(number()); }
template <class Enum> Enum oneOf(Enum Last) {
  return static_cast<Enum>(*rc::gen::inRange(0, static_cast<int>(Last) + 1));
}
template <class Make> auto several(Make Item) {
  std::vector<decltype(Item())> Result(*rc::gen::inRange<std::size_t>(0, 4));
  for (auto &Each : Result)
    Each = Item();
  return Result;
}

EntryBody entryBody() {
  switch (*rc::gen::inRange(0, 4)) {
  case 0:
    return OwnerEntry{KeyDigest{text()}};
  case 1:
    return TeamEntry{KeyDigest{text()}, real(),  small(),
                     number(),          small(), several(id<ClassId>)};
  case 2:
    return ClassEntry{oneOf(TargetKind::Application),
                      text(),
                      number(),
                      number(),
                      span(),
                      span(),
                      span(),
                      span(),
                      small(),
                      flag()};
  default:
    return ModelEntry{text(), number(), small(), small()};
  }
}

Change change() {
  Change Result{{oneOf(EntryKind::Model), text()}, number(), id<OwnerId>(), {}};
  if (flag())
    Result.Body = entryBody();
  return Result;
}

LogRecord logRecord() {
  const RecordId Id{life(), number()};
  switch (*rc::gen::inRange(0, 6)) {
  case 0:
    return {Id, ConfigurationRecord{
                    {id<ChangeId>(), id<OwnerId>(), several(change)}}};
  case 1:
    return {Id, ClaimRecord{id<OperationKey>(), id<TeamId>(), id<HostId>(),
                            life(), Fingerprint(number())}};
  case 2:
    return {Id, OutcomeRecord{id<OperationKey>(), id<TeamId>(), life(),
                              oneOf(OutcomeRecord::Kind::Released), text(),
                              number()}};
  case 3:
    return {Id, SnapshotChunk{number(), small(), small(), number(), text()}};
  case 4:
    return {Id, StewardLease{id<UpstreamId>(), id<HostId>(), life(), span()}};
  default:
    return {Id, QuarantineRecord{Fingerprint(number()), small(), moment()}};
  }
}

LoadReport loadReport() {
  return {id<UpstreamId>(),
          life(),
          moment(),
          flag(),
          small(),
          small(),
          number(),
          number(),
          number(),
          real(),
          real(),
          number(),
          several(id<ModelId>),
          several([] {
            return HoldReport{oneOf(HoldKind::Export),
                              number(),
                              number(),
                              text(),
                              number(),
                              moment()};
          }),
          several([] {
            return PriorityBacklog{small(), number()};
          })};
}

Heartbeat heartbeat() {
  Heartbeat Result{number(),
                   flag(),
                   id<ZoneId>(),
                   number(),
                   flag(),
                   flag(),
                   number(),
                   moment(),
                   several([] {
                     return MemberUpdate{id<HostId>(), life(), number(),
                                         oneOf(MemberState::Leaving), flag()};
                   })};
  Result.KnownHosts = several([] {
    HostListing Each;
    Each.Id = id<HostId>();
    Each.Zone = id<ZoneId>();
    Each.Processor.Thousandths = small() + 1;
    return Each;
  });
  Result.EnginesKnownTo = number();
  Result.EnginesDigest = number();
  return Result;
}

/// Positive, and short enough not to be cut.
double millisecondsUpToADay() { return *rc::gen::inRange(0, 86'400'000) / 7.0; }

EngineLimits engineLimits() {
  EngineLimits Result;
  Result.LimitReports = several([] {
    const std::optional<double> PerSecond =
        flag() ? std::optional(millisecondsUpToADay()) : std::nullopt;
    return EngineLimits::LimitReport{id<UpstreamId>(), PerSecond,
                                     millisecondsUpToADay()};
  });
  Result.LeaseRequests = several([] {
    return EngineLimits::LeaseRequest{id<UpstreamId>(), number(), small()};
  });
  Result.Leases = several([] {
    return EngineLimits::Lease{id<UpstreamId>(), number(), small(),
                               millisecondsUpToADay()};
  });
  Result.Returns = several([] {
    return EngineLimits::Return{id<UpstreamId>(), number(), small()};
  });
  return Result;
}

EngineSignals engineSignals() {
  EngineSignals Result;
  Result.Backoffs = several([] {
    return EngineSignals::Backoff{id<UpstreamId>(), millisecondsUpToADay()};
  });
  Result.Leaving = several([] { return id<UpstreamId>(); });
  return Result;
}

PeerMessageBody peerBody() {
  switch (*rc::gen::inRange(0, 15)) {
  case 0:
    return heartbeat();
  case 1:
    return WorkSent{several([] {
      return WorkSent::Item{id<UpstreamId>(), number(), small()};
    })};
  case 2:
    return TeamUsage{number(), several([] {
                       return TeamUsage::Item{id<TeamId>(), real(),  real(),
                                              real(),       small(), small()};
                     })};
  case 3:
    return LimitShare{id<TeamId>(), number(), real(), moment(), number()};
  case 4:
    return RecordsRelayed{several([] {
                            return StoredRecord{number(), small(), logRecord()};
                          }),
                          number(), number()};
  case 5:
    return RecordsRequest{number()};
  case 6:
    return CatalogueRelayed{number(), text()};
  case 7:
    return QuarantineNotice{Fingerprint(number()), small(), moment(),
                            id<UpstreamId>(), life()};
  case 8:
    return UpstreamNotice{id<UpstreamId>(), life(), flag(), flag()};
  case 9:
    return LoadRelayed{loadReport()};
  case 10:
    return StreamHandover{text(),           id<TeamId>(),
                          id<ClassId>(),    AttemptId{life(), number()},
                          id<UpstreamId>(), number(),
                          moment()};
  case 11:
    return HandoverTaken{text()};
  case 12:
    return engineLimits();
  case 13:
    return engineSignals();
  default:
    return RecordsToAppend{several([] { return logRecord(); })};
  }
}

PeerMessage peerMessage() { return {id<HostId>(), life(), peerBody()}; }

/// Decodes and ignores the one error that is allowed.
template <class Decode> void decodeAnything(Decode Function) {
  try {
    Function();
  } catch (const Error &Problem) {
    RC_ASSERT(Problem.kind() == ErrorKind::BadInput);
  }
}

RC_GTEST_PROP(Wire, LogBatchRoundTrip, ()) {
  const auto Records = several(logRecord);
  RC_ASSERT(decodeLogBatch(encodeLogBatch(Records)) == Records);
}

RC_GTEST_PROP(Wire, PeerMessageRoundTrip, ()) {
  const PeerMessage Message = peerMessage();
  RC_ASSERT(decodePeerMessage(encodePeerMessage(Message)) == Message);
}

RC_GTEST_PROP(Wire, RandomBytesAreRefusedOrRead, (const std::string &Bytes)) {
  decodeAnything([&] { decodeLogBatch(Bytes); });
  decodeAnything([&] { decodePeerMessage(Bytes); });
}

RC_GTEST_PROP(Wire, DamagedMessagesAreRefusedOrRead, ()) {
  std::string Bytes = flag() ? encodePeerMessage(peerMessage())
                             : encodeLogBatch(several(logRecord));
  Bytes.resize(*rc::gen::inRange<std::size_t>(0, Bytes.size() + 1));
  if (!Bytes.empty())
    Bytes[*rc::gen::inRange<std::size_t>(0, Bytes.size())] =
        *rc::gen::arbitrary<char>();
  decodeAnything([&] { decodeLogBatch(Bytes); });
  decodeAnything([&] { decodePeerMessage(Bytes); });
}

TEST(Wire, MissingBodiesAndUnknownEnumeratorsAreRefused) {
  EXPECT_THROW(decodePeerMessage(""), Error);
  // Field 3 (heartbeat) with a rumour (9) in state (4) number 9.
  EXPECT_THROW(decodePeerMessage("\x1a\x04\x4a\x02\x20\x09"), Error);
}

} // namespace
