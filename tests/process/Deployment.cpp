#include "process/Deployment.h"

#include "standins/HttpServer.h"

#include <boost/asio/io_context.hpp>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <random>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace banyanpick::process {

namespace {

namespace http = boost::beast::http;
using nlohmann::json;
using standins::sendHttpRequest;

constexpr Duration RequestTimeout = seconds(30);
constexpr milliseconds PollInterval(20);

/// Upper bound of each wait. Every wait normally ends much earlier.
constexpr seconds MaxWait(30);

const std::string Programs = BANYANPICK_PROGRAMS;
const std::string CatalogueFile = BANYANPICK_CATALOGUE;

std::vector<Member> makeMembers(const std::string &Name, std::size_t Count) {
  std::vector<Member> Members;
  for (std::size_t Index = 1; Index <= Count; ++Index)
    Members.push_back({fmt::format("{}-{}", Name, Index), freeAddress(),
                       freeAddress(), nullptr});
  return Members;
}

std::string readFile(const std::string &Path) {
  std::ostringstream Text;
  Text << std::ifstream(Path).rdbuf();
  return Text.str();
}

} // namespace

std::string freeAddress() {
  // The range is below the ephemeral ports of outgoing connections, so that a
  // restarted process finds its port free.
  constexpr std::uint16_t First = 15000;
  constexpr std::uint16_t Last = 31999;
  static std::uint16_t Next =
      First +
      static_cast<std::uint16_t>(std::random_device()() % (Last - First));
  boost::asio::io_context Io;
  for (;;) {
    Next = Next >= Last ? First : Next + 1;
    boost::asio::ip::tcp::acceptor Probe(Io);
    const boost::asio::ip::tcp::endpoint Endpoint(
        boost::asio::ip::make_address("127.0.0.1"), Next);
    boost::system::error_code Failure;
    Probe.open(Endpoint.protocol());
    Probe.set_option(boost::asio::socket_base::reuse_address(true));
    Probe.bind(Endpoint, Failure);
    if (!Failure)
      Probe.listen(1, Failure);
    if (!Failure)
      return fmt::format("127.0.0.1:{}", Next);
  }
}

bool eventually(const std::function<bool()> &Condition) {
  const auto Deadline = std::chrono::steady_clock::now() + MaxWait;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() > Deadline)
      return false;
    std::this_thread::sleep_for(PollInterval);
  }
  return true;
}

Deployment::Deployment()
    : Hosts(makeMembers("host", HostCount)),
      Engines(makeMembers("engine", EngineCount)) {
  std::string Template =
      (std::filesystem::temp_directory_path() / "banyanpick-XXXXXX").string();
  if (!mkdtemp(Template.data()))
    throw std::runtime_error("cannot create a directory for the test");
  this->Directory = Template;
  this->Platform.Address = freeAddress();
  this->Application.Address = freeAddress();
  this->start(this->Platform, "standin_platform",
              {"--listen", this->Platform.Address, "--hosts",
               this->writeFile("hosts.json", this->hostList().dump())});
  this->start(this->Application, "standin_application",
              {"--listen", this->Application.Address, "--life", "b0"});
  for (std::size_t Index = 0; Index < EngineCount; ++Index)
    this->start(this->Engines[Index], "standin_engine",
                {"--listen", this->Engines[Index].Address, "--id",
                 this->Engines[Index].Name, "--life",
                 fmt::format("e{}", Index)});
  ChildProcess(Programs + "/banyanpick", {"keys"}, this->Directory + "/keys")
      .wait();
  this->CurveKeys = readFile(this->Directory + "/keys");
  for (std::size_t Index = 0; Index < HostCount; ++Index)
    this->start(this->Hosts[Index], "banyanpickd",
                {"--settings", this->writeFile(this->Hosts[Index].Name + ".ini",
                                               this->settingsOf(Index))});
  for (const char *Key : {"root.demo-root-secret", "ring.demo-ring-secret",
                          "ateliers.demo-ateliers-secret"})
    this->apply(Key);
}

Deployment::~Deployment() {
  this->Hosts.clear();
  this->Engines.clear();
  std::error_code Ignored;
  std::filesystem::remove_all(this->Directory, Ignored);
}

void Deployment::start(Member &Started, const std::string &Program,
                       std::vector<std::string> Flags) {
  Started.Process = std::make_unique<ChildProcess>(
      Programs + "/" + Program, std::move(Flags),
      this->Directory + "/" + Started.Name + ".log");
  const standins::OutgoingRequest Any{http::verb::get, "/health"};
  if (!eventually([&] {
        return sendHttpRequest(Started.Address, Any, RequestTimeout)
            .isComplete();
      }))
    throw std::runtime_error(
        Started.Name + " does not answer:\n" +
        readFile(this->Directory + "/" + Started.Name + ".log"));
}

std::string Deployment::settingsOf(std::size_t Index) const {
  const Member &Host = this->Hosts[Index];
  return fmt::format("[host]\nname = {}\nzone = {}\ncallers = {}\npeers = {}\n"
                     "[platform]\nlog = {}\nhost_list = {}\n"
                     "[operators]\nroot_key = demo-root-secret\n[peers]\n{}",
                     Host.Name, Index < 2 ? "east" : "west", Host.Address,
                     Host.Peers, this->Platform.Address, this->Platform.Address,
                     this->CurveKeys);
}

std::string Deployment::writeFile(const std::string &Name,
                                  const std::string &Text) const {
  std::string Path = this->Directory + "/" + Name;
  std::ofstream(Path) << Text;
  return Path;
}

json Deployment::hostList() const {
  json Listed{{"hosts", json::array()}, {"upstreams", json::array()}};
  for (std::size_t Index = 0; Index < HostCount; ++Index)
    Listed["hosts"].push_back({{"id", this->Hosts[Index].Name},
                               {"zone", Index < 2 ? "east" : "west"},
                               {"callers", this->Hosts[Index].Address},
                               {"peers", this->Hosts[Index].Peers}});
  Listed["upstreams"].push_back({{"id", "booking"},
                                 {"life", "b0"},
                                 {"kind", "application"},
                                 {"at", this->Application.Address},
                                 {"zone", "east"},
                                 {"application", "booking"}});
  for (std::size_t Index = 0; Index < EngineCount; ++Index)
    Listed["upstreams"].push_back({{"id", this->Engines[Index].Name},
                                   {"life", fmt::format("e{}", Index)},
                                   {"kind", "engine"},
                                   {"at", this->Engines[Index].Address},
                                   {"zone", "east"},
                                   {"checks_fencing", true}});
  return Listed;
}

void Deployment::apply(const std::string &Key) {
  const std::string KeyFile = this->writeFile("key", Key);
  const std::string Output = this->Directory + "/apply.log";
  const bool Applied = eventually([&] {
    return ChildProcess(Programs + "/banyanpick",
                        {"apply", CatalogueFile, "--host",
                         this->Hosts[0].Address, "--key_file", KeyFile},
                        Output)
               .wait() == 0;
  });
  if (!Applied)
    throw std::runtime_error("the catalogue cannot be applied:\n" +
                             readFile(Output) +
                             readFile(this->Directory + "/host-1.log"));
}

standins::Resolver Deployment::resolver(std::size_t First) const {
  std::vector<std::string> Seeds;
  for (std::size_t Index = 0; Index < HostCount; ++Index)
    Seeds.push_back(this->Hosts[(First + Index) % HostCount].Address);
  return standins::Resolver(Seeds, "east");
}

standins::CallerTeam Deployment::team() {
  return {"house-1", "house-1.demo-house-secret"};
}

void Deployment::setLogFaults(const json &Faults) const {
  sendHttpRequest(this->Platform.Address,
                  {http::verb::post, "/admin/log", Faults.dump()},
                  RequestTimeout);
}

std::uint64_t Deployment::runCount(const std::string &Key) const {
  return sendHttpRequest(this->Application.Address,
                         {http::verb::get, "/counts"}, RequestTimeout)
      .parsed()
      .value<std::uint64_t>(Key, 0);
}

Member &Deployment::busyEngine() {
  Member *Found = nullptr;
  eventually([&] {
    for (Member &Engine : this->Engines) {
      const json Load =
          sendHttpRequest(Engine.Address, {http::verb::get, "/load"},
                          RequestTimeout)
              .parsed();
      if (Load.is_object() && Load.value("running", 0) > 0)
        Found = &Engine;
    }
    return Found != nullptr;
  });
  if (!Found)
    throw std::runtime_error("no engine runs a request");
  return *Found;
}

standins::HttpReply Deployment::sendConfirmation(std::size_t Host,
                                                 const std::string &Key) const {
  const json Body{
      {"class", "confirm"}, {"operation_key", Key}, {"body", json::object()}};
  return sendHttpRequest(this->Hosts[Host].Address,
                         {http::verb::post,
                          "/v1/calls",
                          Body.dump(),
                          {{"Authorization", "Bearer " + team().Key},
                           {"Content-Type", "application/json"}}},
                         RequestTimeout);
}

} // namespace banyanpick::process
