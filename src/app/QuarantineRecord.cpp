#include "app/QuarantineRecord.h"

#include "base/Error.h"
#include "operators/OperatorJson.h"

namespace banyanpick {

namespace {

/// The values of a record. Any other value counts as a suspicion.
constexpr std::string_view SuspectedValue = "quarantined";
constexpr std::string_view ProvenValue = "proven";

} // namespace

KeyedRecord writeQuarantineRecord(const StoreQuarantine &Wanted) {
  KeyedRecord Result;
  Result.Key =
      std::string(QuarantineKeyPrefix) + fingerprintText(Wanted.Content);
  if (Wanted.Present)
    Result.Value = std::string(Wanted.IsProven ? ProvenValue : SuspectedValue);
  return Result;
}

bool isQuarantineRecord(const KeyedRecord &Record) {
  return Record.Value && Record.Key.starts_with(QuarantineKeyPrefix);
}

std::optional<StoredQuarantine>
readQuarantineRecord(const KeyedRecord &Record) {
  if (!isQuarantineRecord(Record))
    return std::nullopt;
  try {
    const std::string_view Key = Record.Key;
    return StoredQuarantine{
        parseFingerprint(Key.substr(QuarantineKeyPrefix.size())),
        *Record.Value == ProvenValue};
  } catch (const Error &) {
    return std::nullopt;
  }
}

} // namespace banyanpick
