#include "standins/GatewayDemo.h"

#include "platform/WireNames.h"

#include <fmt/format.h>

namespace banyanpick::standins {

namespace header = platform::header;

std::string demoEvent(std::uint64_t Id) {
  return fmt::format("id: {}\ndata: piece {}\n\n", Id, Id);
}

std::string demoStream(std::uint32_t Events) {
  std::string Result;
  for (std::uint32_t Id = 1; Id <= Events; ++Id)
    Result += demoEvent(Id);
  return Result;
}

OutgoingRequest demoQuestion(const DemoCaller &From, const std::string &Path,
                             const std::string &Attempt,
                             const std::string &Body, Duration Left) {
  OutgoingRequest Result;
  Result.Method = boost::beast::http::verb::post;
  Result.Target = Path;
  Result.Body = Body;
  const auto LeftMs = std::chrono::duration_cast<milliseconds>(Left).count();
  Result.Headers = {{"Host", From.Host},
                    {"Authorization", "Bearer " + From.Key},
                    {std::string(header::AttemptId), Attempt},
                    {std::string(header::Remaining), std::to_string(LeftMs)}};
  return Result;
}

} // namespace banyanpick::standins
