/// \file
/// The callers of a soak, and what each of their requests came to.
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

/// One request as its caller saw it.
struct CallRecord {
  CallKind Kind = CallKind::Safe;
  std::string Attempt;
  std::string Payload;
  std::size_t Host = 0;
  Clock::time_point Start;
  Clock::time_point End;
  Duration Timeout{}; ///< How long its caller would wait.
  standins::HttpReply Reply;
};

/// Callers that ask hosts which addresses to use, keep the answer up to three
/// seconds, and connect through the proxies.
class SoakTraffic {
public:
  SoakTraffic(process::GatewayDeployment &Deployed,
              std::span<const std::unique_ptr<LoopbackProxy>> CallerLinks,
              std::uint64_t Seed, std::size_t Callers);
  ~SoakTraffic();

  /// Lets the requests under way end; what all came to.
  std::vector<CallRecord> finish();

  /// Sends one request to the host and waits for its end.
  CallRecord call(CallKind Kind, std::size_t Host, Duration Timeout);

private:
  void run(std::uint64_t Seed);
  /// The index of a host that the directories name; nothing when none answers.
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
