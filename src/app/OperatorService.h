/// \file
/// Serves operators: the HTTP behind the command line.
#pragma once

#include "app/TrafficThread.h"
#include "http/HttpServer.h"

namespace banyanpick {

/// One object for all threads.
class OperatorService {
public:
  explicit OperatorService(EventSink &Events) : Events(Events) {}

  Task<void> serve(HttpExchange &Exchange, TrafficThread &Thread);

private:
  EventSink &Events;
};

/// The question that the exchange asks. Throws Error(BadInput).
OperatorQuestion operatorQuestionFrom(const HttpExchange &Exchange);

} // namespace banyanpick
