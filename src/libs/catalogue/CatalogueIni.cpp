#include "catalogue/CatalogueIni.h"

#include "catalogue/EntryCheck.h"
#include "catalogue/EntryReferences.h"
#include "catalogue/FieldText.h"
#include "ini/IniText.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace banyanpick {

namespace {

constexpr std::string_view OwnerField = "owner";

/// Identifies a value in the file by its entry and field.
struct FieldLocation {
  EntryKey Entry;
  std::string Field;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang 14 misreads defaults.
  auto operator<=>(const FieldLocation &) const = default;
};

/// Parses a section name such as `team house-1` into an entry key.
std::optional<EntryKey> parseSection(std::string_view Section) {
  const std::size_t Space = Section.find(' ');
  if (Space == std::string_view::npos)
    return std::nullopt;
  const auto Kind = parseEntryKind(Section.substr(0, Space));
  const std::string_view Name = Section.substr(Space + 1);
  if (!Kind || Name.empty())
    return std::nullopt;
  return EntryKey{*Kind, std::string(Name)};
}

/// Builds the entries of a file and collects all problems.
class FileReader {
public:
  CatalogueFile read(std::string_view Text, const EntryMap *InForce) {
    const IniText Ini = readIni(Text);
    for (const IniProblem &Problem : Ini.Problems)
      this->File.Problems.push_back({Problem.Line, "", "", Problem.Message});
    for (const IniSection &Section : Ini.Sections)
      this->addSection(Section);
    for (const IniValue &Value : Ini.Values)
      this->addValue(Value);
    for (const auto &[Key, Value] : this->File.Entries)
      this->checkEntry(Key, Value, InForce);
    std::stable_sort(
        this->File.Problems.begin(), this->File.Problems.end(),
        [](const auto &A, const auto &B) { return A.Line < B.Line; });
    return std::move(this->File);
  }

private:
  void addSection(const IniSection &Section) {
    const auto Key = parseSection(Section.Name);
    if (!Key) {
      this->File.Problems.push_back(
          {Section.Line, Section.Name, "",
           "is not a section of a catalogue; give [owner NAME], [team NAME], "
           "[class NAME] or [model NAME]"});
      return;
    }
    if (!this->File.Lines.emplace(*Key, Section.Line).second) {
      this->File.Problems.push_back(
          {Section.Line, Section.Name, "",
           "is declared twice; merge the two sections"});
      return;
    }
    Entry &Added = this->File.Entries[*Key];
    Added.Body = emptyBody(Key->Kind);
    if (Key->Kind == EntryKind::Owner)
      Added.Owner = OwnerId(std::string(RootOwner));
  }

  void addValue(const IniValue &Value) {
    const auto Key = parseSection(Value.Section);
    if (!Key) {
      if (Value.Section.empty())
        this->addProblem(Value, "is in no section; put it below a section "
                                "such as [team NAME]");
      return;
    }
    const auto Found = this->File.Entries.find(*Key);
    if (Found == this->File.Entries.end())
      return; // inih truncated the section name; this is reported.
    if (!this->FieldLines.emplace(FieldLocation{*Key, Value.Key}, Value.Line)
             .second) {
      this->addProblem(Value, "is given twice; remove one of the two lines");
      return;
    }
    this->set(Found->second, Value);
  }

  void set(Entry &Into, const IniValue &Value) {
    if (Value.Key == OwnerField) {
      Into.Owner = OwnerId(Value.Value);
      return;
    }
    const auto Outcome = setField(Into.Body, Value.Key, Value.Value);
    if (!Outcome)
      this->addProblem(Value, "is not a key of this section; give one of " +
                                  this->fieldNames(Into.Body));
    else if (!Outcome->empty())
      this->addProblem(Value, *Outcome);
  }

  void checkEntry(const EntryKey &Key, const Entry &Value,
                  const EntryMap *InForce) {
    for (const FieldText &Item : fieldTexts(Value.Body)) {
      if (Item.Field.Required && !this->isGiven(Key, Item.Field.Name))
        this->addEntryProblem(
            Key, {std::string(Item.Field.Name), "is missing",
                  "add the line; " + std::string(Item.Field.Help)});
    }
    if (Value.Owner.Value.empty())
      this->addEntryProblem(Key, {std::string(OwnerField), "is missing",
                                  "add the name of the owner of this entry"});
    for (const EntryProblem &Problem : problemsOf(Key, Value.Body)) {
      if (Problem.Field.empty() || this->isGiven(Key, Problem.Field))
        this->addEntryProblem(Key, Problem);
    }
    if (Value.Owner.Value.empty())
      return;
    for (const EntryProblem &Problem :
         missingReferences(Value, this->File.Entries, InForce))
      this->addEntryProblem(Key, Problem);
  }

  bool isGiven(const EntryKey &Key, std::string_view Field) const {
    return this->FieldLines.contains({Key, std::string(Field)});
  }

  /// Reports the problem at the line of the field, or at the section's line
  /// when the file doesn't contain the field.
  void addEntryProblem(const EntryKey &Key, const EntryProblem &Problem) {
    const auto Found = this->FieldLines.find({Key, Problem.Field});
    const int Line = Found == this->FieldLines.end() ? this->File.Lines.at(Key)
                                                     : Found->second;
    this->File.Problems.push_back({Line, text(Key), Problem.Field,
                                   Problem.Message + "; " + Problem.Remedy});
  }

  void addProblem(const IniValue &Value, std::string Message) {
    this->File.Problems.push_back(
        {Value.Line, Value.Section, Value.Key, std::move(Message)});
  }

  static std::string fieldNames(const EntryBody &Body) {
    std::string Result(OwnerField);
    for (const FieldText &Item : fieldTexts(Body))
      Result += ", " + std::string(Item.Field.Name);
    return Result;
  }

  CatalogueFile File;
  std::map<FieldLocation, int> FieldLines;
};

} // namespace

CatalogueFile readCatalogueIni(std::string_view Text, const EntryMap *InForce) {
  return FileReader().read(Text, InForce);
}

std::string writeCatalogueIni(const EntryMap &Entries) {
  std::string Result;
  for (const auto &[Key, Value] : Entries) {
    Result += fmt::format("{}[{}]\nowner = {}\n", Result.empty() ? "" : "\n",
                          text(Key), Value.Owner.Value);
    for (const FieldText &Item : fieldTexts(Value.Body)) {
      if (!Item.IsDefault || Item.Field.Required)
        Result += fmt::format("{} = {}\n", Item.Field.Name, Item.Text);
    }
  }
  return Result;
}

} // namespace banyanpick
