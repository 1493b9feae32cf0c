/// \file
/// Which model shall be on which engine.
#pragma once

#include "catalogue/Fold.h"
#include "kernel/Services.h"

namespace banyanpick {

/// One engine that shall load or unload a model, and whom it was chosen among.
struct PlacementChange {
  UpstreamId Engine;
  ModelId Model;
  bool Load = false;
  /// Best first, the chosen one among them; at most a few.
  std::vector<UpstreamId> Candidates;

  bool operator==(const PlacementChange &) const = default;
};

/// What has to change so that each model is on as many live engines as the
/// catalogue says. A pure function: hosts that see the same catalogue and the
/// same engines agree. Engines that have a model keep it, those with the
/// fewest models are given more, ties go by rendezvous hash. Models that the
/// catalogue does not name are left alone.
std::vector<PlacementChange> placementChanges(const Catalogue &Declared,
                                              const FleetView &Fleet);

} // namespace banyanpick
