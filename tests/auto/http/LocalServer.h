/// \file
/// An HTTP server on a loopback port, for tests.
#pragma once

#include "http/HttpServer.h"

#include <boost/asio/use_future.hpp>

#include <functional>
#include <future>
#include <thread>

namespace banyanpick {

/// Limits that are small enough for tests to reach.
inline HttpSettings smallLimits() {
  HttpSettings Result;
  Result.MaxConnections = 16;
  Result.MaxHeaderBytes = 2048;
  Result.MaxBodyBytes = 4096;
  Result.TotalBodyBytes = 8192;
  Result.HeaderTimeout = milliseconds(200);
  Result.BodyTimeout = milliseconds(200);
  Result.IdleTimeout = milliseconds(300);
  Result.WriteTimeout = seconds(2);
  return Result;
}

/// Serves requests with a function on its own thread, until it is destroyed.
class LocalServer : public HttpHandler {
public:
  using Function = std::function<Task<void>(HttpExchange &)>;

  explicit LocalServer(Function Serve, HttpSettings Values = smallLimits())
      : Serve(std::move(Serve)), Server(this->Threads, {"127.0.0.1", 0},
                                        std::move(Values), *this, nullptr),
        Thread([this] { this->Io.run(); }) {}
  ~LocalServer() override {
    this->Io.stop();
    this->Thread.join();
  }
  LocalServer(const LocalServer &) = delete;
  LocalServer &operator=(const LocalServer &) = delete;

  Task<void> serve(HttpExchange &Exchange) override {
    return this->Serve(Exchange);
  }

  Address at() const { return {"127.0.0.1", this->Server.port()}; }
  const HttpServer &server() const { return this->Server; }
  void stop() { this->Server.stop(); }

private:
  Function Serve;
  net::io_context Io{1};
  std::array<net::io_context *, 1> Threads{&this->Io};
  HttpServer Server;
  std::thread Thread;
};

/// Runs the task on \p Io to its end and returns its value.
template <class Value> Value runTask(net::io_context &Io, Task<Value> Work) {
  std::future<Value> Result =
      net::co_spawn(Io, std::move(Work), net::use_future);
  Io.run();
  Io.restart();
  return Result.get();
}

} // namespace banyanpick
