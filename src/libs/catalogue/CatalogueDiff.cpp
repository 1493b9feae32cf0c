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
  std::size_t Index = 0;
  for (const FieldText &Each : fieldTexts(Body)) {
    const std::size_t Place = Index++;
    if (!Before)
      Result += fmt::format("    {} = {}\n", Each.Field.Name, Each.Text);
    else if (Old[Place].Text != Each.Text)
      Result += fmt::format("    {}: {} -> {}\n", Each.Field.Name,
                            Old[Place].Text, Each.Text);
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

std::string describe(const Change &Of, const EntryMap &InForce) {
  if (!Of.Body)
    return "- " + text(Of.Key) + "\n";
  const Entry *Before = find(InForce, Of.Key);
  std::string Result = (Before ? "~ " : "+ ") + text(Of.Key) + "\n";
  if (Before && Before->Owner != Of.Owner)
    Result += fmt::format("    owner: {} -> {}\n", Before->Owner.Value,
                          Of.Owner.Value);
  const bool SameKind = Before && Before->Body.index() == Of.Body->index();
  return Result + describeFields(*Of.Body, SameKind ? &Before->Body : nullptr);
}

} // namespace banyanpick
