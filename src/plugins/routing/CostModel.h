/// \file
/// The interface to the predictions of the routing plug-in.
#pragma once

#include "kernel/Request.h"

#include <optional>

namespace banyanpick {

/// The predicted duration of a request that is sent to an engine now.
struct Prediction {
  Duration FirstToken{};     ///< Until the first token.
  Duration CompleteAnswer{}; ///< Until the end of the answer.
};

/// Predicts durations from load reports and the work sent since.
class CostModel {
public:
  virtual ~CostModel() = default;
  /// Returns the best prediction among a few engines. Returns nothing if no
  /// live engine with a load report can take the request.
  virtual std::optional<Prediction> predict(const Request &Req, Time Now) = 0;
  /// Returns the fraction of this host's share of the fleet that more urgent
  /// work leaves to the request, in (0, 1].
  virtual double remainingShare(const Request &Req, Time Now) = 0;
  /// Returns this host's share of the prefill capacity, in tokens per second.
  virtual double shareOfCapacity(const ModelId &Model, Time Now) = 0;
  /// Returns the engine priority of the request. Higher priorities go first.
  virtual std::uint32_t priority(const Request &Req) const = 0;
};

} // namespace banyanpick
