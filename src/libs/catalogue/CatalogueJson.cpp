#include "catalogue/CatalogueJson.h"

#include "base/Error.h"
#include "base/Visitor.h"
#include "catalogue/EntryCheck.h"
#include "catalogue/EntryValue.h"
#include "json/ObjectReader.h"

#include <limits>

namespace banyanpick {

namespace {

using nlohmann::json;

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
        for (const ClassId &Id : Values)
          Names.push_back(Id.Value);
        Result[Field.Name] = std::move(Names);
      },
      [&](const EntryField &Field, const ConstTarget &Value) {
        Result[Field.Name] = targetText(Value);
      },
      [&](const EntryField &Field, const auto &Value) {
        Result[Field.Name] = Value;
      }};
  std::visit([&](const auto &Alternative) { visitFields(Alternative, Write); },
             Body);
  return Result;
}

/// Reads the fields of a body. Absent fields keep their defaults.
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
      throwBadMember(this->Object.pathOf(Field.Name), "is not a duration",
                     "give a duration such as \"20ms\"");
    Into = *Value;
  }
  void operator()(const EntryField &Field, bool &Into) {
    if (this->Object.find(Field.Name))
      Into = this->Object.flag(Field.Name);
  }
  void operator()(const EntryField &Field, double &Into) {
    const json *Found = this->Object.find(Field.Name);
    if (!Found)
      return;
    if (!Found->is_number())
      throwBadMember(this->Object.pathOf(Field.Name), "is not a number",
                     "give a number");
    Into = Found->get<double>();
  }
  template <std::unsigned_integral Number>
  void operator()(const EntryField &Field, Number &Into) {
    if (!this->Object.find(Field.Name))
      return;
    const std::uint64_t Value = this->Object.whole(Field.Name);
    if (Value > std::numeric_limits<Number>::max())
      throwBadMember(this->Object.pathOf(Field.Name), "is too large",
                     "give a smaller number");
    Into = static_cast<Number>(Value);
  }
  void operator()(const EntryField &Field, std::vector<ClassId> &Into) {
    if (!this->Object.find(Field.Name))
      return;
    for (const json &Item : this->Object.list(Field.Name)) {
      if (!Item.is_string())
        throwBadMember(this->Object.pathOf(Field.Name),
                       "holds something but names", "give [\"class\", ...]");
      Into.push_back(ClassId(Item.get<std::string>()));
    }
  }
  void operator()(const EntryField &Field, const MutableTarget &Into) {
    if (!this->Object.find(Field.Name))
      return;
    if (!parseTarget(this->Object.text(Field.Name), Into))
      throwBadMember(this->Object.pathOf(Field.Name), "names no target",
                     "give \"model:NAME\" or \"application:NAME\"");
  }
};

EntryBody bodyFromJson(EntryKind Kind, const json &Source,
                       const std::string &Path) {
  ObjectReader Object(Source, Path);
  EntryBody Result = emptyBody(Kind);
  std::visit(
      [&](auto &Alternative) { visitFields(Alternative, BodyReader{Object}); },
      Result);
  Object.rejectUnknownMembers();
  return Result;
}

EntryKey keyFromJson(ObjectReader &Object) {
  const std::string Keyword = Object.text("kind");
  const auto Kind = parseEntryKind(Keyword);
  if (!Kind)
    throwBadMember(Object.pathOf("kind"),
                   "'" + Keyword.substr(0, 20) + "' is not known",
                   "give owner, team, class or model");
  return EntryKey{*Kind, Object.text("name")};
}

void checkChange(const Change &Received, const ObjectReader &Object) {
  if (!isAllowedName(Received.Key.Kind, Received.Key.Name))
    throwBadMember(Object.pathOf("name"), "is malformed",
                   "give " + allowedNames(Received.Key.Kind));
  if (!isAllowedName(EntryKind::Owner, Received.Owner.Value))
    throwBadMember(Object.pathOf("owner"), "is malformed",
                   "give " + allowedNames(EntryKind::Owner));
  if (!Received.Body)
    return;
  for (const EntryProblem &Problem : problemsOf(Received.Key, *Received.Body))
    throwBadMember(Object.pathOf("body." + Problem.Field), Problem.Message,
                   Problem.Remedy);
}

Change changeFromJson(const json &Source, const std::string &Path) {
  ObjectReader Object(Source, Path);
  Change Result;
  Result.Key = keyFromJson(Object);
  Result.BaseVersion = Object.whole("base_version");
  Result.Owner = OwnerId(Object.text("owner"));
  if (const json *Body = Object.find("body"))
    Result.Body = bodyFromJson(Result.Key.Kind, *Body, Object.pathOf("body"));
  Object.rejectUnknownMembers();
  checkChange(Result, Object);
  return Result;
}

/// Maximum length of a change set's id, in characters.
constexpr std::size_t LongestChangeId = 128;

} // namespace

json toJson(const ChangeSet &Set) {
  json Changes = json::array();
  for (const Change &Proposed : Set.Changes) {
    json Item{{"kind", name(Proposed.Key.Kind)},
              {"name", Proposed.Key.Name},
              {"base_version", Proposed.BaseVersion},
              {"owner", Proposed.Owner.Value}};
    if (Proposed.Body)
      Item["body"] = bodyToJson(*Proposed.Body);
    Changes.push_back(std::move(Item));
  }
  json Result{{"id", Set.Id.Value}, {"changes", std::move(Changes)}};
  if (!Set.Author.Value.empty())
    Result["author"] = Set.Author.Value;
  return Result;
}

ChangeSet changeSetFromJson(const json &Source) {
  ObjectReader Object(Source, "");
  ChangeSet Result;
  Result.Id = ChangeId(Object.text("id"));
  if (Result.Id.Value.empty() || Result.Id.Value.size() > LongestChangeId)
    throwBadMember("id", "is empty or too long", "give 1 to 128 characters");
  if (Object.find("author"))
    Result.Author = OwnerId(Object.text("author"));
  for (const json &Item : Object.list("changes"))
    Result.Changes.push_back(
        changeFromJson(Item, itemPath("changes", Result.Changes.size())));
  Object.rejectUnknownMembers();
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

EntryMap entryMapFromJson(const json &Source) {
  if (!Source.is_array())
    throwBadMember("entries", "is not a list", "give [...]");
  EntryMap Result;
  std::size_t Index = 0;
  for (const json &Item : Source) {
    ObjectReader Object(Item, itemPath("entries", Index++));
    const EntryKey Key = keyFromJson(Object);
    Entry Value;
    Value.Owner = OwnerId(Object.text("owner"));
    Value.Version = Object.whole("version");
    Value.Body =
        bodyFromJson(Key.Kind, Object.get("body"), Object.pathOf("body"));
    Object.rejectUnknownMembers();
    Result[Key] = std::move(Value);
  }
  return Result;
}

json toJson(const ChangeVerdict &Verdict) {
  return match(
      Verdict,
      [](const ChangeAccepted &Accepted) {
        return json{{"verdict", "accepted"}, {"offset", Accepted.Offset}};
      },
      [](const ChangeRefused &Refused) {
        return json{{"verdict", "rejected"}, {"message", Refused.Message}};
      });
}

ChangeVerdict changeVerdictFromJson(const json &Source) {
  ObjectReader Object(Source, "");
  const std::string Verdict = Object.text("verdict");
  if (Verdict == "accepted")
    return ChangeAccepted{Object.whole("offset")};
  if (Verdict == "rejected")
    return ChangeRefused{Object.text("message")};
  throwBadMember("verdict", "is not known", "expected accepted or rejected");
}

} // namespace banyanpick
