#include "gateway/EngineIncarnation.h"

#include <charconv>
#include <string>

namespace banyanpick {

namespace {

/// Separates the name from the start time. Only the text after the last
/// separator can be a start time, so names may contain the separator.
constexpr char Separator = '@';

/// The two parts of an incarnation's id.
struct IncarnationParts {
  std::string_view Name;
  std::uint64_t StartMs = 0;
};

IncarnationParts partsOf(std::string_view Text) {
  const std::size_t At = Text.rfind(Separator);
  if (At == std::string_view::npos)
    return {Text, 0};
  const std::string_view Start = Text.substr(At + 1);
  IncarnationParts Result{Text.substr(0, At), 0};
  const char *End = Start.data() + Start.size();
  const auto [Stop, Failure] =
      std::from_chars(Start.data(), End, Result.StartMs);
  if (Failure != std::errc() || Stop != End)
    return {Text, 0};
  return Result;
}

} // namespace

UpstreamId engineIncarnation(std::string_view Name, std::uint64_t StartMs) {
  std::string Text(Name);
  if (StartMs != 0)
    Text += Separator + std::to_string(StartMs);
  return UpstreamId(std::move(Text));
}

std::string_view engineName(const UpstreamId &Id) {
  return partsOf(Id.Value).Name;
}

std::uint64_t engineStartMs(const UpstreamId &Id) {
  return partsOf(Id.Value).StartMs;
}

} // namespace banyanpick
