#include "app/Routes.h"

namespace banyanpick {

namespace {

/// Throws Error(BadInput) when the request has another method.
void requireMethod(const HttpExchange &Exchange, http::verb Expected) {
  if (Exchange.method() == Expected)
    return;
  const auto Name = http::to_string(Expected);
  throw Error(ErrorKind::BadInput, "the target does not take that method",
              "use " + std::string(Name.data(), Name.size()));
}

HttpAnswer noSuchTarget() {
  return errorAnswer(404, ErrorKind::BadInput,
                     "no such target; see docs/PROTOCOLS.md");
}

} // namespace

Routes::Routes(std::span<const std::unique_ptr<TrafficThread>> ThreadsGiven,
               EventSink &Events, const HostState &State,
               const Metrics &HostMetrics)
    : Callers(Events), Operators(Events), Pages(State, HostMetrics) {
  for (const auto &Thread : ThreadsGiven)
    this->Threads.push_back(Thread.get());
}

Task<void> Routes::serve(HttpExchange &Exchange) {
  const std::string &Path = Exchange.target().Path;
  TrafficThread &Thread = this->threadOf(Exchange);
  if (Path == "/v1/completions" || Path == "/v1/calls") {
    requireMethod(Exchange, http::verb::post);
    co_await this->Callers.serveRequest(Exchange, Thread);
  } else if (Path == "/v1/resume") {
    requireMethod(Exchange, http::verb::get);
    co_await this->Callers.serveResume(Exchange, Thread);
  } else if (Path == "/v1/resolve") {
    requireMethod(Exchange, http::verb::get);
    co_await this->Callers.serveResolve(Exchange, Thread);
  } else if (Path.starts_with("/v1/operator/")) {
    co_await this->Operators.serve(Exchange, Thread);
  } else {
    HttpAnswer Page = this->Pages.find(Path).value_or(noSuchTarget());
    co_await Exchange.respond(std::move(Page));
  }
}

TrafficThread &Routes::threadOf(const HttpExchange &Exchange) const {
  const net::any_io_executor Executor = Exchange.executor();
  for (TrafficThread *Thread : this->Threads)
    if (Executor == net::any_io_executor(Thread->context().get_executor()))
      return *Thread;
  throw Error(ErrorKind::Internal, "a connection has no traffic thread",
              "report it");
}

} // namespace banyanpick
