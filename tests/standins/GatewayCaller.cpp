/// \file
/// The caller of the gateway's demonstration. Asks the directory for hosts,
/// sends requests of three kinds at a steady rate, and counts their outcomes.
/// Ends with one line:
///   demo: sent=N whole=N refused=N failed=N lost=0 doubled=0 crossed=0
#include "platform/WireNames.h"
#include "standins/GatewayDemo.h"

#include <atomic>
#include <chrono>
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <mutex>
#include <random>
#include <sstream>
#include <thread>

DEFINE_string(directories, "", "addresses that name hosts, with commas");
DEFINE_string(upstreams, "", "addresses of upstreams, with commas");
DEFINE_string(host, "demo.example", "the host of the routes");
DEFINE_string(key, "demo-key", "the caller's key");
DEFINE_uint32(requests, 300, "how many are sent");
DEFINE_uint32(span_ms, 15000, "over how long");
DEFINE_uint32(events, banyanpick::standins::DemoEvents,
              "events of a whole stream");

namespace banyanpick::standins {

namespace {

using nlohmann::json;

/// Time limit for one request with all its attempts.
constexpr seconds Deadline(8);
/// Maximum number of attempts of one request. A request that may run at most
/// once is repeated only after an answer that excludes a run.
constexpr int MaxAttempts = 4;
/// Minimum share of complete answers.
constexpr double MinCompleteShare = 0.95;

std::vector<std::string> split(const std::string &Text) {
  std::vector<std::string> Result;
  std::istringstream In(Text);
  for (std::string Part; std::getline(In, Part, ',');)
    Result.push_back(Part);
  return Result;
}

struct Counts {
  std::atomic<std::uint64_t> Complete = 0;
  std::atomic<std::uint64_t> Refused = 0;
  std::atomic<std::uint64_t> Failed = 0;
  std::atomic<std::uint64_t> Lost = 0;
  std::atomic<std::uint64_t> Misrouted = 0;
};

enum class Kind { Safe, Once, Stream };

std::string resolveHost(std::mt19937 &Rng) {
  std::vector<std::string> Directories = split(FLAGS_directories);
  std::shuffle(Directories.begin(), Directories.end(), Rng);
  for (const std::string &Address : Directories) {
    OutgoingRequest Req;
    Req.Target = std::string(platform::path::Resolution) +
                 "?Name=" + FLAGS_host + "&Zone=east";
    const json Hosts = sendHttpRequest(Address, Req, seconds(1)).parsed();
    if (!Hosts.is_object() || Hosts.value("Addresses", json()).empty())
      continue;
    const json &Addresses = Hosts["Addresses"];
    return Addresses[Rng() % Addresses.size()];
  }
  return {};
}

/// Returns whether the body is the complete answer to this request.
bool isOwn(Kind RequestKind, const std::string &Body,
           const std::string &Payload) {
  return RequestKind == Kind::Stream ? Body == demoStream(FLAGS_events)
                                     : Body.ends_with(": " + Payload);
}

std::string pathOf(Kind RequestKind) {
  if (RequestKind == Kind::Stream)
    return "/stream/x";
  return RequestKind == Kind::Safe ? "/safe/x" : "/once/x";
}

void sendRequest(std::uint32_t Number, Counts &Totals) {
  std::mt19937 Rng(Number);
  const Kind RequestKind = static_cast<Kind>(Number % 3);
  const std::string Payload = fmt::format("payload-{}", Number);
  const auto Start = std::chrono::steady_clock::now();
  for (int Attempt = 0; Attempt < MaxAttempts; ++Attempt) {
    const auto Elapsed = std::chrono::duration_cast<Duration>(
        std::chrono::steady_clock::now() - Start);
    const std::string Address = resolveHost(Rng);
    if (Address.empty() || Elapsed >= Deadline)
      continue;
    const HttpReply Reply = sendHttpRequest(
        Address,
        demoRequest({FLAGS_host, FLAGS_key}, pathOf(RequestKind),
                    fmt::format("demo-{}-{}", Number, Attempt), Payload,
                    Deadline - Elapsed),
        Deadline - Elapsed);
    if (Reply.isComplete() && Reply.Status == 200) {
      ++(isOwn(RequestKind, Reply.Body, Payload) ? Totals.Complete
                                                 : Totals.Misrouted);
      return;
    }
    const bool NotExecuted =
        Reply.Ended == HttpReply::End::NotConnected || Reply.Status == 503;
    if (RequestKind == Kind::Once && !NotExecuted) {
      // The host may have been killed during the request, so the outcome is
      // unknown.
      ++Totals.Failed;
      return;
    }
    std::this_thread::sleep_for(milliseconds(100));
  }
  ++Totals.Refused;
}

std::uint64_t countDuplicated() {
  std::map<std::string, int> Runs;
  for (const std::string &Address : split(FLAGS_upstreams)) {
    OutgoingRequest Req;
    Req.Target = "/standin/runs";
    const json Reply = sendHttpRequest(Address, Req, seconds(2)).parsed();
    if (!Reply.is_object())
      continue;
    for (const auto &[Attempt, Count] : Reply["runs"].items())
      Runs[Attempt] += Count.get<int>();
  }
  std::uint64_t Duplicated = 0;
  for (const auto &[Attempt, Count] : Runs) {
    std::uint32_t Number = 0;
    if (std::sscanf(Attempt.c_str(), "demo-%u-", &Number) == 1 &&
        static_cast<Kind>(Number % 3) == Kind::Once && Count > 1)
      ++Duplicated;
  }
  return Duplicated;
}

} // namespace
} // namespace banyanpick::standins

int main(int Count, char **Values) {
  using namespace banyanpick::standins;
  gflags::ParseCommandLineFlags(&Count, &Values, true);
  Counts Result;
  std::vector<std::thread> Threads;
  for (std::uint32_t Number = 0; Number < FLAGS_requests; ++Number) {
    Threads.emplace_back(sendRequest, Number, std::ref(Result));
    std::this_thread::sleep_for(
        std::chrono::milliseconds(FLAGS_span_ms / FLAGS_requests));
  }
  for (std::thread &Thread : Threads)
    Thread.join();
  const std::uint64_t Duplicated = countDuplicated();
  const std::uint64_t Ended =
      Result.Complete + Result.Refused + Result.Failed + Result.Misrouted;
  const std::uint64_t Lost = FLAGS_requests - Ended;
  fmt::print("demo: sent={} whole={} refused={} failed={} lost={} doubled={} "
             "crossed={}\n",
             FLAGS_requests, Result.Complete.load(), Result.Refused.load(),
             Result.Failed.load(), Lost, Duplicated, Result.Misrouted.load());
  const bool Succeeded =
      Lost == 0 && Duplicated == 0 && Result.Misrouted == 0 &&
      static_cast<double>(Result.Complete) >= MinCompleteShare * FLAGS_requests;
  return Succeeded ? 0 : 1;
}
