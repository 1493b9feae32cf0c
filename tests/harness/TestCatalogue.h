/// \file
/// A small catalogue for tests: one owner, teams, a model and a service, and
/// the classes short, long, review and confirm.
#pragma once

#include "catalogue/KeyDigest.h"
#include "kernel/Request.h"

#include <string>
#include <vector>

namespace banyanpick {

inline constexpr const char *TestOwner = "ring";
inline constexpr const char *TestModel = "m";
inline constexpr const char *TestService = "booking";

/// Returns the key of a team's callers or of an owner's operators.
inline std::string testKey(const std::string &Name) {
  return Name + ".secret-" + Name;
}

inline KeyDigest testDigest(const std::string &Name) {
  return digestOfKey("secret-" + Name, "00112233445566778899aabbccddeeff");
}

inline Change declared(EntryKind Kind, const std::string &Name, EntryBody Body,
                       LogOffset BaseVersion = 0) {
  return Change{{Kind, Name}, BaseVersion, OwnerId(TestOwner), std::move(Body)};
}

inline ClassEntry testClass(TargetKind Target, std::uint64_t MaxPromptTokens,
                            std::uint32_t Urgency) {
  ClassEntry Class;
  Class.Target = Target;
  Class.TargetName = Target == TargetKind::Model ? TestModel : TestService;
  Class.MaxPromptTokens = MaxPromptTokens;
  Class.MaxOutputTokens = 256;
  Class.FirstTokenBase = seconds(2);
  Class.FirstTokenPerThousandTokens = milliseconds(100);
  Class.AnswerBase = seconds(4);
  Class.AnswerPerToken = milliseconds(40);
  Class.Urgency = Urgency;
  Class.Idempotent = Target == TargetKind::Model;
  return Class;
}

inline TeamEntry testTeam(const std::string &Name) {
  TeamEntry Team;
  Team.Key = testDigest(Name);
  for (const char *Class : {"short", "long", "review", "confirm"})
    Team.Classes.emplace_back(Class);
  return Team;
}

/// Returns all the entries that requests of these teams need.
inline std::vector<Change> testCatalogue(const std::vector<std::string> &Teams,
                                         std::uint32_t MinimumEngines = 1) {
  std::vector<Change> All;
  All.push_back(
      declared(EntryKind::Owner, TestOwner, OwnerEntry{testDigest(TestOwner)}));
  All.push_back(declared(EntryKind::Model, TestModel,
                         ModelEntry{"w", 1'000'000, MinimumEngines, 0}));
  const auto Model = TargetKind::Model;
  const auto Service = TargetKind::Application;
  All.push_back(
      declared(EntryKind::Class, "short", testClass(Model, 8'000, 8)));
  All.push_back(
      declared(EntryKind::Class, "long", testClass(Model, 200'000, 5)));
  All.push_back(
      declared(EntryKind::Class, "review", testClass(Model, 1'000'000, 2)));
  All.push_back(
      declared(EntryKind::Class, "confirm", testClass(Service, 1'000, 9)));
  for (const std::string &Team : Teams)
    All.push_back(declared(EntryKind::Team, Team, testTeam(Team)));
  return All;
}

/// Returns a request of the class. \p Content identifies the prompt and
/// determines its blocks.
inline RequestHead testRequest(const std::string &Team,
                               const std::string &Class,
                               std::uint64_t PromptTokens,
                               std::uint64_t Content) {
  RequestHead Head;
  Head.TeamKey = testKey(Team);
  Head.Class = ClassId(Class);
  Head.PromptTokens = PromptTokens;
  Head.MaxOutputTokens = 32;
  Head.Content = Fingerprint(Content);
  Head.Streamed = true;
  for (std::uint64_t Block = 0; Block < PromptTokens / PromptBlockTokens;
       ++Block)
    Head.Blocks.push_back(Content * 0x9e3779b97f4a7c15ULL + Block);
  return Head;
}

} // namespace banyanpick
