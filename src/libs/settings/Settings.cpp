#include "settings/Settings.h"

#include "base/Error.h"
#include "ini/IniText.h"
#include "settings/SettingValue.h"

#include <algorithm>
#include <set>

namespace banyanpick {

namespace {

using SettingName = std::pair<std::string, std::string>;

std::string settingText(std::string_view Section, std::string_view Key) {
  return "[" + std::string(Section) + "] " + std::string(Key);
}

/// Fills the settings from INI values and collects all problems.
struct SettingsReader {
  Settings &Values;
  std::vector<SettingsProblem> &Problems;
  std::set<SettingName> GivenSettings;

  void checkSection(const IniSection &Section) {
    const auto &Declared = this->Values.declarations();
    const bool IsDeclared = std::any_of(
        Declared.begin(), Declared.end(), [&](const auto &Declaration) {
          return Declaration.Section == Section.Name;
        });
    if (!IsDeclared)
      this->Problems.push_back(
          {Section.Line, Section.Name, "",
           "is not a section of settings; remove it or see docs/SETTINGS.md"});
  }

  void setValue(const IniValue &Value) {
    if (!this->GivenSettings.insert({Value.Section, Value.Key}).second) {
      this->Problems.push_back({Value.Line, Value.Section, Value.Key,
                                "is given twice; remove one of the two lines"});
      return;
    }
    const std::string Problem =
        this->Values.set(Value.Section, Value.Key, Value.Value);
    if (!Problem.empty())
      this->Problems.push_back({Value.Line, Value.Section, Value.Key, Problem});
  }
};

} // namespace

Settings Settings::defaults(std::span<const SettingDeclaration> Declarations) {
  Settings Result;
  Result.Declared.assign(Declarations.begin(), Declarations.end());
  for (const SettingDeclaration &Declaration : Declarations)
    Result.Values[SettingName(Declaration.Section, Declaration.Key)] =
        Declaration.Default;
  return Result;
}

std::string Settings::set(std::string_view Section, std::string_view Key,
                          std::string_view Value) {
  const SettingDeclaration *Declaration = this->declaration(Section, Key);
  if (!Declaration)
    return "is not a setting; remove the line or see docs/SETTINGS.md";
  std::string Problem = problemWith(*Declaration, Value);
  if (Problem.empty())
    this->Values[SettingName(Section, Key)] = std::string(Value);
  return Problem;
}

std::string Settings::text(std::string_view Section,
                           std::string_view Key) const {
  const auto Found =
      this->Values.find(SettingName(std::string(Section), std::string(Key)));
  if (Found == this->Values.end())
    throw Error(ErrorKind::Internal,
                settingText(Section, Key) + " is read but not declared",
                "declare the setting in the plug-in that reads it");
  return Found->second;
}

std::uint64_t Settings::whole(std::string_view Section,
                              std::string_view Key) const {
  return static_cast<std::uint64_t>(
      parseNumber(SettingKind::Whole,
                  this->raw(Section, Key, SettingKind::Whole))
          .value_or(0));
}

double Settings::fraction(std::string_view Section,
                          std::string_view Key) const {
  return parseNumber(SettingKind::Fraction,
                     this->raw(Section, Key, SettingKind::Fraction))
      .value_or(0);
}

Duration Settings::span(std::string_view Section, std::string_view Key) const {
  return Duration(static_cast<Duration::rep>(
      parseNumber(SettingKind::Span, this->raw(Section, Key, SettingKind::Span))
          .value_or(0)));
}

std::uint64_t Settings::size(std::string_view Section,
                             std::string_view Key) const {
  return static_cast<std::uint64_t>(
      parseNumber(SettingKind::Size, this->raw(Section, Key, SettingKind::Size))
          .value_or(0));
}

bool Settings::flag(std::string_view Section, std::string_view Key) const {
  return this->raw(Section, Key, SettingKind::Flag) == "true";
}

const SettingDeclaration *Settings::declaration(std::string_view Section,
                                                std::string_view Key) const {
  const auto Found = std::find_if(this->Declared.begin(), this->Declared.end(),
                                  [&](const SettingDeclaration &Candidate) {
                                    return Candidate.Section == Section &&
                                           Candidate.Key == Key;
                                  });
  return Found == this->Declared.end() ? nullptr : &*Found;
}

const std::string &Settings::raw(std::string_view Section, std::string_view Key,
                                 SettingKind Kind) const {
  const SettingDeclaration *Declaration = this->declaration(Section, Key);
  if (!Declaration || Declaration->Kind != Kind)
    throw Error(ErrorKind::Internal,
                settingText(Section, Key) +
                    " is read but not declared with this kind",
                "declare the setting in the plug-in that reads it");
  return this->Values.find(SettingName(std::string(Section), std::string(Key)))
      ->second;
}

Settings readSettings(std::string_view Text,
                      std::span<const SettingDeclaration> Declarations,
                      std::vector<SettingsProblem> &Problems) {
  Settings Result = Settings::defaults(Declarations);
  SettingsReader Reader{Result, Problems, {}};
  const IniText Ini = readIni(Text);
  for (const IniProblem &Problem : Ini.Problems)
    Problems.push_back({Problem.Line, "", "", Problem.Message});
  for (const IniSection &Section : Ini.Sections)
    Reader.checkSection(Section);
  for (const IniValue &Value : Ini.Values)
    Reader.setValue(Value);
  for (const SettingDeclaration &Declaration : Declarations) {
    if (Declaration.Required &&
        !Reader.GivenSettings.contains({Declaration.Section, Declaration.Key}))
      Problems.push_back({0, Declaration.Section, Declaration.Key,
                          "is missing; give " + allowedValues(Declaration)});
  }
  return Result;
}

} // namespace banyanpick
