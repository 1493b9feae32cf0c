/// \file
/// Checked settings: every declared setting has a valid value.
#pragma once

#include "base/Time.h"
#include "settings/SettingDeclaration.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace banyanpick {

/// One thing wrong with a settings file.
struct SettingsProblem {
  int Line = 0; ///< 0 when it concerns no line.
  std::string Section;
  std::string Key;
  std::string Message; ///< What is wrong, what is allowed, the remedy.
};

/// The values of all declared settings. Reading an undeclared one throws
/// Error(Internal).
class Settings {
public:
  /// Every setting at its default; required ones are empty.
  static Settings defaults(std::span<const SettingDeclaration> Declarations);

  std::string text(std::string_view Section, std::string_view Key) const;
  std::uint64_t whole(std::string_view Section, std::string_view Key) const;
  double fraction(std::string_view Section, std::string_view Key) const;
  Duration span(std::string_view Section, std::string_view Key) const;
  std::uint64_t size(std::string_view Section, std::string_view Key) const;
  bool flag(std::string_view Section, std::string_view Key) const;

  /// Sets one value; returns what is wrong with it, or an empty string.
  std::string set(std::string_view Section, std::string_view Key,
                  std::string_view Value);

  const std::vector<SettingDeclaration> &declarations() const {
    return this->Declared;
  }

private:
  const SettingDeclaration *declaration(std::string_view Section,
                                        std::string_view Key) const;
  const std::string &raw(std::string_view Section, std::string_view Key,
                         SettingKind Kind) const;

  std::vector<SettingDeclaration> Declared;
  std::map<std::pair<std::string, std::string>, std::string, std::less<>>
      Values;
};

/// Reads INI text against the declarations. All problems are added to
/// \p Problems; the result is usable only when there are none.
Settings readSettings(std::string_view Text,
                      std::span<const SettingDeclaration> Declarations,
                      std::vector<SettingsProblem> &Problems);

} // namespace banyanpick
