#include "plugins/requests/RequestBuilder.h"

#include "catalogue/KeyDigest.h"

#include <algorithm>

namespace banyanpick {

namespace {

NotRun notAllowed() {
  return {RefusalReason::NotAllowed, Duration(0),
          "the key does not permit this class; use your team's key and one of "
          "its classes"};
}

NotRun badRequest(std::string Message) {
  return {RefusalReason::BadRequest, Duration(0), std::move(Message)};
}

bool mayUse(const TeamEntry &Team, const ClassId &Class) {
  const auto &Classes = Team.Classes;
  return std::find(Classes.begin(), Classes.end(), Class) != Classes.end();
}

/// Returns why the request is invalid for its class, or nothing.
std::optional<NotRun> validationError(const RequestHead &Head,
                                      const ClassEntry &Class) {
  if (Class.MaxPromptTokens != 0 && Head.PromptTokens > Class.MaxPromptTokens)
    return badRequest("the prompt has " + std::to_string(Head.PromptTokens) +
                      " tokens and the class allows " +
                      std::to_string(Class.MaxPromptTokens) +
                      "; shorten it or use a class for longer prompts");
  if (!Class.Idempotent && !Head.Operation)
    return badRequest("the class is not idempotent; send an operation_key, a "
                      "UUIDv7 made for this operation");
  return std::nullopt;
}

std::uint64_t maxOutputTokens(const RequestHead &Head,
                              const ClassEntry &Class) {
  if (Head.MaxOutputTokens == 0)
    return Class.MaxOutputTokens;
  return std::min(Head.MaxOutputTokens, Class.MaxOutputTokens);
}

Duration firstTokenPromise(const ClassEntry &Class, std::uint64_t Prompt) {
  return Class.FirstTokenBase +
         Duration(Class.FirstTokenPerThousandTokens.count() *
                  static_cast<Duration::rep>(Prompt) / 1000);
}

Duration answerPromise(const ClassEntry &Class, std::uint64_t Output) {
  return Class.AnswerBase +
         Class.AnswerPerToken * static_cast<Duration::rep>(Output);
}

} // namespace

std::optional<TeamId> authenticatedTeam(const Catalogue &CurrentCatalogue,
                                        std::string_view TeamKey) {
  const auto Presented = splitKey(TeamKey);
  if (!Presented)
    return std::nullopt;
  const TeamId Team{std::string(Presented->Name)};
  const TeamEntry *Entry = CurrentCatalogue.team(Team);
  if (!Entry || !matchesDigest(Presented->Secret, Entry->Key))
    return std::nullopt;
  return Team;
}

std::variant<Request, NotRun> RequestBuilder::build() const {
  const auto Team =
      authenticatedTeam(this->CurrentCatalogue, this->Head.TeamKey);
  if (!Team)
    return notAllowed();
  const TeamEntry &Entry = *this->CurrentCatalogue.team(*Team);
  const ClassEntry *Class = this->CurrentCatalogue.classOf(this->Head.Class);
  if (!Class || !mayUse(Entry, this->Head.Class))
    return notAllowed();
  if (auto Error = validationError(this->Head, *Class))
    return *Error;

  Request Result;
  Result.Head = this->Head;
  Result.Head.TeamKey.clear();
  Result.Team = *Team;
  Result.Class = *Class;
  Result.TeamWeight = Entry.Weight;
  Result.ArrivedAt = this->Arrival;
  Result.OutputTokens = maxOutputTokens(this->Head, *Class);
  Result.FirstTokenBy =
      this->Arrival + firstTokenPromise(*Class, this->Head.PromptTokens);
  Result.Deadline =
      Result.FirstTokenBy + answerPromise(*Class, Result.OutputTokens);
  if (this->Head.Timeout)
    Result.Deadline =
        std::min(Result.Deadline, this->Arrival + *this->Head.Timeout);
  Result.FirstTokenBy = std::min(Result.FirstTokenBy, Result.Deadline);
  return Result;
}

} // namespace banyanpick
