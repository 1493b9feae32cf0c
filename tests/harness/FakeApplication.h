/// \file
/// An application engine that counts its runs by operation key.
#pragma once

#include "base/StrongId.h"
#include "kernel/Upstream.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace banyanpick {

/// A plain service; each run is counted, whoever asked for it.
struct FakeApplication {
  UpstreamListing Listing;
  bool Alive = true;
  bool Frozen = false;
  bool ReportsLeaving = false; ///< In its reports and refusals.
  std::optional<Time> LeftAt;
  Duration RunTime = milliseconds(20);
  /// Of the next runs, how many answers the network loses.
  std::uint32_t AnswersToLose = 0;
  std::uint32_t RunsToFail = 0;
  std::map<std::string, std::uint32_t> Runs;
  std::vector<std::function<void()>>
      DeferredWork; ///< What arrived while frozen.

  LoadReport report(Time Now) const {
    LoadReport Report;
    Report.Id = this->Listing.Id;
    Report.Life = this->Listing.Life;
    Report.MeasuredAt = Now;
    Report.Leaving = this->ReportsLeaving;
    return Report;
  }
};

} // namespace banyanpick
