/// \file
/// The fields of each kind of entry, defined once for all text formats: JSON,
/// INI and the canonical text.
#pragma once

#include "catalogue/Entry.h"

#include <concepts>
#include <string_view>
#include <type_traits>

namespace banyanpick {

/// Describes a field. The bounds of durations are in microseconds.
struct EntryField {
  std::string_view Name;
  std::string_view Help; ///< One sentence.
  double Minimum = 0;
  double Maximum = 1e15;
  bool Required = false; ///< Has no default in the INI form.
  bool IsSize = false;   ///< A number of bytes; the text may have a unit.
};

/// References to the two members that hold the target of a class. The text form
/// is `model:NAME` or `application:NAME`.
template <class Kind, class Text> struct TargetReference {
  Kind &Target;
  Text &Name;
};
template <class Kind, class Text>
TargetReference(Kind &, Text &) -> TargetReference<Kind, Text>;

template <class Type, class Expected>
concept MaybeConst = std::same_as<std::remove_const_t<Type>, Expected>;

/// Longest latency target, in microseconds: one day.
inline constexpr double LongestPromise = 24.0 * 3600 * 1e6;

/// Calls `Visit(EntryField, Reference)` for each field, in the order in which
/// fields are written.
template <MaybeConst<OwnerEntry> Body, class Visitor>
void visitFields(Body &Value, Visitor &&Visit) {
  Visit(EntryField{.Name = "key",
                   .Help = "Salted hash of the owner's key, made by "
                           "`banyanpick digest`.",
                   .Required = true},
        Value.Key);
}

template <MaybeConst<TeamEntry> Body, class Visitor>
void visitFields(Body &Value, Visitor &&Visit) {
  Visit(EntryField{.Name = "key",
                   .Help = "Salted hash of the team's key, made by "
                           "`banyanpick digest`.",
                   .Required = true},
        Value.Key);
  Visit(EntryField{.Name = "weight",
                   .Help = "Share under contention; teams of equal weight are "
                           "served equally.",
                   .Minimum = 0.001,
                   .Maximum = 1000},
        Value.Weight);
  Visit(EntryField{.Name = "requests_per_minute",
                   .Help = "Most requests a minute; 0: no limit.",
                   .Maximum = 4e9},
        Value.RequestsPerMinute);
  Visit(EntryField{.Name = "tokens_per_minute",
                   .Help = "Most prompt and output tokens a minute; 0: no "
                           "limit."},
        Value.TokensPerMinute);
  Visit(EntryField{.Name = "concurrent",
                   .Help = "Most requests at once; 0: no limit.",
                   .Maximum = 4e9},
        Value.Concurrent);
  Visit(EntryField{.Name = "classes",
                   .Help = "Classes the team may use, separated by commas.",
                   .Required = true},
        Value.Classes);
}

template <MaybeConst<ClassEntry> Body, class Visitor>
void visitFields(Body &Value, Visitor &&Visit) {
  Visit(EntryField{.Name = "target",
                   .Help = "What it runs on, `model:NAME` or "
                           "`application:NAME`.",
                   .Required = true},
        TargetReference{Value.Target, Value.TargetName});
  Visit(EntryField{.Name = "max_prompt_tokens",
                   .Help = "Longer prompts are refused.",
                   .Maximum = 1e9,
                   .Required = true},
        Value.MaxPromptTokens);
  Visit(EntryField{.Name = "max_output_tokens",
                   .Help = "Upper bound of an answer; 0 for an application.",
                   .Maximum = 1e9},
        Value.MaxOutputTokens);
  Visit(EntryField{.Name = "first_token",
                   .Help = "Promise: the first token within this time.",
                   .Maximum = LongestPromise,
                   .Required = true},
        Value.FirstTokenBase);
  Visit(EntryField{.Name = "first_token_per_1000_tokens",
                   .Help = "Added to the promise of the first token for each "
                           "1,000 tokens of the prompt.",
                   .Maximum = LongestPromise},
        Value.FirstTokenPerThousandTokens);
  Visit(EntryField{.Name = "answer",
                   .Help = "Promise: the whole answer within the first token's "
                           "time and this.",
                   .Maximum = LongestPromise,
                   .Required = true},
        Value.AnswerBase);
  Visit(EntryField{.Name = "answer_per_token",
                   .Help = "Added to the promise of the whole answer for each "
                           "output token allowed.",
                   .Maximum = LongestPromise},
        Value.AnswerPerToken);
  Visit(EntryField{.Name = "urgency",
                   .Help = "0 is the least, 9 the most urgent.",
                   .Maximum = 9},
        Value.Urgency);
  Visit(EntryField{.Name = "idempotent",
                   .Help = "false: runs at most once and needs an operation "
                           "key."},
        Value.Idempotent);
}

template <MaybeConst<ModelEntry> Body, class Visitor>
void visitFields(Body &Value, Visitor &&Visit) {
  Visit(EntryField{.Name = "weights",
                   .Help = "Name of the weights in the weight store.",
                   .Required = true},
        Value.Weights);
  Visit(EntryField{.Name = "weight_bytes",
                   .Help = "Size of the weights, such as 140GB.",
                   .IsSize = true},
        Value.WeightBytes);
  Visit(EntryField{.Name = "minimum_engines",
                   .Help = "Engines that must have it loaded.",
                   .Maximum = 100000},
        Value.MinimumEngines);
  Visit(EntryField{.Name = "maximum_engines",
                   .Help = "Most engines that load it; 0: no bound.",
                   .Maximum = 100000},
        Value.MaximumEngines);
}

} // namespace banyanpick
