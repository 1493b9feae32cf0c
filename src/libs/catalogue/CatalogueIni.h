/// \file
/// The INI form of the catalogue that operators write. Its sections are
/// `[owner NAME]`, `[team NAME]`, `[class NAME]` and `[model NAME]`; their keys
/// are those of EntryFields.h and `owner`.
#pragma once

#include "catalogue/Entry.h"
#include "settings/Settings.h"

#include <map>
#include <string_view>
#include <vector>

namespace banyanpick {

/// The entries that one file declares. Their versions are 0. Usable only when
/// Problems is empty.
struct CatalogueFile {
  EntryMap Entries;
  std::map<EntryKey, int> Lines; ///< First line of each entry's section.
  std::vector<SettingsProblem> Problems; ///< Ordered by line.
};

/// Reads and checks a file and reports all problems. References to classes and
/// models are resolved in the file and in \p InForce. References to owners are
/// checked only when \p InForce is not null.
CatalogueFile readCatalogueIni(std::string_view Text,
                               const EntryMap *InForce = nullptr);

/// Returns the entries in the INI form that readCatalogueIni() reads.
std::string writeCatalogueIni(const EntryMap &Entries);

} // namespace banyanpick
