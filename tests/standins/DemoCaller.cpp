/// \file
/// The caller of the demonstration. Sends a fixed mix of requests, verifies
/// every answer and the run counts of the application, and prints one summary
/// line.
#include "standins/Caller.h"
#include "standins/WireText.h"

#include <atomic>
#include <gflags/gflags.h>
#include <random>
#include <sstream>
#include <thread>

DEFINE_string(hosts, "", "entry hosts to ask first, ip:port with commas");
DEFINE_string(zone, "", "the caller's data centre");
DEFINE_string(teams, "", "keys of the teams, team.secret with commas");
DEFINE_string(application, "", "address of the application stand-in");
DEFINE_uint64(count, 300, "requests to send");
DEFINE_uint64(seed, 1, "seed of the mix");
DEFINE_uint64(span_ms, 20'000, "time over which the requests start");
DEFINE_uint64(callers, 48, "requests at once at most");
DEFINE_bool(verbose, false, "print a line for each request");

namespace banyanpick::standins {

namespace {

using nlohmann::json;

constexpr Duration CountsTimeout = seconds(5);

std::vector<std::string> split(const std::string &Text) {
  std::vector<std::string> Parts;
  std::istringstream In(Text);
  for (std::string Part; std::getline(In, Part, ',');)
    Parts.push_back(Part);
  return Parts;
}

std::vector<CallerTeam> teamsFromFlags() {
  std::vector<CallerTeam> Teams;
  for (const std::string &Key : split(FLAGS_teams))
    Teams.push_back({Key.substr(0, Key.find('.')), Key});
  return Teams;
}

/// Combines the results of two sends of the same confirmation. The better one
/// counts.
WorkResult combine(const WorkResult &First, const WorkResult &Second) {
  WorkResult Result = First.Ended <= Second.Ended ? First : Second;
  Result.Misrouted = First.Misrouted || Second.Misrouted;
  Result.MayHaveRun = First.MayHaveRun || Second.MayHaveRun;
  Result.Attempts = First.Attempts + Second.Attempts;
  return Result;
}

WorkResult runConfirmation(Caller &Sender, const WorkItem &Item) {
  static std::atomic<std::uint64_t> Draws{std::random_device()()};
  const std::string Key =
      makeOperationKey(wallNow(), std::mt19937_64(Draws.fetch_add(1))());
  WorkResult SecondResult;
  std::thread SecondSender;
  if (Item.SentTwice)
    SecondSender =
        std::thread([&] { SecondResult = Sender.confirm(Item, Key, 1); });
  WorkResult Result = Sender.confirm(Item, Key, 0);
  if (Item.SentTwice) {
    SecondSender.join();
    return combine(Result, SecondResult);
  }
  if (Item.SentAfterAnswer)
    return combine(Result, Sender.confirm(Item, Key, 1));
  return Result;
}

/// Checks the application's run counts against the answers to the callers.
void checkRuns(std::vector<WorkResult> &Results, const json &Counts) {
  for (WorkResult &Result : Results) {
    if (Result.Key.empty())
      continue;
    const auto Runs = Counts.value<std::uint64_t>(Result.Key, 0);
    if (Runs > 1)
      Result.Duplicated = true;
    if (Runs == 0 && Result.Ended == WorkResult::End::Complete)
      Result.Ended = WorkResult::End::Lost;
    // Every answer said that the request did not run, but it did.
    if (Runs > 0 && !Result.MayHaveRun)
      Result.Ended = WorkResult::End::Lost;
  }
}

std::vector<WorkResult> runAll(const std::vector<WorkItem> &Items) {
  const auto Teams = teamsFromFlags();
  Resolver Hosts(split(FLAGS_hosts), FLAGS_zone);
  std::vector<WorkResult> Results(Items.size());
  std::atomic<std::size_t> NextItem{0};
  const auto StartedAt = std::chrono::steady_clock::now();
  const auto Work = [&] {
    for (std::size_t I = NextItem++; I < Items.size(); I = NextItem++) {
      const WorkItem &Item = Items[I];
      std::this_thread::sleep_until(StartedAt + Item.StartAfter);
      Caller Sender(Hosts, Teams.at(Item.Team));
      Results[I] = Item.Kind == WorkKind::Confirmation
                       ? runConfirmation(Sender, Item)
                       : Sender.run(Item);
    }
  };
  std::vector<std::thread> Callers;
  for (std::uint64_t I = 0; I < FLAGS_callers; ++I)
    Callers.emplace_back(Work);
  for (std::thread &Thread : Callers)
    Thread.join();
  return Results;
}

void printResult(const WorkItem &Item, const WorkResult &Result) {
  constexpr std::array Ends{"whole", "refused", "failed", "lost"};
  fmt::print(
      stderr,
      "{} {} {} tokens: {}{}{}, {} attempts, {} resumed, {} restarted, "
      "first token {} ms {}\n",
      Item.Number, Item.Class, Item.PromptTokens,
      Ends[static_cast<std::size_t>(Result.Ended)],
      Result.Duplicated ? " doubled" : "", Result.Misrouted ? " crossed" : "",
      Result.Attempts + 1, Result.Resumed, Result.Restarted,
      Result.FirstTokenAfter.count() / 1000, Result.LastAnswer.substr(0, 200));
}

int report(const std::vector<WorkItem> &Items,
           const std::vector<WorkResult> &Results) {
  std::array<std::uint64_t, 4> Ends{};
  std::uint64_t Duplicated = 0;
  std::uint64_t Misrouted = 0;
  for (std::size_t I = 0; I < Items.size(); ++I) {
    const WorkResult &Result = Results[I];
    ++Ends[static_cast<std::size_t>(Result.Ended)];
    Duplicated += Result.Duplicated ? 1 : 0;
    Misrouted += Result.Misrouted ? 1 : 0;
    const bool AsExpected = Result.Ended == WorkResult::End::Complete &&
                            !Result.Duplicated && !Result.Misrouted;
    if (!AsExpected || FLAGS_verbose)
      printResult(Items[I], Result);
  }
  fmt::print("demo: sent={} whole={} refused={} failed={} lost={} doubled={} "
             "crossed={}\n",
             Items.size(), Ends[0], Ends[1], Ends[2], Ends[3], Duplicated,
             Misrouted);
  const bool EnoughComplete = Ends[0] * 100 >= Items.size() * 95;
  return Ends[3] == 0 && Duplicated == 0 && Misrouted == 0 && EnoughComplete
             ? 0
             : 1;
}

int runDemo() {
  const auto Items =
      makeWorkload(FLAGS_seed, FLAGS_count, split(FLAGS_teams).size(),
                   milliseconds(FLAGS_span_ms));
  auto Results = runAll(Items);
  const HttpReply Counts =
      sendHttpRequest(FLAGS_application, {.Target = "/counts"}, CountsTimeout);
  if (!Counts.isComplete()) {
    fmt::print(stderr, "can't read the run counts of the application\n");
    return 1;
  }
  checkRuns(Results, Counts.parsed());
  return report(Items, Results);
}

} // namespace
} // namespace banyanpick::standins

int main(int Count, char **Values) {
  gflags::ParseCommandLineFlags(&Count, &Values, true);
  return banyanpick::standins::runDemo();
}
