#include "app/QuarantineRecord.h"

#include <charconv>
#include <fmt/format.h>

namespace banyanpick {

namespace {

constexpr int HexBase = 16;
/// The value of a record. The key holds all that is needed.
constexpr std::string_view PresentValue = "quarantined";

} // namespace

KeyedRecord writeQuarantineRecord(const StoreQuarantine &Wanted) {
  KeyedRecord Result;
  Result.Key =
      fmt::format("{}{:016x}", QuarantineKeyPrefix, Wanted.Content.Value);
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
  const std::string_view Digits =
      std::string_view(Record.Key).substr(QuarantineKeyPrefix.size());
  std::uint64_t Content = 0;
  const char *End = Digits.data() + Digits.size();
  const auto [Read, Failure] =
      std::from_chars(Digits.data(), End, Content, HexBase);
  if (Failure != std::errc() || Read != End || Digits.empty())
    return std::nullopt;
  return Fingerprint(Content);
}

} // namespace banyanpick
