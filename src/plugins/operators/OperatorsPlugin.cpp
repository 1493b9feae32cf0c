/// \file
#include "plugins/operators/OperatorsPlugin.h"

#include "base/EventNumbers.h"
#include "base/Visitor.h"
#include "kernel/PluginRegistry.h"
#include "plugins/operators/ChangeValidation.h"
#include "plugins/operators/OperatorAuthentication.h"
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

/// Maximum number of change sets without a verdict.
constexpr std::size_t MaxPendingChanges = 1000;
/// Maximum number of items in one answer about the history.
constexpr std::size_t MaxHistoryItems = 200;

VerdictPending pendingAnswer(const ChangeId &Id) {
  return {"no verdict on change set " + Id.Value +
          " is known here yet; ask for it again by its id, don't apply anew"};
}

} // namespace

void OperatorsPlugin::initialize(PluginContext &Context) {
  const Settings &Values = Context.settings();
  this->Registry = &Context.services();
  this->Self = Context.self().Host;
  this->RootKey = Values.text("operators", "root_key");
  this->AnswerTimeout = Values.span("operators", "answer_within");
  this->MaxHistory = Values.whole("operators", "history");
  this->Log = &this->Registry->get<LogWriter>();
  this->CatalogueInForce = &this->Registry->get<CatalogueView>();
  this->Acceptance = &this->Registry->get<ChangeAcceptance>();
  this->Registry->list<LogObserver>().add(*this);
}

void OperatorsPlugin::handle(const Event &Incoming, Time Now, Actions &Out) {
  if (const auto *Received = std::get_if<OperatorRequest>(&Incoming))
    this->handleQuestion(*Received, Now, Out);
  this->answerPending(Now, Out);
}

Time OperatorsPlugin::nextWake() const {
  Time Earliest = Never;
  for (const auto &[Id, Pending] : this->PendingChanges) {
    if (!Pending.Questions.empty())
      Earliest = std::min(Earliest, Pending.AnswerDeadline);
  }
  return Earliest;
}

void OperatorsPlugin::recordRead(const StoredRecord &Stored, Time, Actions &) {
  const auto *Configuration =
      std::get_if<ConfigurationRecord>(&Stored.Record.Body);
  if (!Configuration)
    return;
  this->History.push_back({Stored.Offset, Configuration->Set});
  if (this->History.size() > this->MaxHistory)
    this->History.pop_front();
}

void OperatorsPlugin::appendSettled(const RecordId &Id, bool Appended, Time,
                                    Actions &Out) {
  if (Appended)
    return;
  const auto Found =
      std::find_if(this->PendingChanges.begin(), this->PendingChanges.end(),
                   [&](const auto &Item) { return Item.second.Record == Id; });
  if (Found == this->PendingChanges.end())
    return;
  answerAll(Found->second,
            ChangesRejected{"nothing was written, the log takes no more now; "
                            "apply again later"},
            Out);
  this->PendingChanges.erase(Found);
}

void OperatorsPlugin::handleQuestion(const OperatorRequest &Received, Time Now,
                                     Actions &Out) {
  const auto Owner = authenticatedOwner(this->CatalogueInForce->catalogue(),
                                        Received.OperatorKey, this->RootKey);
  if (!Owner) {
    Out.count("operators_refused");
    Out.add(
        AnswerOperator{Received.Id, OperatorRefused{"the key is not valid"}});
    return;
  }
  if (const auto *Apply = std::get_if<ApplyChanges>(&Received.Question)) {
    ChangeSet Set = Apply->Set;
    Set.Author = *Owner;
    this->apply(Received.Id, std::move(Set), Now, Out);
    return;
  }
  Out.add(
      AnswerOperator{Received.Id, this->answer(Received.Question, Now, Out)});
}

OperatorAnswer OperatorsPlugin::answer(const OperatorQuestion &Question,
                                       Time Now, Actions &Out) {
  return match(
      Question, [&](const ApplyChanges &) -> OperatorAnswer { return Done{}; },
      [&](const QueryVerdict &Query) { return this->verdict(Query.Id, Now); },
      [&](const ShowCatalogue &) -> OperatorAnswer {
        const Catalogue &Shown = this->CatalogueInForce->catalogue();
        return CatalogueShown{Shown.offset(), Shown.entries()};
      },
      [&](const ShowHistory &Query) -> OperatorAnswer {
        return this->history(Query.FromOffset);
      },
      [&](const ShowStatus &) -> OperatorAnswer { return this->status(Now); },
      [&](const ReleaseQuarantine &Query) -> OperatorAnswer {
        auto *Control = this->Registry->find<QuarantineControl>();
        if (!Control)
          return OperatorRefused{"this host keeps no quarantine; ask another"};
        Control->release(Query.Content, Now, Out);
        return Done{};
      });
}

void OperatorsPlugin::apply(const OperatorRequestId &Question, ChangeSet Set,
                            Time Now, Actions &Out) {
  const auto Found = this->PendingChanges.find(Set.Id);
  if (Found != this->PendingChanges.end() && Found->second.Set == Set) {
    Found->second.Questions.push_back(Question);
    Found->second.AnswerDeadline = Now + this->AnswerTimeout;
    return;
  }
  const std::string Problem = this->checkState(Set, Now);
  if (!Problem.empty()) {
    Out.add(AnswerOperator{Question, ChangesRejected{Problem}});
    return;
  }
  if (this->CatalogueInForce->catalogue().verdict(Set.Id)) {
    Out.add(AnswerOperator{Question, this->verdict(Set.Id, Now)});
    return;
  }
  Out.log(logEvent(events::ChangeTaken)
              .with("change", Set.Id.Value)
              .with("author", Set.Author.Value)
              .with("changes", Set.Changes.size())
              .build());
  PendingChange NewPending{{}, Set, {Question}, Now + this->AnswerTimeout};
  if (!this->Log->isReachable(Now))
    NewPending.AnswerDeadline = Now;
  NewPending.Record = this->Log->append(ConfigurationRecord{Set}, Now, Out);
  this->PendingChanges.emplace(Set.Id, std::move(NewPending));
}

std::string OperatorsPlugin::checkState(const ChangeSet &Set, Time Now) const {
  if (!this->CatalogueInForce->isCurrent(Now))
    return "this host does not know the catalogue in force; apply at another "
           "host";
  if (this->PendingChanges.size() >= MaxPendingChanges)
    return "too many change sets wait for the log; apply again later";
  if (this->isIdReused(Set))
    return "the id " + Set.Id.Value +
           " was used for another change set; give a new one";
  if (this->CatalogueInForce->catalogue().verdict(Set.Id))
    return {};
  return validateChangeSet(Set, this->CatalogueInForce->catalogue());
}

bool OperatorsPlugin::isIdReused(const ChangeSet &Set) const {
  const auto Found = this->PendingChanges.find(Set.Id);
  if (Found != this->PendingChanges.end())
    return Found->second.Set != Set;
  const auto Earlier =
      std::find_if(this->History.begin(), this->History.end(),
                   [&](const auto &Item) { return Item.Set.Id == Set.Id; });
  return Earlier != this->History.end() && Earlier->Set != Set;
}

OperatorAnswer OperatorsPlugin::verdict(const ChangeId &Id, Time Now) const {
  const ChangeVerdict *Verdict =
      this->CatalogueInForce->catalogue().verdict(Id);
  if (!Verdict)
    return pendingAnswer(Id);
  if (const auto *Refused = std::get_if<ChangeRefused>(Verdict))
    return ChangesRejected{Refused->Message};
  const LogOffset Offset = std::get<ChangeAccepted>(*Verdict).Offset;
  if (this->Acceptance->mayAccept(Now))
    return ChangesAccepted{Offset};
  return VerdictPending{"change set " + Id.Value + " stands at offset " +
                        std::to_string(Offset) +
                        ", but this host does not hear from most hosts; ask "
                        "again or at another host"};
}

HistoryShown OperatorsPlugin::history(LogOffset From) const {
  HistoryShown Result;
  for (const HistoryEntry &Item : this->History) {
    if (Item.Offset < From || Result.Items.size() >= MaxHistoryItems)
      continue;
    const auto *Verdict =
        this->CatalogueInForce->catalogue().verdict(Item.Set.Id);
    if (Verdict)
      Result.Items.push_back({Item.Offset, Item.Set, *Verdict});
  }
  return Result;
}

StatusReport OperatorsPlugin::status(Time Now) const {
  StatusReport Result;
  Result.Host = this->Self;
  for (const StatusContributor *Contributor :
       this->Registry->list<StatusContributor>().all())
    Contributor->contribute(Result, Now);
  return Result;
}

void OperatorsPlugin::answerPending(Time Now, Actions &Out) {
  for (auto &[Id, Pending] : this->PendingChanges) {
    const OperatorAnswer Answer = this->verdict(Id, Now);
    const bool IsDecided = !std::holds_alternative<VerdictPending>(Answer);
    if (!IsDecided && Now < Pending.AnswerDeadline)
      continue;
    answerAll(Pending, Answer, Out);
    Pending.Questions.clear();
  }
  std::erase_if(this->PendingChanges, [&](const auto &Item) {
    return Item.second.Questions.empty() &&
           this->CatalogueInForce->catalogue().verdict(Item.first);
  });
}

void OperatorsPlugin::answerAll(const PendingChange &Pending,
                                const OperatorAnswer &Answer, Actions &Out) {
  for (const OperatorRequestId &Question : Pending.Questions)
    Out.add(AnswerOperator{Question, Answer});
}

} // namespace banyanpick
