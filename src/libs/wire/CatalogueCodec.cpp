#include "wire/CatalogueCodec.h"

#include "base/Visitor.h"
#include "catalogue.pb.h"
#include "wire/WireChecks.h"

namespace banyanpick::wire {

namespace {

void write(const banyanpick::TeamEntry &Entry, TeamEntry &Out) {
  Out.set_key(Entry.Key.Text);
  Out.set_weight(Entry.Weight);
  Out.set_requests_per_minute(Entry.RequestsPerMinute);
  Out.set_tokens_per_minute(Entry.TokensPerMinute);
  Out.set_concurrent(Entry.Concurrent);
  for (const ClassId &Class : Entry.Classes)
    Out.add_classes(Class.Value);
}

void write(const banyanpick::ClassEntry &Entry, ClassEntry &Out) {
  Out.set_target(static_cast<std::uint32_t>(Entry.Target));
  Out.set_target_name(Entry.TargetName);
  Out.set_max_prompt_tokens(Entry.MaxPromptTokens);
  Out.set_max_output_tokens(Entry.MaxOutputTokens);
  Out.set_first_token_base_us(Entry.FirstTokenBase.count());
  Out.set_first_token_per_thousand_tokens_us(
      Entry.FirstTokenPerThousandTokens.count());
  Out.set_answer_base_us(Entry.AnswerBase.count());
  Out.set_answer_per_token_us(Entry.AnswerPerToken.count());
  Out.set_urgency(Entry.Urgency);
  Out.set_idempotent(Entry.Idempotent);
}

void write(const banyanpick::ModelEntry &Entry, ModelEntry &Out) {
  Out.set_weights(Entry.Weights);
  Out.set_weight_bytes(Entry.WeightBytes);
  Out.set_minimum_engines(Entry.MinimumEngines);
  Out.set_maximum_engines(Entry.MaximumEngines);
}

void write(const banyanpick::EntryBody &Body, EntryBody &Out) {
  match(
      Body,
      [&](const banyanpick::OwnerEntry &Entry) {
        Out.mutable_owner()->set_key(Entry.Key.Text);
      },
      [&](const banyanpick::TeamEntry &Entry) {
        write(Entry, *Out.mutable_team());
      },
      [&](const banyanpick::ClassEntry &Entry) {
        write(Entry, *Out.mutable_class_entry());
      },
      [&](const banyanpick::ModelEntry &Entry) {
        write(Entry, *Out.mutable_model());
      });
}

banyanpick::TeamEntry read(const TeamEntry &In) {
  banyanpick::TeamEntry Result;
  Result.Key.Text = In.key();
  Result.Weight = checkedNumber(In.weight());
  Result.RequestsPerMinute = In.requests_per_minute();
  Result.TokensPerMinute = In.tokens_per_minute();
  Result.Concurrent = In.concurrent();
  for (const std::string &Class : In.classes())
    Result.Classes.emplace_back(Class);
  return Result;
}

banyanpick::ClassEntry read(const ClassEntry &In) {
  banyanpick::ClassEntry Result;
  Result.Target = checkedEnum(In.target(), TargetKind::Application);
  Result.TargetName = In.target_name();
  Result.MaxPromptTokens = In.max_prompt_tokens();
  Result.MaxOutputTokens = In.max_output_tokens();
  Result.FirstTokenBase = Duration(In.first_token_base_us());
  Result.FirstTokenPerThousandTokens =
      Duration(In.first_token_per_thousand_tokens_us());
  Result.AnswerBase = Duration(In.answer_base_us());
  Result.AnswerPerToken = Duration(In.answer_per_token_us());
  Result.Urgency = In.urgency();
  Result.Idempotent = In.idempotent();
  return Result;
}

banyanpick::ModelEntry read(const ModelEntry &In) {
  banyanpick::ModelEntry Result;
  Result.Weights = In.weights();
  Result.WeightBytes = In.weight_bytes();
  Result.MinimumEngines = In.minimum_engines();
  Result.MaximumEngines = In.maximum_engines();
  return Result;
}

banyanpick::EntryBody read(const EntryBody &In) {
  switch (In.body_case()) {
  case EntryBody::kOwner:
    return banyanpick::OwnerEntry{KeyDigest{In.owner().key()}};
  case EntryBody::kTeam:
    return read(In.team());
  case EntryBody::kClassEntry:
    return read(In.class_entry());
  case EntryBody::kModel:
    return read(In.model());
  case EntryBody::BODY_NOT_SET:
    break;
  }
  throwMalformed("an entry has no body");
}

banyanpick::Change read(const Change &In) {
  banyanpick::Change Result;
  Result.Key.Kind = checkedEnum(In.kind(), EntryKind::Model);
  Result.Key.Name = In.name();
  Result.BaseVersion = In.base_version();
  Result.Owner.Value = In.owner();
  if (In.has_body())
    Result.Body = read(In.body());
  return Result;
}

} // namespace

void toWire(const banyanpick::ChangeSet &Set, ChangeSet &Out) {
  Out.set_id(Set.Id.Value);
  Out.set_author(Set.Author.Value);
  for (const banyanpick::Change &Update : Set.Changes) {
    Change &Written = *Out.add_changes();
    Written.set_kind(static_cast<std::uint32_t>(Update.Key.Kind));
    Written.set_name(Update.Key.Name);
    Written.set_base_version(Update.BaseVersion);
    Written.set_owner(Update.Owner.Value);
    if (Update.Body)
      write(*Update.Body, *Written.mutable_body());
  }
}

banyanpick::ChangeSet fromWire(const ChangeSet &In) {
  banyanpick::ChangeSet Result;
  Result.Id.Value = In.id();
  Result.Author.Value = In.author();
  for (const Change &Update : In.changes())
    Result.Changes.push_back(read(Update));
  return Result;
}

} // namespace banyanpick::wire
