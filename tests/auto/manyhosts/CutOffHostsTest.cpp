/// \file
/// Guards against callers of hosts that have lost their links to all engines
/// being served worse than the callers of other hosts.
#include "auto/manyhosts/SimulationLoad.h"

#include <gtest/gtest.h>

#include <numeric>

namespace banyanpick {
namespace {

using LinkLoss = HostSimulation::LinkLoss;

/// Share of first tries that cut hosts serve, compared with the others.
constexpr double MinRelativeShare = 0.95;

/// Time from the cut until the share is reached.
constexpr seconds DetectedWithin(1);

struct Cut {
  LinkLoss How = LinkLoss::Hang;
  std::vector<std::size_t> Hosts;
};

/// Sends requests to all hosts in turn.
void offerToAll(HostSimulation &Simulated, Duration For) {
  const Time Until = Simulated.now() + For;
  for (std::size_t Next = 0; Simulated.now() < Until; ++Next) {
    Simulated.sendRequest(Next % Simulated.size(), milliseconds(100));
    Simulated.run(milliseconds(20));
  }
}

double servedShare(const HostSimulation::Tally &Counts, const Cut &Lost,
                   bool IsCut) {
  double Tries = 0;
  double Served = 0;
  for (const auto &[Host, Count] : Counts.FirstTries) {
    if ((std::ranges::count(Lost.Hosts, Host) > 0) != IsCut)
      continue;
    const auto Found = Counts.FirstServed.find(Host);
    Tries += static_cast<double>(Count);
    Served += Found == Counts.FirstServed.end()
                  ? 0
                  : static_cast<double>(Found->second);
  }
  return Tries > 0 ? Served / Tries : 1;
}

/// Cuts hosts off for some seconds and checks whether their callers are served.
void expectServed(std::size_t Hosts, const Cut &Lost) {
  HostSimulation Simulated(Hosts, 14);
  Simulated.publish(1);
  Simulated.run(seconds(15));
  offerToAll(Simulated, seconds(3));
  for (const std::size_t Host : Lost.Hosts)
    Simulated.setCutOff(Host, Lost.How);
  offerToAll(Simulated, DetectedWithin);
  Simulated.takeTally();
  offerToAll(Simulated, seconds(8));
  Simulated.run(seconds(1));
  const auto During = Simulated.takeTally();
  EXPECT_GE(servedShare(During, Lost, true),
            MinRelativeShare * servedShare(During, Lost, false));
  for (const std::size_t Host : Lost.Hosts)
    Simulated.setCutOff(Host, std::nullopt);
  offerToAll(Simulated, DetectedWithin);
  Simulated.takeTally();
  offerToAll(Simulated, seconds(3));
  Simulated.run(seconds(1));
  EXPECT_GE(servedShare(Simulated.takeTally(), Lost, true), MinRelativeShare);
}

class CutOffHosts : public testing::TestWithParam<LinkLoss> {};

TEST_P(CutOffHosts, OneOfSixServesItsCallers) {
  expectServed(6, {GetParam(), {1}});
}

TEST_P(CutOffHosts, HalfServeTheirCallers) {
  expectServed(6, {GetParam(), {0, 2, 4}});
}

TEST_P(CutOffHosts, AZoneOfManyServesItsCallers) {
  expectServed(30, {GetParam(), {0, 5, 10, 15, 20, 25}});
}

INSTANTIATE_TEST_SUITE_P(Links, CutOffHosts,
                         testing::Values(LinkLoss::Hang, LinkLoss::Reset,
                                         LinkLoss::RefuseNew),
                         [](const auto &Test) {
                           switch (Test.param) {
                           case LinkLoss::Hang:
                             return "Hang";
                           case LinkLoss::Reset:
                             return "AreReset";
                           default:
                             return "RefuseNewConnections";
                           }
                         });

} // namespace
} // namespace banyanpick
