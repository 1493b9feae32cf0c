#include "app/Routes.h"

namespace banyanpick {

namespace {

/// Throws when the target is asked for with another method.
void requireMethod(const HttpExchange &Each, http::verb Wanted) {
  if (Each.method() == Wanted)
    return;
  const auto Name = http::to_string(Wanted);
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
               const Metrics &Measured)
    : Callers(Events), Operators(Events), Pages(State, Measured) {
  for (const auto &Each : ThreadsGiven)
    this->Threads.push_back(Each.get());
}

Task<void> Routes::serve(HttpExchange &Each) {
  const std::string &Path = Each.target().Path;
  TrafficThread &Thread = this->threadOf(Each);
  if (Path == "/v1/completions" || Path == "/v1/calls") {
    requireMethod(Each, http::verb::post);
    co_await this->Callers.serveRequest(Each, Thread);
  } else if (Path == "/v1/resume") {
    requireMethod(Each, http::verb::get);
    co_await this->Callers.serveResume(Each, Thread);
  } else if (Path == "/v1/resolve") {
    requireMethod(Each, http::verb::get);
    co_await this->Callers.serveResolve(Each, Thread);
  } else if (Path.starts_with("/v1/operator/")) {
    co_await this->Operators.serve(Each, Thread);
  } else {
    HttpAnswer Page = this->Pages.find(Path).value_or(noSuchTarget());
    co_await Each.respond(std::move(Page));
  }
}

TrafficThread &Routes::threadOf(const HttpExchange &Each) const {
  const net::any_io_executor Wanted = Each.executor();
  for (TrafficThread *Thread : this->Threads)
    if (Wanted == net::any_io_executor(Thread->context().get_executor()))
      return *Thread;
  throw Error(ErrorKind::Internal, "a connection has no traffic thread",
              "report it");
}

} // namespace banyanpick
