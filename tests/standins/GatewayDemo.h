/// \file
/// What the gateway's demonstration and process tests send and expect.
#pragma once

#include "base/Time.h"
#include "standins/HttpClient.h"

#include <cstdint>
#include <string>

namespace banyanpick::standins {

/// Events of a stream, unless the stand-in is told another number.
inline constexpr std::uint32_t DemoEvents = 10;

/// One event of the stand-in upstream's streams.
std::string demoEvent(std::uint64_t Id);
/// A whole stream.
std::string demoStream(std::uint32_t Events = DemoEvents);

/// Who asks.
struct DemoCaller {
  std::string Host = "demo.example";
  std::string Key = "demo-key";
};

/// A request of the caller that waits for \p Left.
OutgoingRequest demoRequest(const DemoCaller &Caller, const std::string &Path,
                            const std::string &Attempt, const std::string &Body,
                            Duration Timeout);

} // namespace banyanpick::standins
