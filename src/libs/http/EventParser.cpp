#include "http/EventParser.h"

#include "base/Error.h"

namespace banyanpick {

namespace {

/// Removes the field name and one optional space from the line. Returns false
/// if the line holds another field.
bool consumeField(std::string_view &Line, std::string_view Name) {
  if (!Line.starts_with(Name))
    return false;
  Line.remove_prefix(Name.size());
  if (Line.starts_with(' '))
    Line.remove_prefix(1);
  return true;
}

} // namespace

void EventParser::feed(std::string_view Bytes, std::vector<ServerEvent> &Out) {
  for (;;) {
    const std::size_t End = Bytes.find('\n');
    const std::string_view Part = Bytes.substr(0, End);
    if (this->pendingBytes() + Part.size() > this->MaxEventBytes)
      throw Error(ErrorKind::BadInput, "an event is too long",
                  "send events of at most " +
                      std::to_string(this->MaxEventBytes) + " bytes");
    if (End == std::string_view::npos) {
      this->Line += Part;
      return;
    }
    Bytes.remove_prefix(End + 1);
    if (this->Line.empty()) {
      this->handleLine(Part, Out);
      continue;
    }
    this->Line += Part;
    const std::string Complete = std::move(this->Line);
    this->Line.clear();
    this->handleLine(Complete, Out);
  }
}

void EventParser::handleLine(std::string_view Text,
                             std::vector<ServerEvent> &Out) {
  if (Text.ends_with('\r'))
    Text.remove_suffix(1);
  if (Text.empty()) {
    if (this->HasData)
      Out.push_back(std::move(this->Current));
    this->Current = {};
    this->HasData = false;
    return;
  }
  if (consumeField(Text, "event:")) {
    this->Current.Type = Text;
  } else if (consumeField(Text, "data:")) {
    if (this->HasData)
      this->Current.Data += '\n';
    this->Current.Data += Text;
    this->HasData = true;
  }
}

std::string formatEvent(std::string_view Type, std::string_view Data) {
  std::string Text;
  if (!Type.empty())
    Text.append("event: ").append(Type).append("\n");
  return Text.append("data: ").append(Data).append("\n\n");
}

} // namespace banyanpick
