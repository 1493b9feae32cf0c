/// \file
/// The pages /health, /ready and /metrics.
#pragma once

#include "app/HostState.h"
#include "http/HttpExchange.h"
#include "metrics/Metrics.h"

namespace banyanpick {

/// Serves the state and the metrics of the process. Thread-safe.
class ProcessPages {
public:
  ProcessPages(const HostState &State, const Metrics &HostMetrics)
      : State(State), HostMetrics(HostMetrics) {}

  /// Returns the page at \p Path, or nothing.
  std::optional<HttpAnswer> find(std::string_view Path) const;

private:
  HttpAnswer ready() const;

  const HostState &State;
  const Metrics &HostMetrics;
};

} // namespace banyanpick
