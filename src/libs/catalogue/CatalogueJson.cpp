#include "catalogue/CatalogueJson.h"

#include "base/Error.h"
#include "base/Visitor.h"
#include "catalogue/EntryCheck.h"
#include "catalogue/EntryValue.h"

#include <algorithm>
#include <limits>
#include <span>

namespace banyanpick {

namespace {

using nlohmann::json;

[[noreturn]] void fail(const std::string &Path, std::string_view What,
                       std::string_view Remedy) {
  throw Error(ErrorKind::BadInput, Path + " " + std::string(What), Remedy);
}

json bodyToJson(const EntryBody &Body) {
  json Result = json::object();
  const auto Write = Overloaded{
      [&](const EntryField &Field, const KeyDigest &Value) {
        Result[Field.Name] = Value.Text;
      },
      [&](const EntryField &Field, const Duration &Value) {
        Result[Field.Name] = durationText(Value);
      },
      [&](const EntryField &Field, const std::vector<ClassId> &Values) {
        json Names = json::array();
        for (const ClassId &Each : Values)
          Names.push_back(Each.Value);
        Result[Field.Name] = std::move(Names);
      },
      [&](const EntryField &Field, const ConstTarget &Value) {
        Result[Field.Name] = targetText(Value);
      },
      [&](const EntryField &Field, const auto &Value) {
        Result[Field.Name] = Value;
      }};
  std::visit([&](const auto &Each) { visitFields(Each, Write); }, Body);
  return Result;
}

/// An object whose members are taken one by one; those left are errors.
class ObjectReader {
public:
  ObjectReader(const json &Given, std::string Path)
      : Given(Given), Path(std::move(Path)) {
    if (!Given.is_object())
      fail(this->Path.empty() ? "the document" : this->Path, "is not an object",
           "give {...}");
  }

  const json *find(std::string_view Name) {
    this->Known.push_back(Name);
    const auto Found = this->Given.find(Name);
    return Found == this->Given.end() ? nullptr : &*Found;
  }

  const json &get(std::string_view Name) {
    const json *Found = this->find(Name);
    if (!Found)
      fail(this->pathOf(Name), "is missing", "add the member");
    return *Found;
  }

  std::string text(std::string_view Name) {
    const json &Found = this->get(Name);
    if (!Found.is_string())
      fail(this->pathOf(Name), "is not a string", "give it in quotes");
    return Found.get<std::string>();
  }

  std::uint64_t whole(std::string_view Name) {
    const json &Found = this->get(Name);
    if (!Found.is_number_integer() ||
        (!Found.is_number_unsigned() && Found.get<std::int64_t>() < 0))
      fail(this->pathOf(Name), "is not a whole number",
           "give a whole number from 0 on");
    return Found.get<std::uint64_t>();
  }

  /// Called after all members were asked for.
  void refuseOthers() const {
    for (const auto &Member : this->Given.items()) {
      const std::string &Name = Member.key();
      if (std::find(this->Known.begin(), this->Known.end(), Name) ==
          this->Known.end())
        fail(this->pathOf(Name), "is not a known member",
             "remove it or see docs/PROTOCOLS.md");
    }
  }

  std::string pathOf(std::string_view Name) const {
    return this->Path.empty() ? std::string(Name)
                              : this->Path + "." + std::string(Name);
  }

private:
  const json &Given;
  std::string Path;
  std::vector<std::string_view> Known;
};

/// Reads the fields of a body; absent ones keep their defaults.
struct BodyReader {
  ObjectReader &Object;

  void operator()(const EntryField &Field, KeyDigest &Into) {
    if (this->Object.find(Field.Name))
      Into.Text = this->Object.text(Field.Name);
  }
  void operator()(const EntryField &Field, std::string &Into) {
    if (this->Object.find(Field.Name))
      Into = this->Object.text(Field.Name);
  }
  void operator()(const EntryField &Field, Duration &Into) {
    if (!this->Object.find(Field.Name))
      return;
    const auto Value = parseDuration(this->Object.text(Field.Name));
    if (!Value)
      fail(this->Object.pathOf(Field.Name), "is not a duration",
           "give a duration such as \"20ms\"");
    Into = *Value;
  }
  void operator()(const EntryField &Field, bool &Into) {
    const json *Found = this->Object.find(Field.Name);
    if (!Found)
      return;
    if (!Found->is_boolean())
      fail(this->Object.pathOf(Field.Name), "is not a flag",
           "give true or false");
    Into = Found->get<bool>();
  }
  void operator()(const EntryField &Field, double &Into) {
    const json *Found = this->Object.find(Field.Name);
    if (!Found)
      return;
    if (!Found->is_number())
      fail(this->Object.pathOf(Field.Name), "is not a number", "give a number");
    Into = Found->get<double>();
  }
  template <std::unsigned_integral Number>
  void operator()(const EntryField &Field, Number &Into) {
    if (!this->Object.find(Field.Name))
      return;
    const std::uint64_t Value = this->Object.whole(Field.Name);
    if (Value > std::numeric_limits<Number>::max())
      fail(this->Object.pathOf(Field.Name), "is too large",
           "give a smaller number");
    Into = static_cast<Number>(Value);
  }
  void operator()(const EntryField &Field, std::vector<ClassId> &Into) {
    const json *Found = this->Object.find(Field.Name);
    if (!Found)
      return;
    if (!Found->is_array())
      fail(this->Object.pathOf(Field.Name), "is not a list",
           "give [\"class\", ...]");
    for (const json &Each : *Found) {
      if (!Each.is_string())
        fail(this->Object.pathOf(Field.Name), "holds something but names",
             "give [\"class\", ...]");
      Into.push_back(ClassId(Each.get<std::string>()));
    }
  }
  void operator()(const EntryField &Field, const MutableTarget &Into) {
    if (!this->Object.find(Field.Name))
      return;
    if (!parseTarget(this->Object.text(Field.Name), Into))
      fail(this->Object.pathOf(Field.Name), "names no target",
           "give \"model:NAME\" or \"application:NAME\"");
  }
};

EntryBody bodyFromJson(EntryKind Kind, const json &Given,
                       const std::string &Path) {
  ObjectReader Object(Given, Path);
  EntryBody Result = emptyBody(Kind);
  std::visit([&](auto &Each) { visitFields(Each, BodyReader{Object}); },
             Result);
  Object.refuseOthers();
  return Result;
}

EntryKey keyFromJson(ObjectReader &Object) {
  const std::string Keyword = Object.text("kind");
  const auto Kind = parseEntryKind(Keyword);
  if (!Kind)
    fail(Object.pathOf("kind"), "'" + Keyword.substr(0, 20) + "' is not known",
         "give owner, team, class or model");
  return EntryKey{*Kind, Object.text("name")};
}

void checkChange(const Change &Read, const ObjectReader &Object) {
  if (!isAllowedName(Read.Key.Kind, Read.Key.Name))
    fail(Object.pathOf("name"), "is malformed",
         "give " + allowedNames(Read.Key.Kind));
  if (!isAllowedName(EntryKind::Owner, Read.Owner.Value))
    fail(Object.pathOf("owner"), "is malformed",
         "give " + allowedNames(EntryKind::Owner));
  if (!Read.Body)
    return;
  for (const EntryProblem &Each : problemsOf(Read.Key, *Read.Body))
    fail(Object.pathOf("body." + Each.Field), Each.What, Each.Remedy);
}

Change changeFromJson(const json &Given, const std::string &Path) {
  ObjectReader Object(Given, Path);
  Change Result;
  Result.Key = keyFromJson(Object);
  Result.BaseVersion = Object.whole("base_version");
  Result.Owner = OwnerId(Object.text("owner"));
  if (const json *Body = Object.find("body"))
    Result.Body = bodyFromJson(Result.Key.Kind, *Body, Object.pathOf("body"));
  Object.refuseOthers();
  checkChange(Result, Object);
  return Result;
}

std::string itemPath(std::string_view Array, std::size_t Index) {
  return std::string(Array) + "[" + std::to_string(Index) + "]";
}

/// The longest id of a change set, in characters.
constexpr std::size_t LongestChangeId = 128;

} // namespace

json toJson(const ChangeSet &Set) {
  json Changes = json::array();
  for (const Change &Each : Set.Changes) {
    json Item{{"kind", name(Each.Key.Kind)},
              {"name", Each.Key.Name},
              {"base_version", Each.BaseVersion},
              {"owner", Each.Owner.Value}};
    if (Each.Body)
      Item["body"] = bodyToJson(*Each.Body);
    Changes.push_back(std::move(Item));
  }
  json Result{{"id", Set.Id.Value}, {"changes", std::move(Changes)}};
  if (!Set.Author.Value.empty())
    Result["author"] = Set.Author.Value;
  return Result;
}

ChangeSet changeSetFromJson(const json &Given) {
  ObjectReader Object(Given, "");
  ChangeSet Result;
  Result.Id = ChangeId(Object.text("id"));
  if (Result.Id.Value.empty() || Result.Id.Value.size() > LongestChangeId)
    fail("id", "is empty or too long", "give 1 to 128 characters");
  if (Object.find("author"))
    Result.Author = OwnerId(Object.text("author"));
  const json &Changes = Object.get("changes");
  if (!Changes.is_array())
    fail("changes", "is not a list", "give [...]");
  for (const json &Each : Changes)
    Result.Changes.push_back(
        changeFromJson(Each, itemPath("changes", Result.Changes.size())));
  Object.refuseOthers();
  return Result;
}

json toJson(const EntryMap &Entries) {
  json Result = json::array();
  for (const auto &[Key, Value] : Entries)
    Result.push_back({{"kind", name(Key.Kind)},
                      {"name", Key.Name},
                      {"owner", Value.Owner.Value},
                      {"version", Value.Version},
                      {"body", bodyToJson(Value.Body)}});
  return Result;
}

EntryMap entryMapFromJson(const json &Given) {
  if (!Given.is_array())
    fail("entries", "is not a list", "give [...]");
  EntryMap Result;
  std::size_t Index = 0;
  for (const json &Each : Given) {
    ObjectReader Object(Each, itemPath("entries", Index++));
    const EntryKey Key = keyFromJson(Object);
    Entry Value;
    Value.Owner = OwnerId(Object.text("owner"));
    Value.Version = Object.whole("version");
    Value.Body =
        bodyFromJson(Key.Kind, Object.get("body"), Object.pathOf("body"));
    Object.refuseOthers();
    Result[Key] = std::move(Value);
  }
  return Result;
}

json toJson(const ChangeVerdict &Verdict) {
  return match(
      Verdict,
      [](const ChangeAccepted &Each) {
        return json{{"verdict", "accepted"}, {"offset", Each.Offset}};
      },
      [](const ChangeRefused &Each) {
        return json{{"verdict", "rejected"}, {"message", Each.Message}};
      });
}

ChangeVerdict changeVerdictFromJson(const json &Given) {
  ObjectReader Object(Given, "");
  const std::string Verdict = Object.text("verdict");
  if (Verdict == "accepted")
    return ChangeAccepted{Object.whole("offset")};
  if (Verdict == "rejected")
    return ChangeRefused{Object.text("message")};
  fail("verdict", "is not known", "expected accepted or rejected");
}

} // namespace banyanpick
