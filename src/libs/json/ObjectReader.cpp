#include "json/ObjectReader.h"

#include "base/Error.h"

#include <algorithm>

namespace banyanpick {

using nlohmann::json;

void throwBadMember(const std::string &Path, std::string_view Problem,
                    std::string_view Remedy) {
  throw Error(ErrorKind::BadInput, Path + " " + std::string(Problem), Remedy);
}

std::string itemPath(std::string_view Array, std::size_t Index) {
  return std::string(Array) + "[" + std::to_string(Index) + "]";
}

ObjectReader::ObjectReader(const json &Object, std::string Path)
    : Object(Object), Path(std::move(Path)) {
  if (!Object.is_object())
    throwBadMember(this->Path.empty() ? "the document" : this->Path,
                   "is not an object", "give {...}");
}

const json *ObjectReader::find(std::string_view Name) {
  this->KnownNames.push_back(Name);
  const auto Found = this->Object.find(Name);
  return Found == this->Object.end() ? nullptr : &*Found;
}

const json &ObjectReader::get(std::string_view Name) {
  const json *Found = this->find(Name);
  if (!Found)
    throwBadMember(this->pathOf(Name), "is missing", "add the member");
  return *Found;
}

std::string ObjectReader::text(std::string_view Name) {
  const json &Found = this->get(Name);
  if (!Found.is_string())
    throwBadMember(this->pathOf(Name), "is not a string", "give it in quotes");
  return Found.get<std::string>();
}

std::uint64_t ObjectReader::whole(std::string_view Name) {
  const json &Found = this->get(Name);
  const bool IsWhole =
      Found.is_number_unsigned() ||
      (Found.is_number_integer() && Found.get<std::int64_t>() >= 0);
  if (!IsWhole)
    throwBadMember(this->pathOf(Name), "is not a whole number",
                   "give a whole number from 0 on");
  return Found.get<std::uint64_t>();
}

bool ObjectReader::flag(std::string_view Name) {
  const json &Found = this->get(Name);
  if (!Found.is_boolean())
    throwBadMember(this->pathOf(Name), "is not a flag", "give true or false");
  return Found.get<bool>();
}

const json &ObjectReader::list(std::string_view Name) {
  const json &Found = this->get(Name);
  if (!Found.is_array())
    throwBadMember(this->pathOf(Name), "is not a list", "give [...]");
  return Found;
}

void ObjectReader::rejectUnknownMembers() const {
  for (const auto &Member : this->Object.items()) {
    const std::string &Name = Member.key();
    if (std::find(this->KnownNames.begin(), this->KnownNames.end(), Name) ==
        this->KnownNames.end())
      throwBadMember(this->pathOf(Name), "is not a known member",
                     "remove it or see docs/PROTOCOLS.md");
  }
}

std::string ObjectReader::pathOf(std::string_view Name) const {
  return this->Path.empty() ? std::string(Name)
                            : this->Path + "." + std::string(Name);
}

} // namespace banyanpick
