#include "process/GatewayDeployment.h"

#include "platform/WireNames.h"
#include "process/Deployment.h"
#include "standins/GatewayDemo.h"

#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <thread>

namespace banyanpick::process {

namespace {

using nlohmann::json;
using standins::HttpReply;
using standins::OutgoingRequest;
using standins::sendHttpRequest;

constexpr seconds RequestTimeout(10);
/// The remaining time that callers send.
constexpr seconds CallerTimeout(5);

json route(const std::string &Prefix, const std::string &Kind, int Attempts,
           milliseconds TimeLimit = seconds(4)) {
  return {{"Name", Prefix},
          {"Host", "demo.example"},
          {"PathPrefix", Prefix},
          {"Kind", Kind},
          {"TimeoutMs", TimeLimit.count()},
          {"TargetLatencyMs", 300},
          {"Priority", 1},
          {"Service", "desk"},
          {"Attempts", Attempts},
          {"Public", false},
          {"Resumable", Kind == "streaming"}};
}

/// Converts the microseconds that the stand-ins report from the steady clock of
/// the machine.
std::chrono::steady_clock::time_point timeOf(const json &Us) {
  return std::chrono::steady_clock::time_point(
      Duration(Us.get<std::int64_t>()));
}

} // namespace

GatewayDeployment::GatewayDeployment(const std::vector<Fault> &Faults,
                                     std::size_t HostCount,
                                     const GatewayLinks &Links)
    : Folder((std::filesystem::temp_directory_path() /
              fmt::format("gateway-{}", freeAddress().substr(10)))
                 .string()),
      Store(freeAddress()) {
  std::filesystem::create_directories(this->Folder);
  this->StoreProcess =
      this->start("store", "standin_store", {"--listen", this->Store});
  for (std::size_t Index = 0; Index < HostCount; ++Index)
    this->Hosts.push_back({fmt::format("host-{}", Index + 1), freeAddress(),
                           freeAddress(), freeAddress(), freeAddress(),
                           freeAddress(), Links.ToStore(Index, this->Store),
                           nullptr});
  for (std::size_t Index = 0; Index < Faults.size(); ++Index) {
    const std::string At = freeAddress();
    this->Upstreams.push_back({fmt::format("u{}", Index + 1), At,
                               Links.ToUpstream(Index, At), nullptr});
  }
  for (std::size_t Index = 0; Index < Faults.size(); ++Index)
    this->startUpstream(this->Upstreams[Index], Faults[Index]);
  OutgoingRequest Req;
  Req.Target = "/standin/ping";
  eventually([&] {
    return sendHttpRequest(this->Store, Req, RequestTimeout).Status == 200;
  });
  this->configure(1);
  for (Host &NewHost : this->Hosts)
    this->startHost(NewHost);
  eventually([&] {
    for (std::size_t Index = 0; Index < this->Hosts.size(); ++Index)
      if (this->readiness(Index) != 200 ||
          this->directory(Index).size() != this->Hosts.size())
        return false;
    return true;
  });
  // Waits until the hosts know every upstream, which tests rely on.
  std::this_thread::sleep_for(milliseconds(300));
}

GatewayDeployment::~GatewayDeployment() {
  this->Hosts.clear();
  this->Upstreams.clear();
  this->StoreProcess.reset();
  std::error_code Ignored;
  if (!this->KeepFolder)
    std::filesystem::remove_all(this->Folder, Ignored);
}

std::string GatewayDeployment::keepLogs() {
  this->KeepFolder = true;
  return this->Folder;
}

void GatewayDeployment::replaceUpstream(Upstream &Target) {
  Target.Id = fmt::format("{}r{}", Target.Id.substr(0, Target.Id.find('r')),
                          ++this->Replacements);
  this->startUpstream(Target, "");
}

void GatewayDeployment::unregister(const std::string &Id) const {
  this->put(std::string(platform::topic::Engines), Id, "");
}

std::map<std::string, int> GatewayDeployment::recordedRuns() const {
  std::map<std::string, int> Result;
  for (const auto &File : std::filesystem::directory_iterator(this->Folder)) {
    if (File.path().extension() != ".runs")
      continue;
    std::ifstream In(File.path());
    for (std::string Attempt; std::getline(In, Attempt);)
      ++Result[Attempt];
  }
  return Result;
}

std::unique_ptr<ChildProcess>
GatewayDeployment::start(const std::string &Name, const std::string &Program,
                         std::vector<std::string> Flags) const {
  return std::make_unique<ChildProcess>(
      std::string(BANYANPICK_PROGRAMS) + "/" + Program, std::move(Flags),
      this->Folder + "/" + Name + ".log");
}

void GatewayDeployment::startUpstream(Upstream &Target, const Fault &Behavior) {
  Target.Process = this->start(Target.Id, "standin_upstream",
                               {"--listen", Target.Address, "--id", Target.Id,
                                "--registered", Target.Registered, "--store",
                                this->Store, "--fault", Behavior, "--runs_file",
                                this->Folder + "/" + Target.Id + ".runs"});
}

void GatewayDeployment::startHost(Host &Target) {
  const std::string File = this->Folder + "/" + Target.Name + ".ini";
  std::ofstream(File) << this->settingsOf(Target);
  Target.Process =
      this->start(Target.Name, "banyanpickd", {"--settings", File});
}

void GatewayDeployment::restartAllHosts() {
  for (Host &Target : this->Hosts)
    Target.Process->kill();
  for (Host &Target : this->Hosts)
    this->startHost(Target);
}

std::string GatewayDeployment::settingsOf(const Host &ForHost) const {
  return fmt::format(
      "[host]\nname = {}\nzone = east\ncallers = {}\npeers = {}\n"
      "serving = gateway\n"
      "[gateway]\ndirectory = {}\nreadiness = {}\nmetrics = {}\n"
      "[platform]\nlog = {}\nhost_list = {}\n"
      "[membership]\ndiscovery = gossip\nseeds = {}\n"
      "heartbeat_interval = 100ms\nhost_list_interval = 500ms\n"
      "[peers]\nencryption = none\n"
      "[retry_budget]\nwithhold_at_start = {}\n",
      ForHost.Name, ForHost.Callers, ForHost.Peers, ForHost.Directory,
      ForHost.Readiness, ForHost.Metrics, ForHost.Store, ForHost.Store,
      this->Hosts.front().Peers, ForHost.Process != nullptr);
}

HttpReply
GatewayDeployment::ask(std::size_t Host, const std::string &Path,
                       const std::string &Attempt, const std::string &Body,
                       std::vector<standins::HttpHeader> ExtraHeaders) const {
  OutgoingRequest Req =
      standins::demoRequest({}, Path, Attempt, Body, CallerTimeout);
  for (standins::HttpHeader &Header : ExtraHeaders)
    Req.Headers.push_back(std::move(Header));
  return sendHttpRequest(this->Hosts.at(Host).Callers, Req, RequestTimeout);
}

int GatewayDeployment::runCount(const std::string &Attempt) const {
  int Sum = 0;
  OutgoingRequest Req;
  Req.Target = "/standin/runs";
  for (const Upstream &Queried : this->Upstreams)
    Sum += sendHttpRequest(Queried.Address, Req, RequestTimeout)
               .parsed()["runs"]
               .value(Attempt, 0);
  return Sum;
}

bool GatewayDeployment::anyUpstreamReceivedAKey() const {
  OutgoingRequest Req;
  Req.Target = "/standin/runs";
  for (const Upstream &Queried : this->Upstreams)
    if (sendHttpRequest(Queried.Address, Req, RequestTimeout)
            .parsed()["saw_key"]
            .get<bool>())
      return true;
  return false;
}

json GatewayDeployment::requestRecord(std::size_t Upstream) const {
  OutgoingRequest Req;
  Req.Target = "/standin/runs";
  const json Reply =
      sendHttpRequest(this->Upstreams.at(Upstream).Address, Req, RequestTimeout)
          .parsed();
  return Reply.is_object() ? Reply : json();
}

GatewayDeployment::ArrivalsUnderLimit
GatewayDeployment::arrivalsUnderLimit(std::size_t Upstream) const {
  const json Record = this->requestRecord(Upstream);
  ArrivalsUnderLimit Result;
  if (Record.is_null())
    return Result;
  Result.LimitNamedAt = timeOf(Record["limited_since_us"]);
  for (const json &Arrival : Record["arrivals"])
    Result.Requests.push_back({timeOf(Arrival["at_us"]), Arrival["attempt"]});
  return Result;
}

std::map<std::string, std::chrono::steady_clock::time_point>
GatewayDeployment::arrivalTimes(std::size_t Upstream) const {
  const json Record = this->requestRecord(Upstream);
  std::map<std::string, std::chrono::steady_clock::time_point> Result;
  if (!Record.is_null())
    for (const json &Arrival : Record["all_arrivals"])
      Result.emplace(Arrival["attempt"], timeOf(Arrival["at_us"]));
  return Result;
}

unsigned GatewayDeployment::readiness(std::size_t Host) const {
  OutgoingRequest Req;
  Req.Target = std::string(platform::path::Readiness);
  return sendHttpRequest(this->Hosts.at(Host).Readiness, Req, RequestTimeout)
      .Status;
}

std::vector<std::string> GatewayDeployment::directory(std::size_t Host,
                                                      Duration Timeout) const {
  OutgoingRequest Req;
  Req.Target = std::string(platform::path::Resolution) + "?Name=demo.example";
  const json Reply =
      sendHttpRequest(this->Hosts.at(Host).Directory, Req, Timeout).parsed();
  if (!Reply.is_object() || !Reply.contains("Addresses"))
    return {};
  return Reply["Addresses"].get<std::vector<std::string>>();
}

void GatewayDeployment::configure(std::uint64_t Version, bool WithExtra,
                                  std::size_t MaxBodyBytes) const {
  json Routes = {route("/safe/", "safe", 2), route("/once/", "unsafe", 1),
                 route("/stream/", "streaming", 2),
                 route("/long/", "streaming", 2, seconds(10))};
  if (WithExtra)
    Routes.push_back(route("/extra/", "safe", 2));
  const json Document{
      {"Version", Version},
      {"Routes", Routes},
      {"Services", {{{"Name", "desk"}, {"HealthPath", "/health"}}}},
      {"Limits", {{"HeaderBytes", 8192}, {"BodyBytes", MaxBodyBytes}}},
      {"Tenants", {{{"Name", "house"}, {"Credentials", {"demo-key"}}}}}};
  this->put(std::string(platform::topic::Declarations),
            std::string(platform::topic::ConfigurationKey), Document.dump());
}

void GatewayDeployment::put(const std::string &Topic, const std::string &Key,
                            const std::string &Value) const {
  OutgoingRequest Req;
  Req.Method = boost::beast::http::verb::post;
  Req.Target = fmt::format("/standin/put?Topic={}&Key={}", Topic, Key);
  Req.Body = Value;
  sendHttpRequest(this->Store, Req, RequestTimeout);
}

void GatewayDeployment::control(const std::string &Target) const {
  OutgoingRequest Req;
  Req.Method = boost::beast::http::verb::post;
  Req.Target = Target;
  sendHttpRequest(this->Store, Req, RequestTimeout);
}

} // namespace banyanpick::process
