/// \file
/// The caller of the gateway's demonstration: asks the directory for hosts,
/// sends requests of three kinds at a steady rate, and counts what came of
/// them. Ends with one line:
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

/// A caller's patience with one request.
constexpr seconds Deadline(8);
/// Tries of one request in all; a promise that it did not run allows another.
constexpr int MostTries = 4;
/// Of a hundred requests, so many must be whole.
constexpr double WholeWanted = 0.95;

std::vector<std::string> split(const std::string &Text) {
  std::vector<std::string> Result;
  std::istringstream In(Text);
  for (std::string Each; std::getline(In, Each, ',');)
    Result.push_back(Each);
  return Result;
}

struct Counts {
  std::atomic<std::uint64_t> Whole = 0;
  std::atomic<std::uint64_t> Refused = 0;
  std::atomic<std::uint64_t> Failed = 0;
  std::atomic<std::uint64_t> Lost = 0;
  std::atomic<std::uint64_t> Crossed = 0;
};

enum class Kind { Safe, Once, Stream };

std::string hostFor(std::mt19937 &Numbers) {
  std::vector<std::string> Directories = split(FLAGS_directories);
  std::shuffle(Directories.begin(), Directories.end(), Numbers);
  for (const std::string &At : Directories) {
    OutgoingRequest Ask;
    Ask.Target = std::string(platform::path::Resolution) +
                 "?Name=" + FLAGS_host + "&Zone=east";
    const json Hosts = sendHttpRequest(At, Ask, seconds(1)).parsed();
    if (!Hosts.is_object() || Hosts.value("Addresses", json()).empty())
      continue;
    const json &Addresses = Hosts["Addresses"];
    return Addresses[Numbers() % Addresses.size()];
  }
  return {};
}

/// Whether the body is the answer to this very request, whole.
bool isOwn(Kind Of, const std::string &Body, const std::string &Payload) {
  return Of == Kind::Stream ? Body == demoStream(FLAGS_events)
                            : Body.ends_with(": " + Payload);
}

std::string pathOf(Kind Of) {
  if (Of == Kind::Stream)
    return "/stream/x";
  return Of == Kind::Safe ? "/safe/x" : "/once/x";
}

void sendOne(std::uint32_t Number, Counts &Into) {
  std::mt19937 Numbers(Number);
  const Kind Of = static_cast<Kind>(Number % 3);
  const std::string Payload = fmt::format("payload-{}", Number);
  const auto Start = std::chrono::steady_clock::now();
  for (int Try = 0; Try < MostTries; ++Try) {
    const auto Passed = std::chrono::duration_cast<Duration>(
        std::chrono::steady_clock::now() - Start);
    const std::string At = hostFor(Numbers);
    if (At.empty() || Passed >= Deadline)
      continue;
    const HttpReply Reply =
        sendHttpRequest(At,
                        demoQuestion({FLAGS_host, FLAGS_key}, pathOf(Of),
                                     fmt::format("demo-{}-{}", Number, Try),
                                     Payload, Deadline - Passed),
                        Deadline - Passed);
    if (Reply.isComplete() && Reply.Status == 200) {
      ++(isOwn(Of, Reply.Body, Payload) ? Into.Whole : Into.Crossed);
      return;
    }
    const bool Promised =
        Reply.Ended == HttpReply::End::NotConnected || Reply.Status == 503;
    if (Of == Kind::Once && !Promised) {
      // A host may be killed with the request: then nobody can tell.
      ++Into.Failed;
      return;
    }
    std::this_thread::sleep_for(milliseconds(100));
  }
  ++Into.Refused;
}

std::uint64_t countDoubled() {
  std::map<std::string, int> Runs;
  for (const std::string &At : split(FLAGS_upstreams)) {
    OutgoingRequest Ask;
    Ask.Target = "/standin/runs";
    const json Reply = sendHttpRequest(At, Ask, seconds(2)).parsed();
    if (!Reply.is_object())
      continue;
    for (const auto &[Attempt, Count] : Reply["runs"].items())
      Runs[Attempt] += Count.get<int>();
  }
  std::uint64_t Doubled = 0;
  for (const auto &[Attempt, Count] : Runs) {
    std::uint32_t Number = 0;
    if (std::sscanf(Attempt.c_str(), "demo-%u-", &Number) == 1 &&
        static_cast<Kind>(Number % 3) == Kind::Once && Count > 1)
      ++Doubled;
  }
  return Doubled;
}

} // namespace
} // namespace banyanpick::standins

int main(int Count, char **Values) {
  using namespace banyanpick::standins;
  gflags::ParseCommandLineFlags(&Count, &Values, true);
  Counts Result;
  std::vector<std::thread> Threads;
  for (std::uint32_t Number = 0; Number < FLAGS_requests; ++Number) {
    Threads.emplace_back(sendOne, Number, std::ref(Result));
    std::this_thread::sleep_for(
        std::chrono::milliseconds(FLAGS_span_ms / FLAGS_requests));
  }
  for (std::thread &Each : Threads)
    Each.join();
  const std::uint64_t Doubled = countDoubled();
  const std::uint64_t Ended =
      Result.Whole + Result.Refused + Result.Failed + Result.Crossed;
  const std::uint64_t Lost = FLAGS_requests - Ended;
  fmt::print("demo: sent={} whole={} refused={} failed={} lost={} doubled={} "
             "crossed={}\n",
             FLAGS_requests, Result.Whole.load(), Result.Refused.load(),
             Result.Failed.load(), Lost, Doubled, Result.Crossed.load());
  const bool Good =
      Lost == 0 && Doubled == 0 && Result.Crossed == 0 &&
      static_cast<double>(Result.Whole) >= WholeWanted * FLAGS_requests;
  return Good ? 0 : 1;
}
