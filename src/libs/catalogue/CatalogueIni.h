/// \file
/// The operators' INI form of the catalogue: `[owner NAME]`, `[team NAME]`,
/// `[class NAME]` and `[model NAME]` with the keys of EntryFields.h and
/// `owner`.
#pragma once

#include "catalogue/Entry.h"
#include "settings/Settings.h"

#include <map>
#include <string_view>
#include <vector>

namespace banyanpick {

/// What one file declares. The entries' versions are 0. Usable only when
/// there are no problems.
struct CatalogueFile {
  EntryMap Entries;
  std::map<EntryKey, int> Lines;         ///< Where each entry's section begins.
  std::vector<SettingsProblem> Problems; ///< By line.
};

/// Reads and checks a whole file; every problem is reported. References to
/// classes and models are looked for in the file and in \p InForce, those to
/// owners only when it is not null.
CatalogueFile readCatalogueIni(std::string_view Text,
                               const EntryMap *InForce = nullptr);

/// The INI form of the entries, as readCatalogueIni() reads it.
std::string writeCatalogueIni(const EntryMap &Entries);

} // namespace banyanpick
