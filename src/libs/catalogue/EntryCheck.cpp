#include "catalogue/EntryCheck.h"

#include "base/Visitor.h"
#include "catalogue/EntryValue.h"
#include "catalogue/KeyDigest.h"
#include "settings/SettingValue.h"

#include <concepts>
#include <fmt/format.h>
#include <set>

namespace banyanpick {

namespace {

/// Field visitor that collects the problems of each value.
struct FieldCheck {
  std::vector<EntryProblem> &Problems;

  void add(const EntryField &Field, std::string Message, std::string Remedy) {
    this->Problems.push_back(
        {std::string(Field.Name), std::move(Message), std::move(Remedy)});
  }

  void checkName(const EntryField &Field, EntryKind Kind,
                 const std::string &Name) {
    if (!isAllowedName(Kind, Name))
      this->add(Field, "has the malformed name '" + Name + "'",
                "give " + allowedNames(Kind));
  }

  void operator()(const EntryField &Field, const KeyDigest &Value) {
    if (!isWellFormed(Value))
      this->add(Field, "is not a salted hash",
                "give salt:hash as 'banyanpick digest' prints it");
  }

  void operator()(const EntryField &Field, const Duration &Value) {
    const auto Microseconds = static_cast<double>(Value.count());
    if (Microseconds < Field.Minimum || Microseconds > Field.Maximum)
      this->add(Field, "is out of bounds: " + durationText(Value),
                fmt::format("give a duration such as 20ms, 0s to {:g}h",
                            Field.Maximum / 3600e6));
  }

  template <class Number>
  requires std::is_arithmetic_v<Number>
  void operator()(const EntryField &Field, const Number &Value) {
    const auto Wide = static_cast<double>(Value);
    if (!(Wide >= Field.Minimum && Wide <= Field.Maximum))
      this->add(Field, fmt::format("is out of bounds: {}", Value),
                "give " + numberText(Field.Minimum) + " to " +
                    numberText(Field.Maximum));
  }

  void operator()(const EntryField &Field, const std::vector<ClassId> &Values) {
    std::set<ClassId> Names;
    for (const ClassId &Class : Values) {
      this->checkName(Field, EntryKind::Class, Class.Value);
      if (!Names.insert(Class).second)
        this->add(Field, "names class '" + Class.Value + "' twice",
                  "remove one of the two");
    }
  }

  void operator()(const EntryField &Field, const std::string &Value) {
    this->checkName(Field, EntryKind::Model, Value);
  }

  void operator()(const EntryField &Field, const ConstTarget &Value) {
    this->checkName(Field, EntryKind::Model, Value.Name);
  }
};

void checkMembersTogether(const EntryBody &Body,
                          std::vector<EntryProblem> &Problems) {
  if (const auto *Model = std::get_if<ModelEntry>(&Body)) {
    if (Model->MaximumEngines != 0 &&
        Model->MaximumEngines < Model->MinimumEngines)
      Problems.push_back({"maximum_engines", "is below minimum_engines",
                          "raise it, or give 0 for no bound"});
  }
}

} // namespace

std::vector<EntryProblem> problemsOf(const EntryKey &Key,
                                     const EntryBody &Body) {
  std::vector<EntryProblem> Problems;
  if (!isAllowedName(Key.Kind, Key.Name))
    Problems.push_back({"", "has the malformed name '" + Key.Name + "'",
                        "give " + allowedNames(Key.Kind)});
  std::visit(
      [&](const auto &Alternative) {
        visitFields(Alternative, FieldCheck{Problems});
      },
      Body);
  checkMembersTogether(Body, Problems);
  return Problems;
}

} // namespace banyanpick
