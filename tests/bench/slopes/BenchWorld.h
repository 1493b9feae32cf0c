/// \file
/// A virtual deployment of a given size for the slope measurements.
#pragma once

#include "harness/VirtualDeployment.h"

#include <cstdint>

namespace banyanpick {

/// How much of everything there is.
struct DeploymentSize {
  std::uint32_t Hosts = 1;
  std::uint32_t Engines = 10;
  std::uint32_t Teams = 10;
  std::uint32_t Models = 1;
};

/// A catalogue of this many teams and models, in one change set.
std::vector<Change> catalogueOf(const DeploymentSize &Size);

/// Hosts, engines and the catalogue; run long enough for all to be known.
std::unique_ptr<VirtualDeployment> makeDeployment(const DeploymentSize &Size);

/// The kernel of the first host.
Kernel &firstKernel(VirtualDeployment &Deployed);

/// The name of the numbered team.
std::string teamName(std::uint32_t Number);

} // namespace banyanpick
