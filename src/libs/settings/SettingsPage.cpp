#include "settings/SettingsPage.h"

#include "settings/SettingValue.h"

#include <fmt/format.h>
#include <map>

namespace banyanpick {

namespace {

std::string defaultText(const SettingDeclaration &Declaration) {
  if (Declaration.Required)
    return "required";
  return Declaration.Default.empty()
             ? "empty"
             : "`" + tableCell(Declaration.Default) + "`";
}

std::string row(const SettingDeclaration &Declaration) {
  return fmt::format(
      "| `{}` | {} | {} | {} |\n", Declaration.Key, defaultText(Declaration),
      tableCell(allowedValues(Declaration)), tableCell(Declaration.Help));
}

} // namespace

std::string settingsPage(std::span<const SettingDeclaration> Declarations) {
  std::map<std::string, std::string> Sections;
  for (const SettingDeclaration &Declaration : Declarations)
    Sections[Declaration.Section] += row(Declaration);
  std::string Result =
      "# Settings\n\n"
      "Made by `banyanpickd --settings_page`; a test holds the two together.\n"
      "A settings file is INI. Every setting has a default unless it is\n"
      "required; an unknown key is an error. `banyanpickd --settings FILE\n"
      "--check` reports every wrong line.\n";
  for (const auto &[Section, Rows] : Sections)
    Result += fmt::format("\n## [{}]\n\n| key | default | allowed | meaning "
                          "|\n| --- | --- | --- | --- |\n{}",
                          Section, Rows);
  return Result;
}

std::string tableCell(std::string_view Text) {
  std::string Result;
  for (const char Character : Text) {
    if (Character == '|')
      Result += '\\';
    Result += Character == '\n' ? ' ' : Character;
  }
  return Result;
}

} // namespace banyanpick
