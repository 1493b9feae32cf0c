/// \file
/// The HTTP service of the engine stand-in. Runs the simulated engine in real
/// time and serves its streams.
#pragma once

#include "fakes/EngineModel.h"
#include "standins/HttpServer.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <vector>

namespace banyanpick::standins {

/// Serves the engine protocol with an EngineModel. Safe to use from any thread.
class EngineService {
public:
  explicit EngineService(EngineShape Shape);

  void handle(Exchange &Incoming);
  /// Runs the simulated engine in real time. Never returns.
  [[noreturn]] void runSteps();

private:
  /// One attempt and its progress.
  struct Stream {
    std::uint64_t PromptHash = 0;
    std::uint64_t Produced = 0; ///< Index after the last produced chunk.
    Time Deadline{};
    bool Ended = false;
    bool Dropped = false; ///< Cancelled or expired.
  };

  void complete(Exchange &Incoming);
  EngineModel::SubmitResult submit(const EngineJob &Job, std::uint64_t Hash);
  void sendStream(Exchange &Incoming, const AttemptId &Attempt,
                  std::uint64_t From);
  void streams(Exchange &Incoming, const std::string &Name);
  void holds(Exchange &Incoming, const std::string &Name);
  void orders(Exchange &Incoming);
  void answerLoad(Exchange &Incoming);
  void answerCacheEvents(Exchange &Incoming);
  void configure(Exchange &Incoming);
  bool hasModel(const ModelId &Model);
  void recordOutputs(Time Now);
  void dropExpired(Time Now);

  std::mutex Mutex;
  std::condition_variable Changed;
  EngineModel Model;
  std::map<AttemptId, Stream> Streams;
};

} // namespace banyanpick::standins
