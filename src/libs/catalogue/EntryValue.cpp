#include "catalogue/EntryValue.h"

#include "settings/SettingValue.h"

#include <algorithm>
#include <array>
#include <utility>

namespace banyanpick {

namespace {

constexpr std::string_view ModelPrefix = "model:";
constexpr std::string_view ApplicationPrefix = "application:";
constexpr std::string_view NameCharacters =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789_-";
/// inih keeps 49 characters of a section's name, including the kind.
constexpr std::size_t LongestName = 40;

struct DurationUnit {
  Duration::rep Length;
  std::string_view Suffix;
};
constexpr std::array<DurationUnit, 3> DurationUnits{
    {{1'000'000, "s"}, {1'000, "ms"}, {1, "us"}}};

bool mayHaveDot(EntryKind Kind) {
  return Kind == EntryKind::Class || Kind == EntryKind::Model;
}

} // namespace

std::string durationText(Duration Value) {
  if (Value == Duration::zero())
    return "0s";
  const auto Unit = std::find_if(DurationUnits.begin(), DurationUnits.end(),
                                 [&](const DurationUnit &Unit) {
                                   return Value.count() % Unit.Length == 0;
                                 });
  return std::to_string(Value.count() / Unit->Length) +
         std::string(Unit->Suffix);
}

std::optional<Duration> parseDuration(std::string_view Text) {
  const auto Microseconds = parseNumber(SettingKind::Span, Text);
  if (!Microseconds || *Microseconds > 1e15 || *Microseconds < -1e15)
    return std::nullopt;
  return Duration(static_cast<Duration::rep>(*Microseconds));
}

std::string targetText(const ConstTarget &Value) {
  const bool IsModel = Value.Target == TargetKind::Model;
  return std::string(IsModel ? ModelPrefix : ApplicationPrefix) + Value.Name;
}

bool parseTarget(std::string_view Text, const MutableTarget &Into) {
  const bool IsModel = Text.starts_with(ModelPrefix);
  if (!IsModel && !Text.starts_with(ApplicationPrefix))
    return false;
  Into.Target = IsModel ? TargetKind::Model : TargetKind::Application;
  Into.Name = Text.substr(Text.find(':') + 1);
  return true;
}

std::optional<EntryKind> parseEntryKind(std::string_view Keyword) {
  for (const EntryKind Kind : {EntryKind::Owner, EntryKind::Team,
                               EntryKind::Class, EntryKind::Model}) {
    if (name(Kind) == Keyword)
      return Kind;
  }
  return std::nullopt;
}

EntryBody emptyBody(EntryKind Kind) {
  switch (Kind) {
  case EntryKind::Owner:
    return OwnerEntry{};
  case EntryKind::Team:
    return TeamEntry{};
  case EntryKind::Class:
    return ClassEntry{};
  case EntryKind::Model:
    return ModelEntry{};
  }
  return OwnerEntry{};
}

bool isAllowedName(EntryKind Kind, std::string_view Name) {
  const bool Valid = std::all_of(Name.begin(), Name.end(), [&](char Character) {
    return NameCharacters.find(Character) != std::string_view::npos ||
           (Character == '.' && mayHaveDot(Kind));
  });
  return Valid && !Name.empty() && Name.size() <= LongestName;
}

std::string allowedNames(EntryKind Kind) {
  return "1 to " + std::to_string(LongestName) +
         " letters, digits, '-' or '_'" + (mayHaveDot(Kind) ? " or '.'" : "");
}

} // namespace banyanpick
