/// \file
/// A model engine as a service: the modelled engine run in real time, with the
/// streams it gives.
#pragma once

#include "fakes/EngineModel.h"
#include "standins/HttpServer.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <vector>

namespace banyanpick::standins {

class EngineService {
public:
  explicit EngineService(EngineShape Shape);

  void handle(Exchange &Incoming);
  /// Runs the modelled engine in real time; never returns.
  [[noreturn]] void runSteps();

private:
  /// One try with the chunks that came out of it so far.
  struct Stream {
    std::uint64_t PromptHash = 0;
    std::uint64_t Produced = 0; ///< Chunks before this index came out.
    Time Deadline{};
    bool Ended = false;
    bool Dropped = false; ///< Cancelled, or past its deadline.
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
