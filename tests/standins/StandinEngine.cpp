/// \file
/// Stand-in for a model engine. Serves the simulated engine with its batching,
/// priorities, memory and cache in real time.
#include "standins/EngineService.h"
#include "standins/WireText.h"

#include <gflags/gflags.h>
#include <random>
#include <sstream>
#include <thread>

DEFINE_string(listen, "127.0.0.1:7401", "address to serve, ip:port");
DEFINE_string(id, "engine-1", "name, as in the host list");
DEFINE_string(life, "random", "hexadecimal life, or random");
DEFINE_uint64(memory_tokens, 400'000, "KV memory in tokens");
DEFINE_string(models, "demo", "models loaded at the start, with commas");
DEFINE_bool(checks_fencing, true, "refuse orders with an old fencing number");
DEFINE_double(speed, 1.0, "how many times faster than the modelled engine");

namespace banyanpick::standins {

namespace {

std::vector<ModelId> splitModels(const std::string &Text) {
  std::vector<ModelId> Models;
  std::istringstream In(Text);
  for (std::string Name; std::getline(In, Name, ',');)
    Models.emplace_back(Name);
  return Models;
}

/// Returns the shape of the engine. Step times are divided by the speed and the
/// prefill rate is multiplied by it, so that the simulated engine can run on
/// the wall clock.
EngineShape shapeFromFlags() {
  EngineShape Shape;
  Shape.Id = UpstreamId(FLAGS_id);
  Shape.Life = Incarnation(FLAGS_life == "random" ? std::random_device()()
                                                  : fromHex(FLAGS_life));
  Shape.MemoryTokens = FLAGS_memory_tokens;
  Shape.Models = splitModels(FLAGS_models);
  Shape.ChecksFencing = FLAGS_checks_fencing;
  Shape.PrefillTokensPerSecond *= FLAGS_speed;
  Shape.StepBase = fromSeconds(inSeconds(Shape.StepBase) / FLAGS_speed);
  Shape.StepPerRequest =
      fromSeconds(inSeconds(Shape.StepPerRequest) / FLAGS_speed);
  return Shape;
}

} // namespace
} // namespace banyanpick::standins

int main(int Count, char **Values) {
  gflags::ParseCommandLineFlags(&Count, &Values, true);
  using namespace banyanpick::standins;
  EngineService Service(shapeFromFlags());
  std::thread([&Service] { Service.runSteps(); }).detach();
  serveHttp(FLAGS_listen,
            [&](Exchange &Incoming) { Service.handle(Incoming); });
}
