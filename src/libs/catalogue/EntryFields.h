/// \file
/// The fields of each kind of entry, named once for every written form: JSON,
/// INI and the canonical text.
#pragma once

#include "catalogue/Entry.h"

#include <concepts>
#include <string_view>
#include <type_traits>

namespace banyanpick {

/// What is known of a field apart from its value. Bounds are microseconds for
/// durations.
struct EntryField {
  std::string_view Name;
  std::string_view Help; ///< One sentence.
  double Minimum = 0;
  double Maximum = 1e15;
  bool Required = false; ///< Has no default in the INI form.
  bool IsSize = false;   ///< Bytes; may be written with a unit.
};

/// The two members that together say what a class runs on; written
/// `model:NAME` or `application:NAME`.
template <class Kind, class Text> struct TargetReference {
  Kind &Target;
  Text &Name;
};
template <class Kind, class Text>
TargetReference(Kind &, Text &) -> TargetReference<Kind, Text>;

template <class Type, class Wanted>
concept MaybeConst = std::same_as<std::remove_const_t<Type>, Wanted>;

/// Longest duration a promise may name, in microseconds: a day.
inline constexpr double LongestPromise = 24.0 * 3600 * 1e6;

/// Calls `Visit(EntryField, Reference)` for each field, in written order.
template <MaybeConst<OwnerEntry> Body, class Visitor>
void visitFields(Body &Of, Visitor &&Visit) {
  Visit(EntryField{.Name = "key",
                   .Help = "Salted hash of the owner's key, made by "
                           "`banyanpick digest`.",
                   .Required = true},
        Of.Key);
}

template <MaybeConst<TeamEntry> Body, class Visitor>
void visitFields(Body &Of, Visitor &&Visit) {
  Visit(EntryField{.Name = "key",
                   .Help = "Salted hash of the team's key, made by "
                           "`banyanpick digest`.",
                   .Required = true},
        Of.Key);
  Visit(EntryField{.Name = "weight",
                   .Help = "Share under contention; teams of equal weight are "
                           "served equally.",
                   .Minimum = 0.001,
                   .Maximum = 1000},
        Of.Weight);
  Visit(EntryField{.Name = "requests_per_minute",
                   .Help = "Most requests a minute; 0: no limit.",
                   .Maximum = 4e9},
        Of.RequestsPerMinute);
  Visit(EntryField{.Name = "tokens_per_minute",
                   .Help = "Most prompt and output tokens a minute; 0: no "
                           "limit."},
        Of.TokensPerMinute);
  Visit(EntryField{.Name = "concurrent",
                   .Help = "Most requests at once; 0: no limit.",
                   .Maximum = 4e9},
        Of.Concurrent);
  Visit(EntryField{.Name = "classes",
                   .Help = "Classes the team may use, separated by commas.",
                   .Required = true},
        Of.Classes);
}

template <MaybeConst<ClassEntry> Body, class Visitor>
void visitFields(Body &Of, Visitor &&Visit) {
  Visit(EntryField{.Name = "target",
                   .Help = "What it runs on, `model:NAME` or "
                           "`application:NAME`.",
                   .Required = true},
        TargetReference{Of.Target, Of.TargetName});
  Visit(EntryField{.Name = "max_prompt_tokens",
                   .Help = "Longer prompts are refused.",
                   .Maximum = 1e9,
                   .Required = true},
        Of.MaxPromptTokens);
  Visit(EntryField{.Name = "max_output_tokens",
                   .Help = "Upper bound of an answer; 0 for an application.",
                   .Maximum = 1e9},
        Of.MaxOutputTokens);
  Visit(EntryField{.Name = "first_token",
                   .Help = "Promise: the first token within this time.",
                   .Maximum = LongestPromise,
                   .Required = true},
        Of.FirstTokenBase);
  Visit(EntryField{.Name = "first_token_per_1000_tokens",
                   .Help = "Added to the promise of the first token for each "
                           "1,000 tokens of the prompt.",
                   .Maximum = LongestPromise},
        Of.FirstTokenPerThousandTokens);
  Visit(EntryField{.Name = "answer",
                   .Help = "Promise: the whole answer within the first token's "
                           "time and this.",
                   .Maximum = LongestPromise,
                   .Required = true},
        Of.AnswerBase);
  Visit(EntryField{.Name = "answer_per_token",
                   .Help = "Added to the promise of the whole answer for each "
                           "output token allowed.",
                   .Maximum = LongestPromise},
        Of.AnswerPerToken);
  Visit(EntryField{.Name = "urgency",
                   .Help = "0 is the least, 9 the most urgent.",
                   .Maximum = 9},
        Of.Urgency);
  Visit(EntryField{.Name = "idempotent",
                   .Help = "false: runs at most once and needs an operation "
                           "key."},
        Of.Idempotent);
}

template <MaybeConst<ModelEntry> Body, class Visitor>
void visitFields(Body &Of, Visitor &&Visit) {
  Visit(EntryField{.Name = "weights",
                   .Help = "Name of the weights in the weight store.",
                   .Required = true},
        Of.Weights);
  Visit(EntryField{.Name = "weight_bytes",
                   .Help = "Size of the weights, such as 140GB.",
                   .IsSize = true},
        Of.WeightBytes);
  Visit(EntryField{.Name = "minimum_engines",
                   .Help = "Engines that must have it loaded.",
                   .Maximum = 100000},
        Of.MinimumEngines);
  Visit(EntryField{.Name = "maximum_engines",
                   .Help = "Most engines that load it; 0: no bound.",
                   .Maximum = 100000},
        Of.MaximumEngines);
}

} // namespace banyanpick
