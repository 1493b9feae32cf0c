/// \file
/// Reads JSON objects member by member, with errors that name the path.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace banyanpick {

/// Throws Error(BadInput): \p Path \p What; \p Remedy.
[[noreturn]] void throwBadMember(const std::string &Path,
                                 std::string_view Problem,
                                 std::string_view Remedy);

/// `hosts[3]`.
std::string itemPath(std::string_view Array, std::size_t Index);

/// An object whose members are taken one by one; those left are errors. All
/// functions but find() throw Error(BadInput) when the member is missing or of
/// another type.
class ObjectReader {
public:
  /// \p Path names the object in errors; empty for the whole document.
  ObjectReader(const nlohmann::json &Object, std::string Path);

  /// The member, or null when it is absent.
  const nlohmann::json *find(std::string_view Name);
  const nlohmann::json &get(std::string_view Name);
  std::string text(std::string_view Name);
  std::uint64_t whole(std::string_view Name);
  bool flag(std::string_view Name);
  /// The member as an array.
  const nlohmann::json &list(std::string_view Name);

  /// Throws when the object has a member that was not asked for.
  void rejectUnknownMembers() const;

  std::string pathOf(std::string_view Name) const;

private:
  const nlohmann::json &Object;
  std::string Path;
  std::vector<std::string_view> KnownNames;
};

} // namespace banyanpick
