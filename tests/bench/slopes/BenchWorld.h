/// \file
/// A simulated deployment of a given size for the slope measurements.
#pragma once

#include "harness/VirtualDeployment.h"

#include <cstdint>

namespace banyanpick {

/// The number of hosts, engines, teams and models.
struct DeploymentSize {
  std::uint32_t Hosts = 1;
  std::uint32_t Engines = 10;
  std::uint32_t Teams = 10;
  std::uint32_t Models = 1;
};

/// Returns one change set with the teams and models of \p Size.
std::vector<Change> catalogueOf(const DeploymentSize &Size);

/// Returns a deployment that has run until its hosts know all engines and the
/// catalogue.
std::unique_ptr<VirtualDeployment> makeDeployment(const DeploymentSize &Size);

/// Returns the kernel of the first host.
Kernel &firstKernel(VirtualDeployment &Deployed);

/// Returns the name of a team.
std::string teamName(std::uint32_t Number);

} // namespace banyanpick
