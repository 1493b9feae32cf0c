/// \file
/// The callers of a soak, with a record of each call.
#pragma once

#include "process/GatewayDeployment.h"
#include "soak/LoopbackProxy.h"

#include <atomic>
#include <chrono>
#include <mutex>
#include <random>
#include <span>
#include <thread>

namespace banyanpick::soak {

using Clock = std::chrono::steady_clock;

enum class CallKind { Safe, Unsafe, Stream };

/// One call with its result as seen by the caller.
struct CallRecord {
  CallKind Kind = CallKind::Safe;
  std::string Attempt;
  std::string Payload;
  std::size_t Host = 0;
  Clock::time_point Start;
  Clock::time_point End;
  Duration Timeout{}; ///< How long the caller waits.
  standins::HttpReply Reply;
};

/// Runs callers, one thread each. A caller asks a host for the addresses of all
/// hosts, uses the answer for up to three seconds and connects through the
/// proxies.
class SoakTraffic {
public:
  SoakTraffic(process::GatewayDeployment &Deployed,
              std::span<const std::unique_ptr<LoopbackProxy>> CallerLinks,
              std::uint64_t Seed, std::size_t Callers);
  ~SoakTraffic();

  /// Waits for the calls in progress and returns the records of all calls.
  std::vector<CallRecord> finish();

  /// Sends one request to the host and waits for the answer.
  CallRecord call(CallKind Kind, std::size_t Host, Duration Timeout);

private:
  void run(std::uint64_t Seed);
  /// Returns the index of a host that a directory names, or nothing if there is
  /// no recent answer.
  std::optional<std::size_t> pickHost(std::mt19937_64 &Rng,
                                      std::vector<std::string> &Addresses,
                                      Clock::time_point &ReceivedAt) const;

  process::GatewayDeployment &Deployed;
  std::span<const std::unique_ptr<LoopbackProxy>> CallerLinks;
  std::atomic<bool> Stopping = false;
  std::atomic<std::uint64_t> Calls = 0;
  std::mutex Mutex;
  std::vector<CallRecord> Records;
  std::vector<std::thread> Threads;
};

} // namespace banyanpick::soak
