#include "PeerSlopes.h"

#include "BenchWorld.h"
#include "SlopeTable.h"
#include "harness/TestCatalogue.h"
#include "wire/PeerCodec.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>

namespace banyanpick {

namespace {

constexpr Duration Span = seconds(10);
constexpr std::size_t ZeroMqFrameBytes =
    9; ///< Header of a long frame (ZMTP 3.1).

/// Bytes per second sent by a host, and total bytes by kind of message.
struct Traffic {
  double Mean = 0;
  double Max = 0;
  std::map<std::size_t, double> ByKind;
};

Traffic trafficOf(const DeploymentSize &Size) {
  const auto Deployed = makeDeployment(Size);
  std::map<std::string, double> Sent;
  Traffic Result;
  Deployed->OnPeerMessage = [&](const PeerMessage &Message) {
    const auto Bytes = static_cast<double>(encodePeerMessage(Message).size() +
                                           ZeroMqFrameBytes);
    Sent[Message.From.Value] += Bytes;
    Result.ByKind[Message.Body.index()] += Bytes;
  };
  Deployed->runFor(Span);
  for (const auto &[Host, Bytes] : Sent) {
    const double Rate = Bytes / inSeconds(Span);
    Result.Mean += Rate / Size.Hosts;
    Result.Max = std::max(Result.Max, Rate);
  }
  fmt::print("hosts={} engines={} mean={:.0f}B/s most={:.0f}B/s kinds:",
             Size.Hosts, Size.Engines, Result.Mean, Result.Max);
  for (const auto &[Kind, Bytes] : Result.ByKind)
    fmt::print(" {}:{:.0f}", Kind, Bytes / inSeconds(Span) / Size.Hosts);
  fmt::print("\n");
  return Result;
}

/// Returns the lowest catalogue offset in force on any host.
LogOffset lowestInForce(VirtualDeployment &Deployed) {
  LogOffset Lowest = ~LogOffset(0);
  for (const auto &[Name, Host] : Deployed.hosts()) {
    auto &View = Host->kernel().services().get<CatalogueView>();
    Lowest = std::min(Lowest, View.catalogue().offset());
  }
  return Lowest;
}

Duration timeUntilInForce(std::uint32_t Hosts) {
  const auto Deployed = makeDeployment({Hosts, 10, 10, 1});
  const LogOffset Before = lowestInForce(*Deployed);
  Deployed->seedCatalogue({declared(EntryKind::Team, "new", testTeam("new"))});
  const Time Begin = Deployed->now();
  constexpr Duration Step = milliseconds(1);
  while (lowestInForce(*Deployed) == Before &&
         Deployed->now() < Begin + seconds(60))
    Deployed->runFor(Step);
  return Deployed->now() - Begin;
}

} // namespace

void measureTrafficAgainstHosts() {
  SlopeTable Table{
      "Bytes between hosts, against hosts", "hosts", "B/s a host", {}};
  for (const std::uint32_t Hosts : {3, 10, 40, 100, 320})
    Table.add(Hosts, trafficOf({Hosts, 10, 10, 1}).Mean);
  Table.print();
}

void measureTrafficAgainstEngines() {
  SlopeTable Table{"Bytes between hosts, against engines (46 hosts)",
                   "engines",
                   "B/s a host",
                   {}};
  for (const std::uint32_t Engines : {10, 50, 143})
    Table.add(Engines, trafficOf({46, Engines, 10, 1}).Mean);
  Table.print();
}

void measureInForceAgainstHosts() {
  SlopeTable Table{"A change in force on all hosts", "hosts", "ms", {}};
  for (const std::uint32_t Hosts : {3, 10, 40, 100, 320})
    Table.add(Hosts, inSeconds(timeUntilInForce(Hosts)) * 1000);
  Table.print();
}

} // namespace banyanpick
