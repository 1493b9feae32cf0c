/// \file
/// The HTTP interface for operators, which the command-line tool uses.
#pragma once

#include "app/TrafficThread.h"
#include "http/HttpServer.h"

namespace banyanpick {

/// Serves the HTTP requests of operators. One object serves all threads.
class OperatorService {
public:
  explicit OperatorService(EventSink &Events) : Events(Events) {}

  Task<void> serve(HttpExchange &Exchange, TrafficThread &Thread);

private:
  EventSink &Events;
};

/// Parses the request of an operator. Throws Error(BadInput).
OperatorQuestion operatorQuestionFrom(const HttpExchange &Exchange);

} // namespace banyanpick
