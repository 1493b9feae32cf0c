/// \file
/// Reads the members of JSON objects, with errors that name the member's path.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace banyanpick {

/// Throws Error(BadInput) with the message "PATH PROBLEM" and the remedy.
[[noreturn]] void throwBadMember(const std::string &Path,
                                 std::string_view Problem,
                                 std::string_view Remedy);

/// Returns the path of an array element, such as `hosts[3]`.
std::string itemPath(std::string_view Array, std::size_t Index);

/// Reads the members of one object by name and rejects members that were not
/// read. All functions that return a member, except find(), throw
/// Error(BadInput) if the member is missing or has another type.
class ObjectReader {
public:
  /// \p Path names the object in errors. It is empty for the document itself.
  /// Throws Error(BadInput) if \p Object is not an object.
  ObjectReader(const nlohmann::json &Object, std::string Path);

  /// Returns the member, or null if it is absent.
  const nlohmann::json *find(std::string_view Name);
  const nlohmann::json &get(std::string_view Name);
  std::string text(std::string_view Name);
  std::uint64_t whole(std::string_view Name);
  bool flag(std::string_view Name);
  /// Returns the member, which must be an array.
  const nlohmann::json &list(std::string_view Name);

  /// Throws Error(BadInput) if the object has a member that was not read.
  void rejectUnknownMembers() const;

  std::string pathOf(std::string_view Name) const;

private:
  const nlohmann::json &Object;
  std::string Path;
  std::vector<std::string_view> KnownNames;
};

} // namespace banyanpick
