/// \file
/// Computes which models engines have to load or unload.
#pragma once

#include "catalogue/Catalogue.h"
#include "kernel/Services.h"

namespace banyanpick {

/// One engine that has to load or unload a model, and the engines that it was
/// chosen from.
struct PlacementChange {
  UpstreamId Engine;
  ModelId Model;
  bool Load = false;
  /// Best first, including the chosen engine. Only the first few are kept.
  std::vector<UpstreamId> Candidates;

  bool operator==(const PlacementChange &) const = default;
};

/// Returns the changes after which each model is loaded on as many live engines
/// as the catalogue declares. The result depends only on the arguments, so
/// hosts with the same catalogue and the same view of the engines agree.
/// Engines that hold a model keep it. Engines with the fewest models are chosen
/// first, and rendezvous hashing breaks ties. Models that the catalogue does
/// not name stay where they are.
std::vector<PlacementChange> placementChanges(const Catalogue &Declared,
                                              const FleetView &Fleet);

} // namespace banyanpick
