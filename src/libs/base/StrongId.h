/// \file
/// Identifier types that cannot be mixed up at compile time.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace banyanpick {

/// A value of type \p Rep that is only comparable with values of the same
/// \p Tag.
template <class Tag, class Rep> struct StrongId {
  Rep Value{};

  StrongId() = default;
  explicit StrongId(Rep Value) : Value(std::move(Value)) {}

  // NOLINTNEXTLINE(modernize-use-nullptr): clang 14 misreads defaults.
  auto operator<=>(const StrongId &) const = default;
};

/// Name of an entry host, from its settings; unique in the deployment.
using HostId = StrongId<struct HostTag, std::string>;
/// Name of an upstream (model engine or application service), from the host
/// list.
using UpstreamId = StrongId<struct UpstreamTag, std::string>;
/// Name of a data centre.
using ZoneId = StrongId<struct ZoneTag, std::string>;
/// Name of a team, the customer of an operator.
using TeamId = StrongId<struct TeamTag, std::string>;
/// Name of a request class in the catalogue.
using ClassId = StrongId<struct ClassTag, std::string>;
/// Name of a model in the catalogue.
using ModelId = StrongId<struct ModelTag, std::string>;
/// Name of an owner of catalogue entries.
using OwnerId = StrongId<struct OwnerTag, std::string>;
/// One caller's request on one entry host; assigned by its traffic thread.
using RequestId = StrongId<struct RequestTag, std::uint64_t>;
/// One run of a process: drawn at random at its start and never reused.
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;
/// The caller's key of a non-idempotent operation; a UUIDv7.
using OperationKey = StrongId<struct OperationTag, std::string>;
/// Content fingerprint of a request; equal for equal content.
using Fingerprint = StrongId<struct FingerprintTag, std::uint64_t>;
/// Hash of a prompt block, chained over all preceding blocks.
using BlockHash = std::uint64_t;
/// Position of a record in the platform's log.
using LogOffset = std::uint64_t;

/// An id that is unique over all hosts and their incarnations. Consists of the
/// incarnation that created it and a sequence number of that incarnation.
template <class Tag> struct SequencedId {
  Incarnation Maker;
  std::uint64_t Sequence = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang 14 misreads defaults.
  auto operator<=>(const SequencedId &) const = default;
};

/// One attempt of a request on one upstream; repeated in each chunk of its
/// answer.
using AttemptId = SequencedId<struct AttemptTag>;
/// One record appended to the log; identifies the record in the log if the
/// answer to the append is lost.
using RecordId = SequencedId<struct RecordTag>;
/// Memory held on one engine for a group of engines.
using HoldId = SequencedId<struct HoldTag>;
/// One order to an engine.
using OrderId = SequencedId<struct OrderTag>;
/// One change set of an operator; created by the command-line tool.
using ChangeId = StrongId<struct ChangeTag, std::string>;

/// Combines hash values (the golden-ratio mix used by Boost).
inline std::size_t combineHashes(std::size_t First, std::size_t Second) {
  return First ^ (Second + 0x9e3779b97f4a7c15ULL + (First << 6) + (First >> 2));
}

} // namespace banyanpick

template <class Tag, class Rep>
struct std::hash<banyanpick::StrongId<Tag, Rep>> {
  std::size_t operator()(const banyanpick::StrongId<Tag, Rep> &Id) const {
    return std::hash<Rep>()(Id.Value);
  }
};

template <class Tag> struct std::hash<banyanpick::SequencedId<Tag>> {
  std::size_t operator()(const banyanpick::SequencedId<Tag> &Id) const {
    return banyanpick::combineHashes(
        std::hash<banyanpick::Incarnation>()(Id.Maker),
        std::hash<std::uint64_t>()(Id.Sequence));
  }
};
