/// \file
/// /health, /ready and /metrics.
#pragma once

#include "app/HostState.h"
#include "http/HttpExchange.h"
#include "metrics/Metrics.h"

namespace banyanpick {

/// Safe from any thread.
class ProcessPages {
public:
  ProcessPages(const HostState &State, const Metrics &HostMetrics)
      : State(State), HostMetrics(HostMetrics) {}

  /// The page of that path, or nothing.
  std::optional<HttpAnswer> find(std::string_view Path) const;

private:
  HttpAnswer ready() const;

  const HostState &State;
  const Metrics &HostMetrics;
};

} // namespace banyanpick
