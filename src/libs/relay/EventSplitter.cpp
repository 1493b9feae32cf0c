#include "relay/EventSplitter.h"

#include <algorithm>
#include <charconv>
#include <utility>

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

/// Returns whether the line is a field of an event's data.
bool isData(std::string_view Line) {
  if (Line.ends_with('\r'))
    Line.remove_suffix(1);
  return Line == "data" || Line.starts_with("data:");
}

/// Longest end of a block: the empty line and the line end before it.
constexpr std::size_t MaxBoundaryBytes = 3;

/// Returns the position after the last empty line of \p Text, or 0.
std::size_t lastBoundary(std::string_view Text) {
  const std::size_t AfterLineFeed = Text.rfind("\n\n");
  const std::size_t AfterCarriageReturn = Text.rfind("\n\r\n");
  std::size_t Boundary = 0;
  if (AfterLineFeed != std::string_view::npos)
    Boundary = AfterLineFeed + 2;
  if (AfterCarriageReturn != std::string_view::npos)
    Boundary = std::max(Boundary, AfterCarriageReturn + MaxBoundaryBytes);
  return Boundary;
}

} // namespace

SplitEvents EventSplitter::feed(std::string_view Bytes) {
  this->Pending += Bytes;
  SplitEvents Result;
  Result.Bytes = this->takeComplete();
  if (Result.Bytes.empty())
    return Result;
  Result.HasEvent = this->readLines(Result.Bytes);
  if (Result.HasEvent)
    this->BytesWithoutEvent = 0;
  else
    this->BytesWithoutEvent += Result.Bytes.size();
  this->HasBegun = this->HasBegun || Result.HasEvent;
  if (!this->HasBegun) {
    this->Withheld += Result.Bytes;
    return {};
  }
  if (!this->Withheld.empty())
    Result.Bytes.insert(0, std::exchange(this->Withheld, {}));
  return Result;
}

bool EventSplitter::isWithinBlock() const {
  return this->Pending.find_first_not_of("\r\n") != std::string::npos;
}

std::string EventSplitter::takeRest() {
  this->SearchedBytes = 0;
  return std::exchange(this->Withheld, {}) + std::exchange(this->Pending, {});
}

std::string EventSplitter::takeComplete() {
  // A boundary may have begun in the bytes that were searched before.
  const std::size_t From =
      this->SearchedBytes - std::min(this->SearchedBytes, MaxBoundaryBytes - 1);
  const std::size_t Found =
      lastBoundary(std::string_view(this->Pending).substr(From));
  const std::size_t Boundary = Found == 0 ? 0 : From + Found;
  std::string Complete = this->Pending.substr(0, Boundary);
  this->Pending.erase(0, Boundary);
  this->SearchedBytes = this->Pending.size();
  return Complete;
}

bool EventSplitter::readLines(std::string_view Blocks) {
  bool HasData = false;
  while (!Blocks.empty()) {
    const std::size_t End = std::min(Blocks.find('\n'), Blocks.size());
    const std::string_view Line = Blocks.substr(0, End);
    Blocks.remove_prefix(std::min(End + 1, Blocks.size()));
    HasData = HasData || isData(Line);
    const auto Id = idOf(Line);
    if (Id)
      this->checkId(*Id);
  }
  return HasData;
}

void EventSplitter::checkId(std::uint64_t Id) {
  if (this->LastId && Id <= *this->LastId)
    this->InOrder = false;
  this->LastId = Id;
}

} // namespace banyanpick
