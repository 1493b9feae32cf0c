#include "catalogue/FieldText.h"

#include "base/Text.h"
#include "settings/SettingValue.h"

#include <concepts>
#include <fmt/format.h>
#include <limits>

namespace banyanpick {

namespace {

std::vector<ClassId> parseClasses(std::string_view Text) {
  std::vector<ClassId> Result;
  while (!Text.empty()) {
    const std::size_t Comma = std::min(Text.find(','), Text.size());
    Result.push_back(ClassId(std::string(trimmed(Text.substr(0, Comma)))));
    Text.remove_prefix(std::min(Comma + 1, Text.size()));
  }
  return Result;
}

/// Field visitor that sets the field with a matching name.
struct FieldSetter {
  std::string_view Name;
  std::string_view Text;
  std::optional<std::string> Outcome{};

  template <class Value>
  void operator()(const EntryField &Field, Value &&Into) {
    if (Field.Name == this->Name)
      this->Outcome = this->set(Field, Into);
  }

private:
  std::string set(const EntryField &, KeyDigest &Into) {
    Into.Text = this->Text;
    return "";
  }
  std::string set(const EntryField &, std::string &Into) {
    Into = this->Text;
    return "";
  }
  std::string set(const EntryField &, std::vector<ClassId> &Into) {
    Into = parseClasses(this->Text);
    return "";
  }
  std::string set(const EntryField &, Duration &Into) {
    const auto Value = parseDuration(this->Text);
    Into = Value.value_or(Duration());
    return Value ? "" : this->errorText("a duration such as 20ms, 3s or 5min");
  }
  std::string set(const EntryField &, const MutableTarget &Into) {
    if (parseTarget(this->Text, Into))
      return "";
    return this->errorText("model:NAME or application:NAME");
  }
  std::string set(const EntryField &, bool &Into) {
    const auto Value = parseNumber(SettingKind::Flag, this->Text);
    Into = Value.value_or(0) != 0;
    return Value ? "" : this->errorText("true or false");
  }
  std::string set(const EntryField &Field, double &Into) {
    const auto Value = parseNumber(SettingKind::Fraction, this->Text);
    Into = Value.value_or(Field.Minimum);
    return Value ? "" : this->errorText(this->range(Field, "a number"));
  }
  template <std::unsigned_integral Number>
  std::string set(const EntryField &Field, Number &Into) {
    const auto Kind = Field.IsSize ? SettingKind::Size : SettingKind::Whole;
    const auto Value = parseNumber(Kind, this->Text);
    const bool Fits =
        Value && *Value >= Field.Minimum && *Value <= Field.Maximum;
    Into = Fits ? static_cast<Number>(*Value) : Number{};
    if (Fits)
      return "";
    return this->errorText(this->range(
        Field, Field.IsSize ? "bytes such as 14GB" : "a whole number"));
  }

  std::string errorText(const std::string &Allowed) const {
    return fmt::format("'{}' is not allowed; give {}", this->Text, Allowed);
  }
  static std::string range(const EntryField &Field, std::string_view Allowed) {
    return fmt::format("{}, {} to {}", Allowed, numberText(Field.Minimum),
                       numberText(Field.Maximum));
  }
};

std::string valueText(const KeyDigest &Value) { return Value.Text; }
std::string valueText(const std::string &Value) { return Value; }
std::string valueText(const Duration &Value) { return durationText(Value); }
std::string valueText(bool Value) { return Value ? "true" : "false"; }
std::string valueText(double Value) { return fmt::format("{}", Value); }
std::string valueText(std::unsigned_integral auto Value) {
  return std::to_string(Value);
}
std::string valueText(const ConstTarget &Value) { return targetText(Value); }
std::string valueText(const std::vector<ClassId> &Values) {
  std::string Result;
  for (const ClassId &Class : Values)
    Result += (Result.empty() ? "" : ", ") + Class.Value;
  return Result;
}

template <class Body> std::vector<FieldText> textsOf(const Body &Source) {
  std::vector<FieldText> Result;
  visitFields(Source, [&](const EntryField &Field, const auto &Value) {
    Result.push_back({Field, valueText(Value), false});
  });
  const Body Defaults;
  std::size_t Index = 0;
  visitFields(Defaults, [&](const EntryField &, const auto &Value) {
    FieldText &Same = Result[Index++];
    Same.IsDefault = Same.Text == valueText(Value);
  });
  return Result;
}

} // namespace

std::optional<std::string> setField(EntryBody &Body, std::string_view Name,
                                    std::string_view Text) {
  FieldSetter Setter{Name, Text};
  std::visit([&](auto &Alternative) { visitFields(Alternative, Setter); },
             Body);
  return Setter.Outcome;
}

std::vector<FieldText> fieldTexts(const EntryBody &Body) {
  return std::visit(
      [](const auto &Alternative) { return textsOf(Alternative); }, Body);
}

} // namespace banyanpick
