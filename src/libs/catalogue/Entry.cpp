#include "catalogue/Entry.h"

namespace banyanpick {

std::string_view name(EntryKind Kind) {
  switch (Kind) {
  case EntryKind::Owner:
    return "owner";
  case EntryKind::Team:
    return "team";
  case EntryKind::Class:
    return "class";
  case EntryKind::Model:
    return "model";
  }
  return "unknown";
}

std::string text(const EntryKey &Key) {
  return std::string(name(Key.Kind)) + " " + Key.Name;
}

} // namespace banyanpick
