#include "app/HostRecord.h"

#include "base/Error.h"
#include "http/AddressText.h"

#include <charconv>
#include <sstream>

namespace banyanpick {

namespace {

/// The largest value of the setting `processor`, in thousandths of a core.
constexpr std::uint32_t MaxProcessorThousandths = 1'024'000;

/// Returns the default for a missing, malformed or out-of-range value. Earlier
/// versions do not write it. A host that is taken for a far larger one would
/// get nearly all callers.
ProcessorShare processorFrom(std::string_view Text) {
  std::uint32_t Thousandths = 0;
  const char *End = Text.data() + Text.size();
  const auto [Parsed, Failure] = std::from_chars(Text.data(), End, Thousandths);
  const bool Fits = Failure == std::errc() && Parsed == End &&
                    Thousandths > 0 && Thousandths <= MaxProcessorThousandths;
  return Fits ? ProcessorShare{Thousandths} : ProcessorShare{};
}

} // namespace

KeyedRecord writeHostRecord(const HostListing &Host) {
  return {Host.Id.Value,
          text(Host.Callers) + " " + text(Host.Peers) + " " + Host.Zone.Value +
              " " + std::to_string(Host.Processor.Thousandths),
          0};
}

std::optional<HostListing> readHostRecord(const KeyedRecord &Record) {
  if (!Record.Value || Record.Key.empty())
    return std::nullopt;
  std::istringstream Fields(*Record.Value);
  std::string Callers;
  std::string Peers;
  HostListing Result;
  std::string Processor;
  Fields >> Callers >> Peers >> Result.Zone.Value >> Processor;
  Result.Processor = processorFrom(Processor);
  try {
    Result.Id.Value = Record.Key;
    Result.Callers = addressFromText(Callers);
    Result.Peers = addressFromText(Peers);
  } catch (const Error &) {
    return std::nullopt;
  }
  return Result;
}

} // namespace banyanpick
