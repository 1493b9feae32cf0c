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

/// Where a value of an entry was read.
struct FieldPlace {
  EntryKey Entry;
  std::string Field;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang 14 misreads defaults.
  auto operator<=>(const FieldPlace &) const = default;
};

/// The entry that a section's name stands for: `team house-1`.
std::optional<EntryKey> parseSection(std::string_view Section) {
  const std::size_t Blank = Section.find(' ');
  if (Blank == std::string_view::npos)
    return std::nullopt;
  const auto Kind = parseEntryKind(Section.substr(0, Blank));
  const std::string_view Name = Section.substr(Blank + 1);
  if (!Kind || Name.empty())
    return std::nullopt;
  return EntryKey{*Kind, std::string(Name)};
}

/// Builds the file's entries, collecting what is wrong.
class FileReader {
public:
  CatalogueFile read(std::string_view Text, const EntryMap *InForce) {
    const IniText Ini = readIni(Text);
    for (const IniProblem &Each : Ini.Problems)
      this->File.Problems.push_back({Each.Line, "", "", Each.Message});
    for (const IniSection &Each : Ini.Sections)
      this->begin(Each);
    for (const IniValue &Each : Ini.Values)
      this->take(Each);
    for (const auto &[Key, Value] : this->File.Entries)
      this->check(Key, Value, InForce);
    std::stable_sort(
        this->File.Problems.begin(), this->File.Problems.end(),
        [](const auto &A, const auto &B) { return A.Line < B.Line; });
    return std::move(this->File);
  }

private:
  void begin(const IniSection &Section) {
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
           "is declared twice; join the two sections"});
      return;
    }
    Entry &Made = this->File.Entries[*Key];
    Made.Body = emptyBody(Key->Kind);
    if (Key->Kind == EntryKind::Owner)
      Made.Owner = OwnerId(std::string(RootOwner));
  }

  void take(const IniValue &Given) {
    const auto Key = parseSection(Given.Section);
    if (!Key) {
      if (Given.Section.empty())
        this->complain(Given, "stands in no section; give it below a section "
                              "such as [team NAME]");
      return;
    }
    const auto Known = this->File.Entries.find(*Key);
    if (Known == this->File.Entries.end())
      return; // The section's name was cut off and is reported.
    if (!this->Places.emplace(FieldPlace{*Key, Given.Key}, Given.Line).second) {
      this->complain(Given, "is given twice; remove one of the two lines");
      return;
    }
    this->set(Known->second, Given);
  }

  void set(Entry &Into, const IniValue &Given) {
    if (Given.Key == OwnerField) {
      Into.Owner = OwnerId(Given.Value);
      return;
    }
    const auto Outcome = setField(Into.Body, Given.Key, Given.Value);
    if (!Outcome)
      this->complain(Given, "is not a key of this section; give one of " +
                                this->keysOf(Into.Body));
    else if (!Outcome->empty())
      this->complain(Given, *Outcome);
  }

  void check(const EntryKey &Key, const Entry &Value, const EntryMap *InForce) {
    for (const FieldText &Each : fieldTexts(Value.Body)) {
      if (Each.Field.Required && !this->isGiven(Key, Each.Field.Name))
        this->report(Key, {std::string(Each.Field.Name), "is missing",
                           "add the line; " + std::string(Each.Field.Help)});
    }
    if (Value.Owner.Value.empty())
      this->report(Key, {std::string(OwnerField), "is missing",
                         "add the name of the owner of this entry"});
    for (const EntryProblem &Each : problemsOf(Key, Value.Body)) {
      if (Each.Field.empty() || this->isGiven(Key, Each.Field))
        this->report(Key, Each);
    }
    if (Value.Owner.Value.empty())
      return;
    for (const EntryProblem &Each :
         missingReferences(Value, this->File.Entries, InForce))
      this->report(Key, Each);
  }

  bool isGiven(const EntryKey &Key, std::string_view Field) const {
    return this->Places.contains({Key, std::string(Field)});
  }

  /// At the line of the field, or of the section when it has none.
  void report(const EntryKey &Key, const EntryProblem &Message) {
    const auto Place = this->Places.find({Key, Message.Field});
    const int Line =
        Place == this->Places.end() ? this->File.Lines.at(Key) : Place->second;
    this->File.Problems.push_back({Line, text(Key), Message.Field,
                                   Message.Message + "; " + Message.Remedy});
  }

  void complain(const IniValue &At, std::string Message) {
    this->File.Problems.push_back(
        {At.Line, At.Section, At.Key, std::move(Message)});
  }

  static std::string keysOf(const EntryBody &Body) {
    std::string Result(OwnerField);
    for (const FieldText &Each : fieldTexts(Body))
      Result += ", " + std::string(Each.Field.Name);
    return Result;
  }

  CatalogueFile File;
  std::map<FieldPlace, int> Places;
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
    for (const FieldText &Each : fieldTexts(Value.Body)) {
      if (!Each.IsDefault || Each.Field.Required)
        Result += fmt::format("{} = {}\n", Each.Field.Name, Each.Text);
    }
  }
  return Result;
}

} // namespace banyanpick
