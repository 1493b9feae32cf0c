/// \file
/// What other plug-ins may ask of routing's predictions.
#pragma once

#include "kernel/Request.h"

#include <optional>

namespace banyanpick {

/// How long a request would take if it were sent to an engine now.
struct Prediction {
  Duration FirstToken{};     ///< Until the first token.
  Duration CompleteAnswer{}; ///< Until the whole answer.
};

/// Predicts from load reports and the work sent since.
class CostModel {
public:
  virtual ~CostModel() = default;
  /// The best among a few engines; nothing when no engine that lives and
  /// told its load could take it.
  virtual std::optional<Prediction> predict(const Request &Req, Time Now) = 0;
  /// The part of this host's share of the fleet that more urgent work leaves
  /// to the request, in (0, 1].
  virtual double remainingShare(const Request &Req, Time Now) = 0;
  /// This host's share of the fleet's prefill, tokens a second.
  virtual double shareOfCapacity(const ModelId &Model, Time Now) = 0;
  /// The engine priority that the request gets; higher goes first.
  virtual std::uint32_t priority(const Request &Req) const = 0;
};

} // namespace banyanpick
