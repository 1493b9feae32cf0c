/// \file
/// A fake application upstream that counts its runs by operation key.
#pragma once

#include "base/StrongId.h"
#include "kernel/Upstream.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace banyanpick {

/// An application upstream. Counts every run by operation key, whichever host
/// sent it.
struct FakeApplication {
  UpstreamListing Listing;
  bool Alive = true;
  bool Frozen = false;
  bool ReportsLeaving = false; ///< In load reports and refusals.
  std::optional<Time> LeftAt;
  Duration RunTime = milliseconds(20);
  /// Number of next runs whose answers the network loses.
  std::uint32_t AnswersToLose = 0;
  std::uint32_t RunsToFail = 0;
  std::map<std::string, std::uint32_t> Runs;
  /// Messages received while frozen.
  std::vector<std::function<void()>> DeferredWork;

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
