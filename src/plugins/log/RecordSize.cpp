/// \file
#include "plugins/log/RecordSize.h"

#include "base/Visitor.h"

namespace banyanpick {

namespace {

/// Ids, lengths and numbers that every record has.
constexpr std::size_t FixedBytes = 64;
/// One change of a catalogue entry with a body of usual size.
constexpr std::size_t ChangeBytes = 256;

} // namespace

std::size_t estimatedBytes(const LogRecordBody &Body) {
  return FixedBytes +
         match(
             Body,
             [](const ConfigurationRecord &Content) {
               return Content.Set.Changes.size() * ChangeBytes;
             },
             [](const ClaimRecord &Content) {
               return Content.Key.Value.size();
             },
             [](const OutcomeRecord &Content) { return Content.Result.size(); },
             [](const SnapshotChunk &Content) { return Content.Bytes.size(); },
             [](const LeaderLease &Content) {
               return Content.Engine.Value.size();
             },
             [](const QuarantineRecord &) { return std::size_t{0}; });
}

} // namespace banyanpick
