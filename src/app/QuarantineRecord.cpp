#include "app/QuarantineRecord.h"

#include "base/Error.h"
#include "operators/OperatorJson.h"

namespace banyanpick {

namespace {

/// The value of a record. The key holds all that is needed.
constexpr std::string_view PresentValue = "quarantined";

} // namespace

KeyedRecord writeQuarantineRecord(const StoreQuarantine &Wanted) {
  KeyedRecord Result;
  Result.Key =
      std::string(QuarantineKeyPrefix) + fingerprintText(Wanted.Content);
  if (Wanted.Present)
    Result.Value = std::string(PresentValue);
  return Result;
}

bool isQuarantineRecord(const KeyedRecord &Record) {
  return Record.Value && Record.Key.starts_with(QuarantineKeyPrefix);
}

std::optional<Fingerprint> readQuarantineRecord(const KeyedRecord &Record) {
  if (!isQuarantineRecord(Record))
    return std::nullopt;
  try {
    return parseFingerprint(
        std::string_view(Record.Key).substr(QuarantineKeyPrefix.size()));
  } catch (const Error &) {
    return std::nullopt;
  }
}

} // namespace banyanpick
