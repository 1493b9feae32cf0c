#include "catalogue/CataloguePage.h"

#include "catalogue/FieldText.h"
#include "settings/SettingsPage.h"

#include <fmt/format.h>

namespace banyanpick {

namespace {

std::string sectionOf(EntryKind Kind) {
  std::string Result = fmt::format(
      "\n## [{} NAME]\n\n| key | default | meaning |\n| --- | --- | --- |\n"
      "| `owner` | {} | The owner, who alone may change the entry. |\n",
      name(Kind), Kind == EntryKind::Owner ? "`root`" : "required");
  for (const FieldText &Item : fieldTexts(emptyBody(Kind))) {
    const std::string Default = "`" + tableCell(Item.Text) + "`";
    Result += fmt::format("| `{}` | {} | {} |\n", Item.Field.Name,
                          Item.Field.Required ? "required" : Default,
                          tableCell(Item.Field.Help));
  }
  return Result;
}

} // namespace

std::string cataloguePage() {
  std::string Result =
      "# Catalogue\n\nMade by `banyanpick fields`; a test holds the two "
      "together.\n"
      "Operators' files for `banyanpick apply`. Durations have a unit (`us`,\n"
      "`ms`, `s`, `min`, `h`), sizes may have one (`KB`, `MB`, `GB`). A line\n"
      "that begins with a blank goes on with the value of the line before it.\n"
      "Names are " +
      allowedNames(EntryKind::Team) +
      "; those of\nclasses and models may also have dots.\n";
  for (const EntryKind Kind :
       {EntryKind::Owner, EntryKind::Team, EntryKind::Class, EntryKind::Model})
    Result += sectionOf(Kind);
  return Result;
}

} // namespace banyanpick
