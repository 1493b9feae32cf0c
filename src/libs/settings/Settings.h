/// \file
/// Reads settings and checks them against their declarations.
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

/// One problem of a settings file.
struct SettingsProblem {
  int Line = 0; ///< 0 when the problem concerns no line.
  std::string Section;
  std::string Key;
  std::string Message; ///< The problem, the allowed values and the remedy.
};

/// The values of all declared settings. Reading a setting that is not declared,
/// or is declared with another kind, throws Error(Internal).
class Settings {
public:
  /// Returns all settings with their defaults. Required settings are empty.
  static Settings defaults(std::span<const SettingDeclaration> Declarations);

  std::string text(std::string_view Section, std::string_view Key) const;
  std::uint64_t whole(std::string_view Section, std::string_view Key) const;
  double fraction(std::string_view Section, std::string_view Key) const;
  Duration span(std::string_view Section, std::string_view Key) const;
  std::uint64_t size(std::string_view Section, std::string_view Key) const;
  bool flag(std::string_view Section, std::string_view Key) const;

  /// Sets one value. Returns the problem when the value is invalid, otherwise
  /// an empty string.
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

/// Reads INI text and checks it against the declarations. Adds all problems to
/// \p Problems. The result is usable only when there are none.
Settings readSettings(std::string_view Text,
                      std::span<const SettingDeclaration> Declarations,
                      std::vector<SettingsProblem> &Problems);

} // namespace banyanpick
