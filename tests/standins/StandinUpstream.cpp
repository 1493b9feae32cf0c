/// \file
/// A small upstream that implements the platform's protocol. It streams events
/// for paths that begin with `/stream/` or, slowly, with `/long/`. It sends a
/// complete answer otherwise, and registers itself in the store.
///
/// --fault sets how each request fails: `cut` aborts a stream in the middle of
/// an event and other answers before they begin, `error` answers 500 to
/// requests that are not streams, `refuse` answers that the request did not
/// run, `foreign` names another attempt in the answer, `truncate` sends fewer
/// bytes than announced, `unsealed` omits the seal, `silent` never answers, and
/// `stall` sends three events of a stream and then nothing. `limit` is not a
/// failure: every answer announces the accepted requests per second (--limit).
/// `rest` refuses every request and asks for a backoff of --rest seconds.
/// `leaving` announces in every answer that the upstream is leaving, while its
/// registration does not. `crash` ends the process at a request with the body
/// "crash".
///
/// `GET /standin/runs` returns the number of runs of each attempt, the arrivals
/// since the first answer with a limit, and all arrivals with a mark for those
/// refused by `rest`. Times are microseconds of the steady clock.
#include "platform/WireNames.h"
#include "standins/GatewayDemo.h"
#include "standins/HttpServer.h"

#include <chrono>
#include <fmt/format.h>
#include <fstream>
#include <gflags/gflags.h>
#include <map>
#include <mutex>
#include <optional>
#include <thread>

DEFINE_string(listen, "127.0.0.1:7500", "where it listens");
DEFINE_string(registered, "", "where hosts reach it, if not there");
DEFINE_string(runs_file, "", "where it notes each request that it runs");
DEFINE_string(id, "u1", "its id");
DEFINE_string(service, "desk", "the service that it is a part of");
DEFINE_string(zone, "east", "its data centre");
DEFINE_string(store, "127.0.0.1:7400", "the store to register in");
DEFINE_string(fault, "", "how it fails");
DEFINE_string(limit, "1.6", "requests a second that it says it takes");
DEFINE_string(rest, "3", "seconds of rest that it asks for");
DEFINE_uint32(events, banyanpick::standins::DemoEvents, "events of a stream");
DEFINE_uint32(pause_ms, 20, "between events, and before a whole answer");
DEFINE_uint32(long_pause_ms, 350, "between events for paths with /long/");

namespace banyanpick::standins {

namespace {

using nlohmann::json;
namespace header = platform::header;

void waitForPause(std::uint32_t Milliseconds = FLAGS_pause_ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Milliseconds));
}

std::int64_t nowUs() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

class UpstreamService {
public:
  void serve(Exchange &Incoming) {
    if (Incoming.path().front() == "standin") {
      this->showRuns(Incoming);
      return;
    }
    const std::string Attempt = Incoming.header(header::AttemptId);
    if (Incoming.header(header::ExpectedInstance) != FLAGS_id) {
      Incoming.answer(421, this->headers(Attempt), "");
      return;
    }
    const bool BacksOff = FLAGS_fault == "rest";
    this->recordArrival(Attempt, BacksOff);
    if (BacksOff || FLAGS_fault == "refuse") {
      refuse(Incoming, Attempt);
      return;
    }
    this->recordRun(Incoming, Attempt);
    if (FLAGS_fault == "crash" && Incoming.body() == "crash")
      std::_Exit(EXIT_FAILURE);
    if (Incoming.path().front() == "stream")
      sendStream(Incoming, Attempt, FLAGS_pause_ms);
    else if (Incoming.path().front() == "long")
      sendStream(Incoming, Attempt, FLAGS_long_pause_ms);
    else
      answerComplete(Incoming, Attempt);
  }

private:
  static Headers headers(const std::string &Attempt) {
    return {{std::string(header::AttemptId),
             FLAGS_fault == "foreign" ? "other" : Attempt}};
  }
  Headers sealedHeaders(const std::string &Attempt) {
    Headers Result = headers(Attempt);
    if (FLAGS_fault != "unsealed")
      Result.emplace_back(header::Seal, "seal-of-" + FLAGS_id);
    if (FLAGS_fault == "leaving")
      Result.emplace_back(header::Leaving, "1");
    if (FLAGS_fault == "limit") {
      Result.emplace_back(header::Limit, FLAGS_limit);
      const std::lock_guard Lock(this->Mutex);
      if (!this->LimitedSince)
        this->LimitedSince = nowUs();
    }
    return Result;
  }

  static void refuse(Exchange &Incoming, const std::string &Attempt) {
    Headers AnswerHeaders = headers(Attempt);
    AnswerHeaders.emplace_back(header::NotExecuted, "1");
    if (FLAGS_fault == "rest")
      AnswerHeaders.emplace_back("Retry-After", FLAGS_rest);
    Incoming.answer(503, AnswerHeaders, "");
  }

  void answerComplete(Exchange &Incoming, const std::string &Attempt) {
    waitForPause();
    if (FLAGS_fault == "silent")
      std::this_thread::sleep_for(std::chrono::hours(1));
    if (FLAGS_fault == "cut") {
      Incoming.disconnect();
      return;
    }
    const bool Fails = FLAGS_fault == "error";
    const std::string Body =
        fmt::format("{} by {}: {}", Incoming.header(header::Tenant), FLAGS_id,
                    Incoming.body());
    const std::size_t Missing = FLAGS_fault == "truncate" ? 5 : 0;
    Incoming.answer(Fails ? 500 : 200, sealedHeaders(Attempt), Body, Missing);
    if (Missing > 0)
      Incoming.disconnect();
  }

  void sendStream(Exchange &Incoming, const std::string &Attempt,
                  std::uint32_t PauseMs) {
    if (FLAGS_fault == "silent")
      std::this_thread::sleep_for(std::chrono::hours(1));
    const std::string After = Incoming.header(header::LastEvent);
    const std::uint64_t First = After.empty() ? 1 : std::stoull(After) + 1;
    Incoming.beginEvents(sealedHeaders(Attempt));
    for (std::uint64_t Id = First; Id <= FLAGS_events; ++Id) {
      waitForPause(PauseMs);
      if (FLAGS_fault == "stall" && Id == First + 3)
        std::this_thread::sleep_for(std::chrono::hours(1));
      if (FLAGS_fault == "cut" && Id == First + 3) {
        Incoming.sendEvents(demoEvent(Id).substr(0, 5));
        Incoming.disconnect();
        return;
      }
      Incoming.sendEvents(demoEvent(Id));
    }
    Incoming.endEvents();
  }

  void recordArrival(const std::string &Attempt, bool Refused) {
    const std::lock_guard Lock(this->Mutex);
    this->AllArrivals.push_back(
        {{"attempt", Attempt}, {"at_us", nowUs()}, {"turned_away", Refused}});
  }

  void recordRun(const Exchange &Incoming, const std::string &Attempt) {
    const std::lock_guard Lock(this->Mutex);
    ++this->Runs[Attempt];
    if (this->RunsFile.is_open())
      this->RunsFile << Attempt << std::endl;
    this->SawKey |= !Incoming.header("Authorization").empty();
    if (this->LimitedSince)
      this->Arrivals.push_back({{"attempt", Attempt}, {"at_us", nowUs()}});
  }

  void showRuns(Exchange &Incoming) {
    const std::lock_guard Lock(this->Mutex);
    Incoming.answer(200,
                    json{{"runs", this->Runs},
                         {"saw_key", this->SawKey},
                         {"limited_since_us", this->LimitedSince.value_or(0)},
                         {"arrivals", this->Arrivals},
                         {"all_arrivals", this->AllArrivals}});
  }

  std::mutex Mutex;
  std::map<std::string, int> Runs;
  std::ofstream RunsFile{FLAGS_runs_file, std::ios::app};
  bool SawKey = false;
  std::optional<std::int64_t> LimitedSince;
  json Arrivals = json::array(); ///< Since LimitedSince.
  json AllArrivals = json::array();
};

void registerSelf() {
  const json Entry{
      {"Service", FLAGS_service},
      {"Address", FLAGS_registered.empty() ? FLAGS_listen : FLAGS_registered},
      {"Zone", FLAGS_zone},
      {"Version", "v1"},
      {"Slots", 6},
      {"State", "ready"}};
  OutgoingRequest Put;
  Put.Method = boost::beast::http::verb::post;
  Put.Target = fmt::format("/standin/put?Topic={}&Key={}",
                           platform::topic::Engines, FLAGS_id);
  Put.Body = Entry.dump();
  for (int Attempt = 0; Attempt < 100; ++Attempt) {
    if (sendHttpRequest(FLAGS_store, Put, std::chrono::seconds(1)).Status ==
        200)
      return;
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
}

} // namespace
} // namespace banyanpick::standins

int main(int Count, char **Values) {
  using namespace banyanpick::standins;
  gflags::ParseCommandLineFlags(&Count, &Values, true);
  std::thread(registerSelf).detach();
  UpstreamService Service;
  serveHttp(FLAGS_listen, [&](Exchange &Incoming) { Service.serve(Incoming); });
}
