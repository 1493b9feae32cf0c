#include "gateway/EngineIncarnation.h"

#include <charconv>
#include <string>

namespace banyanpick {

namespace {

/// Stands between name and birth. Only what follows the last one may be a
/// birth, so names may contain it.
constexpr char Separator = '@';

/// A life's id in its two parts.
struct IncarnationParts {
  std::string_view Name;
  std::uint64_t StartMs = 0;
};

IncarnationParts partsOf(std::string_view Text) {
  const std::size_t At = Text.rfind(Separator);
  if (At == std::string_view::npos)
    return {Text, 0};
  const std::string_view Birth = Text.substr(At + 1);
  IncarnationParts Result{Text.substr(0, At), 0};
  const char *End = Birth.data() + Birth.size();
  const auto [Stop, Failure] =
      std::from_chars(Birth.data(), End, Result.StartMs);
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

std::string_view engineName(const UpstreamId &Life) {
  return partsOf(Life.Value).Name;
}

std::uint64_t engineStartMs(const UpstreamId &Life) {
  return partsOf(Life.Value).StartMs;
}

} // namespace banyanpick
