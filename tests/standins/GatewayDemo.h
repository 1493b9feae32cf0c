/// \file
/// Requests and expected answers of the gateway's demonstration and process
/// tests.
#pragma once

#include "base/Time.h"
#include "standins/HttpClient.h"

#include <cstdint>
#include <string>

namespace banyanpick::standins {

/// Default number of events in a stream of the stand-in.
inline constexpr std::uint32_t DemoEvents = 10;

/// Returns one event of the stand-in upstream's streams.
std::string demoEvent(std::uint64_t Id);
/// Returns a complete stream.
std::string demoStream(std::uint32_t Events = DemoEvents);

/// Host name and key that a caller sends.
struct DemoCaller {
  std::string Host = "demo.example";
  std::string Key = "demo-key";
};

/// Returns a request of the caller with the remaining time \p Timeout.
OutgoingRequest demoRequest(const DemoCaller &Caller, const std::string &Path,
                            const std::string &Attempt, const std::string &Body,
                            Duration Timeout);

} // namespace banyanpick::standins
