/// \file
/// Stand-in for an application service. Counts its runs by operation key.
#include "standins/HttpServer.h"
#include "standins/WireText.h"

#include <gflags/gflags.h>
#include <map>
#include <mutex>
#include <random>
#include <thread>

DEFINE_string(listen, "127.0.0.1:7301", "address to serve, ip:port");
DEFINE_string(id, "booking", "name, as in the host list");
DEFINE_string(life, "random", "hexadecimal life, or random");
DEFINE_uint64(delay_ms, 5, "how long one run takes");

namespace banyanpick::standins {

namespace {

namespace http = boost::beast::http;
using nlohmann::json;

class Application {
public:
  Application(std::string Id, std::uint64_t Life, std::uint64_t DelayMs)
      : Id(std::move(Id)), Life(Life), Delay(DelayMs) {}

  void handle(Exchange &Incoming) {
    const auto Path = Incoming.path();
    const std::string First = Path.empty() ? "" : Path[0];
    if (First == "run")
      return this->run(Incoming);
    if (First == "load")
      return Incoming.answer(200, this->load());
    if (First == "counts")
      return Incoming.answer(200, this->counts());
    if (First == "admin")
      return this->configure(Incoming);
    if (Incoming.method() == http::verb::delete_)
      return Incoming.answer(200,
                             json::object()); // Runs are not cancelled.
    Incoming.answer(404, {{"error", {{"message", "no such path"}}}});
  }

private:
  void run(Exchange &Incoming) {
    const json Call = json::parse(Incoming.body());
    const std::string Key = Call.value("operation_key", "");
    milliseconds Pause;
    {
      const std::lock_guard Lock(this->Mutex);
      if (this->Refusals > 0) {
        --this->Refusals;
        return Incoming.answer(503, {{"refused", "busy"}});
      }
      ++this->Runs[Key];
      ++this->Running;
      Pause = this->Delay;
    }
    std::this_thread::sleep_for(Pause);
    {
      const std::lock_guard Lock(this->Mutex);
      --this->Running;
    }
    Incoming.answer(
        200, {{"attempt", Incoming.header("X-Attempt")},
              {"result",
               {{"key", Key}, {"body", Call.value("body", json::object())}}}});
  }

  json load() {
    const std::lock_guard Lock(this->Mutex);
    return {{"id", this->Id},
            {"life", toHex(this->Life)},
            {"measured_at", toMilliseconds(wallNow())},
            {"leaving", this->Leaving},
            {"running", this->Running},
            {"queued", 0},
            {"queued_prefill_tokens", 0},
            {"memory_tokens", 0},
            {"free_memory_tokens", 0},
            {"prefill_tokens_per_second", 0.0},
            {"decode_tokens_per_second", 0.0},
            {"highest_fencing", 0},
            {"models", json::array()},
            {"holds", json::array()}};
  }

  json counts() {
    const std::lock_guard Lock(this->Mutex);
    return this->Runs;
  }

  /// Sets options of the body, each of them optional:
  /// `{"delay_ms": N, "refusals": N, "leaving": B}`.
  void configure(Exchange &Incoming) {
    const json Wanted = json::parse(Incoming.body());
    {
      const std::lock_guard Lock(this->Mutex);
      this->Delay = milliseconds(
          Wanted.value<std::int64_t>("delay_ms", this->Delay.count()));
      this->Refusals = Wanted.value("refusals", this->Refusals);
      this->Leaving = Wanted.value("leaving", this->Leaving);
    }
    Incoming.answer(200, json::object());
  }

  std::string Id;
  std::uint64_t Life;
  std::mutex Mutex;
  milliseconds Delay;
  std::uint64_t Refusals = 0;
  std::uint32_t Running = 0;
  bool Leaving = false;
  std::map<std::string, std::uint64_t> Runs;
};

} // namespace
} // namespace banyanpick::standins

int main(int Count, char **Values) {
  gflags::ParseCommandLineFlags(&Count, &Values, true);
  using namespace banyanpick::standins;
  const std::uint64_t Life =
      FLAGS_life == "random" ? std::random_device()() : fromHex(FLAGS_life);
  Application Service(FLAGS_id, Life, FLAGS_delay_ms);
  serveHttp(FLAGS_listen,
            [&](Exchange &Incoming) { Service.handle(Incoming); });
}
