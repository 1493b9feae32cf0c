#include "relay/EventBorders.h"

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

/// Behind the last empty line of \p Text, or 0.
std::size_t lastBorder(std::string_view Text) {
  const std::size_t Plain = Text.rfind("\n\n");
  const std::size_t Carriage = Text.rfind("\n\r\n");
  std::size_t Border = 0;
  if (Plain != std::string_view::npos)
    Border = Plain + 2;
  if (Carriage != std::string_view::npos)
    Border = std::max(Border, Carriage + 3);
  return Border;
}

} // namespace

std::string EventBorders::feed(std::string_view Bytes) {
  this->Pending += Bytes;
  const std::size_t Border = lastBorder(this->Pending);
  if (Border == 0)
    return {};
  std::string Whole = this->Pending.substr(0, Border);
  this->Pending.erase(0, Border);
  this->noteIds(Whole);
  return Whole;
}

void EventBorders::noteIds(std::string_view Events) {
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
