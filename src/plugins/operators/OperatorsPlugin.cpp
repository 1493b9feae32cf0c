/// \file
#include "plugins/operators/OperatorsPlugin.h"

#include "base/EventNumbers.h"
#include "base/Visitor.h"
#include "kernel/PluginRegistry.h"
#include "plugins/operators/ChangeCheck.h"
#include "plugins/operators/OperatorKeyring.h"
#include "plugins/quarantine/QuarantinePlugin.h"

#include <algorithm>

namespace banyanpick {

namespace {

std::vector<SettingDeclaration> operatorsSettings() {
  using Kind = SettingKind;
  return {
      {"operators", "root_key", Kind::Text, "",
       "Secret of the owner root, who declares owners; empty: nobody may."},
      {"operators", "answer_within", Kind::Span, "4s",
       "A change set without a verdict by then is answered as pending.", 10e3,
       60e6},
      {"operators", "history", Kind::Whole, "1000",
       "Change sets kept in memory for 'banyanpick history'.", 1, 1e6},
  };
}

const PluginRegistration Registration(
    {"operators", {"log", "catalogue"}, operatorsSettings, [] {
       return std::unique_ptr<Plugin>(std::make_unique<OperatorsPlugin>());
     }});

/// Change sets on their way at one time.
constexpr std::size_t MostWaiting = 1000;
/// Items of one answer about the history.
constexpr std::size_t MostShown = 200;

VerdictPending pendingAnswer(const ChangeId &Id) {
  return {"no verdict on change set " + Id.Value +
          " is known here yet; ask for it again by its id, don't apply anew"};
}

} // namespace

void OperatorsPlugin::initialize(PluginContext &Context) {
  const Settings &Values = Context.settings();
  this->Offered = &Context.services();
  this->Self = Context.self().Host;
  this->RootKey = Values.text("operators", "root_key");
  this->AnswerWithin = Values.span("operators", "answer_within");
  this->MostHistory = Values.whole("operators", "history");
  this->Log = &this->Offered->get<LogWriter>();
  this->InForce = &this->Offered->get<CatalogueView>();
  this->Acceptance = &this->Offered->get<ChangeAcceptance>();
  this->Offered->list<LogObserver>().add(*this);
}

void OperatorsPlugin::handle(const Event &What, Time Now, Actions &Out) {
  if (const auto *Asked = std::get_if<OperatorRequest>(&What))
    this->take(*Asked, Now, Out);
  this->answerPending(Now, Out);
}

Time OperatorsPlugin::nextWake() const {
  Time Earliest = Never;
  for (const auto &[Id, Each] : this->Waiting) {
    if (!Each.Questions.empty())
      Earliest = std::min(Earliest, Each.AnswerBy);
  }
  return Earliest;
}

void OperatorsPlugin::recordRead(const StoredRecord &Read, Time, Actions &) {
  const auto *Given = std::get_if<ConfigurationRecord>(&Read.Record.Body);
  if (!Given)
    return;
  this->History.push_back({Read.Offset, Given->Set});
  if (this->History.size() > this->MostHistory)
    this->History.pop_front();
}

void OperatorsPlugin::appendSettled(const RecordId &Id, bool Taken, Time,
                                    Actions &Out) {
  if (Taken)
    return;
  const auto Found =
      std::find_if(this->Waiting.begin(), this->Waiting.end(),
                   [&](const auto &Each) { return Each.second.Record == Id; });
  if (Found == this->Waiting.end())
    return;
  answerAll(Found->second,
            ChangesRejected{"nothing was written, the log takes no more now; "
                            "apply again later"},
            Out);
  this->Waiting.erase(Found);
}

void OperatorsPlugin::take(const OperatorRequest &Asked, Time Now,
                           Actions &Out) {
  const auto Owner = authenticatedOwner(this->InForce->catalogue(),
                                        Asked.OperatorKey, this->RootKey);
  if (!Owner) {
    Out.count("operators_refused");
    Out.add(AnswerOperator{Asked.Id, OperatorRefused{"the key is not valid"}});
    return;
  }
  if (const auto *Wanted = std::get_if<ApplyChanges>(&Asked.Question)) {
    ChangeSet Set = Wanted->Set;
    Set.Author = *Owner;
    this->apply(Asked.Id, std::move(Set), Now, Out);
    return;
  }
  Out.add(AnswerOperator{Asked.Id, this->answer(Asked.Question, Now, Out)});
}

OperatorAnswer OperatorsPlugin::answer(const OperatorQuestion &Question,
                                       Time Now, Actions &Out) {
  return match(
      Question, [&](const ApplyChanges &) -> OperatorAnswer { return Done{}; },
      [&](const QueryVerdict &Asked) { return this->verdict(Asked.Id, Now); },
      [&](const ShowCatalogue &) -> OperatorAnswer {
        const Catalogue &Shown = this->InForce->catalogue();
        return CatalogueShown{Shown.offset(), Shown.entries()};
      },
      [&](const ShowHistory &Asked) -> OperatorAnswer {
        return this->history(Asked.FromOffset);
      },
      [&](const ShowStatus &) -> OperatorAnswer { return this->status(Now); },
      [&](const ReleaseQuarantine &Asked) -> OperatorAnswer {
        auto *Control = this->Offered->find<QuarantineControl>();
        if (!Control)
          return OperatorRefused{"this host keeps no quarantine; ask another"};
        Control->release(Asked.Content, Now, Out);
        return Done{};
      });
}

void OperatorsPlugin::apply(const OperatorRequestId &Question, ChangeSet Set,
                            Time Now, Actions &Out) {
  const auto Underway = this->Waiting.find(Set.Id);
  if (Underway != this->Waiting.end() && Underway->second.Set == Set) {
    Underway->second.Questions.push_back(Question);
    Underway->second.AnswerBy = Now + this->AnswerWithin;
    return;
  }
  const std::string Problem = this->problemWithState(Set, Now);
  if (!Problem.empty()) {
    Out.add(AnswerOperator{Question, ChangesRejected{Problem}});
    return;
  }
  if (this->InForce->catalogue().verdict(Set.Id)) {
    Out.add(AnswerOperator{Question, this->verdict(Set.Id, Now)});
    return;
  }
  Out.log(logEvent(events::ChangeTaken)
              .with("change", Set.Id.Value)
              .with("author", Set.Author.Value)
              .with("changes", Set.Changes.size())
              .build());
  Pending Taken{{}, Set, {Question}, Now + this->AnswerWithin};
  if (!this->Log->isReachable(Now))
    Taken.AnswerBy = Now;
  Taken.Record = this->Log->append(ConfigurationRecord{Set}, Now, Out);
  this->Waiting.emplace(Set.Id, std::move(Taken));
}

std::string OperatorsPlugin::problemWithState(const ChangeSet &Set,
                                              Time Now) const {
  if (!this->InForce->isCurrent(Now))
    return "this host does not know the catalogue in force; apply at another "
           "host";
  if (this->Waiting.size() >= MostWaiting)
    return "too many change sets wait for the log; apply again later";
  if (this->isIdOfAnother(Set))
    return "the id " + Set.Id.Value +
           " was used for another change set; give a new one";
  if (this->InForce->catalogue().verdict(Set.Id))
    return {};
  return problemWith(Set, this->InForce->catalogue());
}

bool OperatorsPlugin::isIdOfAnother(const ChangeSet &Set) const {
  const auto Underway = this->Waiting.find(Set.Id);
  if (Underway != this->Waiting.end())
    return Underway->second.Set != Set;
  const auto Read =
      std::find_if(this->History.begin(), this->History.end(),
                   [&](const auto &Each) { return Each.Set.Id == Set.Id; });
  return Read != this->History.end() && Read->Set != Set;
}

OperatorAnswer OperatorsPlugin::verdict(const ChangeId &Id, Time Now) const {
  const ChangeVerdict *Known = this->InForce->catalogue().verdict(Id);
  if (!Known)
    return pendingAnswer(Id);
  if (const auto *Refused = std::get_if<ChangeRefused>(Known))
    return ChangesRejected{Refused->Message};
  const LogOffset Offset = std::get<ChangeAccepted>(*Known).Offset;
  if (this->Acceptance->mayAccept(Now))
    return ChangesAccepted{Offset};
  return VerdictPending{"change set " + Id.Value + " stands at offset " +
                        std::to_string(Offset) +
                        ", but this host does not hear from most hosts; ask "
                        "again or at another host"};
}

HistoryShown OperatorsPlugin::history(LogOffset From) const {
  HistoryShown Result;
  for (const HistoryEntry &Each : this->History) {
    if (Each.Offset < From || Result.Items.size() >= MostShown)
      continue;
    const auto *Known = this->InForce->catalogue().verdict(Each.Set.Id);
    if (Known)
      Result.Items.push_back({Each.Offset, Each.Set, *Known});
  }
  return Result;
}

StatusReport OperatorsPlugin::status(Time Now) const {
  StatusReport Result;
  Result.Host = this->Self;
  for (const StatusContributor *Each :
       this->Offered->list<StatusContributor>().all())
    Each->contribute(Result, Now);
  return Result;
}

void OperatorsPlugin::answerPending(Time Now, Actions &Out) {
  for (auto &[Id, Of] : this->Waiting) {
    const OperatorAnswer Answer = this->verdict(Id, Now);
    const bool Decided = !std::holds_alternative<VerdictPending>(Answer);
    if (!Decided && Now < Of.AnswerBy)
      continue;
    answerAll(Of, Answer, Out);
    Of.Questions.clear();
  }
  std::erase_if(this->Waiting, [&](const auto &Each) {
    return Each.second.Questions.empty() &&
           this->InForce->catalogue().verdict(Each.first);
  });
}

void OperatorsPlugin::answerAll(const Pending &Of, const OperatorAnswer &Answer,
                                Actions &Out) {
  for (const OperatorRequestId &Each : Of.Questions)
    Out.add(AnswerOperator{Each, Answer});
}

} // namespace banyanpick
