#include "json/ObjectReader.h"

#include "base/Error.h"

#include <algorithm>

namespace banyanpick {

using nlohmann::json;

void throwBadMember(const std::string &Path, std::string_view What,
                    std::string_view Remedy) {
  throw Error(ErrorKind::BadInput, Path + " " + std::string(What), Remedy);
}

std::string itemPath(std::string_view Array, std::size_t Index) {
  return std::string(Array) + "[" + std::to_string(Index) + "]";
}

ObjectReader::ObjectReader(const json &Given, std::string Path)
    : Given(Given), Path(std::move(Path)) {
  if (!Given.is_object())
    throwBadMember(this->Path.empty() ? "the document" : this->Path,
                   "is not an object", "give {...}");
}

const json *ObjectReader::find(std::string_view Name) {
  this->Known.push_back(Name);
  const auto Found = this->Given.find(Name);
  return Found == this->Given.end() ? nullptr : &*Found;
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
  const bool Whole =
      Found.is_number_unsigned() ||
      (Found.is_number_integer() && Found.get<std::int64_t>() >= 0);
  if (!Whole)
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

void ObjectReader::refuseOthers() const {
  for (const auto &Member : this->Given.items()) {
    const std::string &Name = Member.key();
    if (std::find(this->Known.begin(), this->Known.end(), Name) ==
        this->Known.end())
      throwBadMember(this->pathOf(Name), "is not a known member",
                     "remove it or see docs/PROTOCOLS.md");
  }
}

std::string ObjectReader::pathOf(std::string_view Name) const {
  return this->Path.empty() ? std::string(Name)
                            : this->Path + "." + std::string(Name);
}

} // namespace banyanpick
