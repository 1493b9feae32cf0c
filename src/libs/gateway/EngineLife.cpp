#include "gateway/EngineLife.h"

#include <charconv>
#include <string>

namespace banyanpick {

namespace {

/// Stands between name and birth. Only what follows the last one may be a
/// birth, so names may contain it.
constexpr char Separator = '@';

/// A life's id in its two parts.
struct LifeParts {
  std::string_view Name;
  std::uint64_t BornMs = 0;
};

LifeParts partsOf(std::string_view Text) {
  const std::size_t At = Text.rfind(Separator);
  if (At == std::string_view::npos)
    return {Text, 0};
  const std::string_view Birth = Text.substr(At + 1);
  LifeParts Result{Text.substr(0, At), 0};
  const char *End = Birth.data() + Birth.size();
  const auto [Stop, Failure] =
      std::from_chars(Birth.data(), End, Result.BornMs);
  if (Failure != std::errc() || Stop != End)
    return {Text, 0};
  return Result;
}

} // namespace

UpstreamId engineLife(std::string_view Name, std::uint64_t BornMs) {
  std::string Text(Name);
  if (BornMs != 0)
    Text += Separator + std::to_string(BornMs);
  return UpstreamId(std::move(Text));
}

std::string_view engineName(const UpstreamId &Life) {
  return partsOf(Life.Value).Name;
}

std::uint64_t engineBornMs(const UpstreamId &Life) {
  return partsOf(Life.Value).BornMs;
}

} // namespace banyanpick
