/// \file
/// The callers of a soak, with a record of each call.
#pragma once

#include "process/GatewayDeployment.h"
#include "soak/LoopbackProxy.h"

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <span>
#include <thread>

namespace banyanpick::soak {

using Clock = std::chrono::steady_clock;

enum class CallKind {
  Safe,
  Unsafe,
  Stream,
  LongStream ///< Takes a large part of the time that a stopping host has.
};

/// One call with its result as seen by the caller.
struct CallRecord {
  CallKind Kind = CallKind::Safe;
  std::string Attempt;
  std::string Payload;
  std::size_t Host = 0;
  Clock::time_point Start;
  Clock::time_point End;
  Duration Timeout{};            ///< How long the caller waits.
  bool OnKeptConnection = false; ///< It was sent on an open connection.
  /// No directory has named hosts for longer than a stopping host takes
  /// callers.
  bool ToOldAddress = false;
  standins::HttpReply Reply;
};

/// Returns whether the answer is a stream of events.
bool isStream(CallKind Kind);

/// Runs callers, one thread each. A caller asks a host for the addresses of all
/// hosts, uses the answer until it gets another one and connects through the
/// proxies. Every other caller keeps its connections and uses them until the
/// host closes them.
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
  using KeptConnections =
      std::map<std::size_t, std::unique_ptr<standins::KeptConnection>>;

  /// Sends one request to the host, on a connection of \p Kept if there are any
  /// to keep. \p Kept may be null.
  CallRecord call(CallKind Kind, std::size_t Host, Duration Timeout,
                  KeptConnections *Kept);
  void run(std::uint64_t Seed);
  /// The last answer of a directory that named hosts.
  struct KnownHosts {
    std::vector<std::string> Addresses;
    Clock::time_point ReceivedAt;
  };

  /// Returns the index of a host that a directory named, or nothing if none has
  /// answered yet. Asks again if the last answer is old.
  std::optional<std::size_t> pickHost(std::mt19937_64 &Rng,
                                      KnownHosts &Known) const;

  process::GatewayDeployment &Deployed;
  std::span<const std::unique_ptr<LoopbackProxy>> CallerLinks;
  std::atomic<bool> Stopping = false;
  std::atomic<std::uint64_t> Calls = 0;
  std::mutex Mutex;
  std::vector<CallRecord> Records;
  std::vector<std::thread> Threads;
};

} // namespace banyanpick::soak
