#include "app/HostRecord.h"

#include "base/Error.h"
#include "http/AddressText.h"

#include <sstream>

namespace banyanpick {

KeyedRecord writeHostRecord(const HostListing &Host) {
  return {Host.Id.Value,
          text(Host.Callers) + " " + text(Host.Peers) + " " + Host.Zone.Value +
              " " + std::to_string(Host.Processor.Thousandths),
          0};
}

std::optional<HostListing> readHostRecord(const KeyedRecord &Record) {
  if (!Record.Value)
    return std::nullopt;
  std::istringstream Fields(*Record.Value);
  std::string Callers;
  std::string Peers;
  HostListing Result;
  Fields >> Callers >> Peers >> Result.Zone.Value;
  std::uint32_t Thousandths = 0;
  // Earlier versions do not write this field.
  if (Fields >> Thousandths && Thousandths > 0)
    Result.Processor.Thousandths = Thousandths;
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
