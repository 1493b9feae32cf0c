/// \file
/// What other plug-ins may ask of routing's predictions.
#pragma once

#include "kernel/Request.h"

#include <optional>

namespace banyanpick {

/// How long a request would take if it were sent to an engine now.
struct Prediction {
  Duration FirstToken{};  ///< Until the first token.
  Duration WholeAnswer{}; ///< Until the whole answer.
};

/// Predicts from load reports and the work sent since.
class CostModel {
public:
  virtual ~CostModel() = default;
  /// The best among a few engines; nothing when no engine that lives and
  /// told its load could take it.
  virtual std::optional<Prediction> predict(const Request &Asked, Time Now) = 0;
  /// Prefill of all live engines of the model together, tokens a second.
  virtual double prefillCapacity(const ModelId &Model) const = 0;
  /// The engine priority the request would get now; higher goes first.
  virtual std::uint32_t priority(const Request &Asked, Time Now) const = 0;
};

} // namespace banyanpick
