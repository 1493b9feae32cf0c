/// \file
/// Stand-in for the platform: the append-only log and the host list.
#include "base/Base64.h"
#include "standins/HttpServer.h"
#include "standins/PlatformLog.h"
#include "standins/WireText.h"

#include <fstream>
#include <gflags/gflags.h>
#include <mutex>
#include <thread>

DEFINE_string(listen, "127.0.0.1:7200", "address to serve, ip:port");
DEFINE_uint64(retain_records, 0, "records kept; 0 keeps all");
DEFINE_string(hosts, "", "file with the first host list, as GET /hosts gives");

namespace banyanpick::standins {

namespace {

namespace http = boost::beast::http;
using nlohmann::json;

constexpr std::uint64_t MaxWaitMs = 30'000;

class Platform {
public:
  Platform(std::uint64_t RetainRecords, json Hosts)
      : Log(RetainRecords), Hosts(std::move(Hosts)) {}

  void handle(Exchange &Incoming) {
    const auto Path = Incoming.path();
    const std::string First = Path.empty() ? "" : Path[0];
    if (First == "log" && Incoming.method() == http::verb::post)
      return this->append(Incoming);
    if (First == "log")
      return this->read(Incoming);
    if (First == "hosts")
      return this->listHosts(Incoming);
    if (First == "admin" && Path.size() == 2)
      return this->configure(Incoming, Path[1]);
    Incoming.answer(404, {{"error", {{"message", "no such path"}}}});
  }

private:
  /// Applies the configured delay. Answers 503 and returns true when the log is
  /// down.
  bool refused(Exchange &Incoming) {
    const LogFaults Faults = this->Log.faults();
    std::this_thread::sleep_for(Faults.Delay);
    if (!Faults.Down)
      return false;
    Incoming.answer(503, {{"error", {{"message", "the log is down"}}}});
    return true;
  }

  void append(Exchange &Incoming) {
    if (this->refused(Incoming))
      return;
    const LogOffset Offset = this->Log.append(Incoming.body());
    if (this->Log.consumeAnswerLoss())
      return Incoming.disconnect();
    Incoming.answer(200, {{"offset", Offset}});
  }

  void read(Exchange &Incoming) {
    if (this->refused(Incoming))
      return;
    const std::uint64_t WaitMs =
        std::min(Incoming.queryNumber("wait_ms", 0), MaxWaitMs);
    const LogSlice Slice =
        this->Log.read(Incoming.queryNumber("from", 1), milliseconds(WaitMs));
    json Records = json::array();
    for (std::size_t I = 0; I < Slice.Records.size(); ++I)
      Records.push_back({{"offset", Slice.FirstOffset + I},
                         {"bytes", toBase64(Slice.Records[I])}});
    if (this->Log.faults().Down)
      return Incoming.disconnect();
    Incoming.answer(200, {{"start", Slice.Start},
                          {"end", Slice.End},
                          {"records", std::move(Records)}});
  }

  void listHosts(Exchange &Incoming) {
    json CurrentHosts;
    {
      const std::lock_guard Lock(this->HostsMutex);
      CurrentHosts = this->Hosts;
    }
    Incoming.answer(200, CurrentHosts);
  }

  /// `/admin/log {"down", "lose_answers", "delay_ms"}` sets the faults; each is
  /// off when absent. `/admin/hosts` replaces the host list.
  void configure(Exchange &Incoming, const std::string &Subject) {
    const json Wanted = json::parse(Incoming.body());
    if (Subject == "log")
      this->Log.setFaults(
          {Wanted.value("down", false),
           Wanted.value<std::uint64_t>("lose_answers", 0),
           milliseconds(Wanted.value<std::int64_t>("delay_ms", 0))});
    if (Subject == "hosts") {
      const std::lock_guard Lock(this->HostsMutex);
      this->Hosts = Wanted;
    }
    Incoming.answer(200, json::object());
  }

  PlatformLog Log;
  std::mutex HostsMutex;
  json Hosts;
};

json readHosts(const std::string &File) {
  if (File.empty())
    return {{"hosts", json::array()}, {"upstreams", json::array()}};
  std::ifstream In(File);
  return json::parse(In);
}

} // namespace
} // namespace banyanpick::standins

int main(int Count, char **Values) {
  gflags::ParseCommandLineFlags(&Count, &Values, true);
  using namespace banyanpick::standins;
  Platform Service(FLAGS_retain_records, readHosts(FLAGS_hosts));
  serveHttp(FLAGS_listen,
            [&](Exchange &Incoming) { Service.handle(Incoming); });
}
