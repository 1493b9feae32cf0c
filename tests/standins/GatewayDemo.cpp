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

OutgoingRequest demoRequest(const DemoCaller &Caller, const std::string &Path,
                            const std::string &Attempt, const std::string &Body,
                            Duration Timeout) {
  OutgoingRequest Result;
  Result.Method = boost::beast::http::verb::post;
  Result.Target = Path;
  Result.Body = Body;
  const auto TimeoutMs =
      std::chrono::duration_cast<milliseconds>(Timeout).count();
  Result.Headers = {
      {"Host", Caller.Host},
      {"Authorization", "Bearer " + Caller.Key},
      {std::string(header::AttemptId), Attempt},
      {std::string(header::Remaining), std::to_string(TimeoutMs)}};
  return Result;
}

} // namespace banyanpick::standins
