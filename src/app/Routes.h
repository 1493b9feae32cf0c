/// \file
/// The HTTP routes of an entry host: for callers, operators and the process
/// pages.
#pragma once

#include "app/CallerService.h"
#include "app/OperatorService.h"
#include "app/ProcessPages.h"

namespace banyanpick {

/// Dispatches each request to the service of its target.
class Routes : public HttpHandler {
public:
  Routes(std::span<const std::unique_ptr<TrafficThread>> Threads,
         EventSink &Events, const HostState &State, const Metrics &HostMetrics);

  Task<void> serve(HttpExchange &Exchange) override;

private:
  TrafficThread &threadOf(const HttpExchange &Exchange) const;

  std::vector<TrafficThread *> Threads;
  CallerService Callers;
  OperatorService Operators;
  ProcessPages Pages;
};

} // namespace banyanpick
