#include "relay/EventSplitter.h"

#include <algorithm>
#include <charconv>

namespace banyanpick {

namespace {

constexpr std::string_view IdField = "id:";

std::optional<std::uint64_t> idOf(std::string_view Line) {
  if (!Line.starts_with(IdField))
    return std::nullopt;
  Line.remove_prefix(IdField.size());
  while (!Line.empty() && Line.front() == ' ')
    Line.remove_prefix(1);
  std::uint64_t Id = 0;
  const auto Read = std::from_chars(Line.data(), Line.data() + Line.size(), Id);
  if (Read.ec != std::errc())
    return std::nullopt;
  return Id;
}

/// Returns the position after the last empty line of \p Text, or 0.
std::size_t lastBoundary(std::string_view Text) {
  const std::size_t AfterLineFeed = Text.rfind("\n\n");
  const std::size_t AfterCarriageReturn = Text.rfind("\n\r\n");
  std::size_t Boundary = 0;
  if (AfterLineFeed != std::string_view::npos)
    Boundary = AfterLineFeed + 2;
  if (AfterCarriageReturn != std::string_view::npos)
    Boundary = std::max(Boundary, AfterCarriageReturn + 3);
  return Boundary;
}

} // namespace

std::string EventSplitter::feed(std::string_view Bytes) {
  this->Pending += Bytes;
  const std::size_t Boundary = lastBoundary(this->Pending);
  if (Boundary == 0)
    return {};
  std::string Complete = this->Pending.substr(0, Boundary);
  this->Pending.erase(0, Boundary);
  this->checkIds(Complete);
  return Complete;
}

void EventSplitter::checkIds(std::string_view Events) {
  while (!Events.empty()) {
    const std::size_t End = std::min(Events.find('\n'), Events.size());
    const auto Id = idOf(Events.substr(0, End));
    Events.remove_prefix(std::min(End + 1, Events.size()));
    if (!Id)
      continue;
    if (this->LastId && *Id <= *this->LastId)
      this->InOrder = false;
    this->LastId = Id;
  }
}

} // namespace banyanpick
