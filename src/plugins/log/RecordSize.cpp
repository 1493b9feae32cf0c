/// \file
#include "plugins/log/RecordSize.h"

#include "base/Visitor.h"

namespace banyanpick {

namespace {

/// Ids, lengths and numbers of any record.
constexpr std::size_t FixedBytes = 64;
/// A change of a catalogue entry with its usual body.
constexpr std::size_t ChangeBytes = 256;

} // namespace

std::size_t estimatedBytes(const LogRecordBody &Body) {
  return FixedBytes +
         match(
             Body,
             [](const ConfigurationRecord &Given) {
               return Given.Set.Changes.size() * ChangeBytes;
             },
             [](const ClaimRecord &Given) { return Given.Key.Value.size(); },
             [](const OutcomeRecord &Given) { return Given.Result.size(); },
             [](const SnapshotChunk &Given) { return Given.Bytes.size(); },
             [](const StewardLease &Given) {
               return Given.Engine.Value.size();
             },
             [](const QuarantineRecord &) { return std::size_t{0}; });
}

} // namespace banyanpick
