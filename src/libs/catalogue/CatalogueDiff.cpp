#include "catalogue/CatalogueDiff.h"

#include "catalogue/FieldText.h"

#include <fmt/format.h>

namespace banyanpick {

namespace {

const Entry *find(const EntryMap &Entries, const EntryKey &Key) {
  const auto Found = Entries.find(Key);
  return Found == Entries.end() ? nullptr : &Found->second;
}

bool isSame(const Entry &Declared, const Entry *InForce) {
  return InForce && InForce->Owner == Declared.Owner &&
         InForce->Body == Declared.Body;
}

std::string describeFields(const EntryBody &Body, const EntryBody *Before) {
  std::string Result;
  std::vector<FieldText> Old;
  if (Before)
    Old = fieldTexts(*Before);
  std::size_t NextIndex = 0;
  for (const FieldText &New : fieldTexts(Body)) {
    const std::size_t Index = NextIndex++;
    if (!Before)
      Result += fmt::format("    {} = {}\n", New.Field.Name, New.Text);
    else if (Old[Index].Text != New.Text)
      Result += fmt::format("    {}: {} -> {}\n", New.Field.Name,
                            Old[Index].Text, New.Text);
  }
  return Result;
}

} // namespace

CatalogueDiff difference(const EntryMap &Declared, const EntryMap &InForce,
                         const OwnerId &Author, bool Prune) {
  CatalogueDiff Result;
  for (const auto &[Key, Wanted] : Declared) {
    if (Wanted.Owner != Author) {
      Result.OwnedByOthers.push_back(Key);
      continue;
    }
    const Entry *Before = find(InForce, Key);
    if (!isSame(Wanted, Before))
      Result.Changes.push_back(
          {Key, Before ? Before->Version : 0, Wanted.Owner, Wanted.Body});
  }
  for (const auto &[Key, Before] : InForce) {
    if (Before.Owner != Author || Declared.contains(Key))
      continue;
    Result.Undeclared.push_back(Key);
    if (Prune)
      Result.Changes.push_back(
          {Key, Before.Version, Before.Owner, std::nullopt});
  }
  return Result;
}

std::string describe(const Change &Proposed, const EntryMap &InForce) {
  if (!Proposed.Body)
    return "- " + text(Proposed.Key) + "\n";
  const Entry *Before = find(InForce, Proposed.Key);
  std::string Result = (Before ? "~ " : "+ ") + text(Proposed.Key) + "\n";
  if (Before && Before->Owner != Proposed.Owner)
    Result += fmt::format("    owner: {} -> {}\n", Before->Owner.Value,
                          Proposed.Owner.Value);
  const bool SameKind =
      Before && Before->Body.index() == Proposed.Body->index();
  return Result +
         describeFields(*Proposed.Body, SameKind ? &Before->Body : nullptr);
}

} // namespace banyanpick
