#include "plugins/requests/RequestIntake.h"

#include "base/EventNumbers.h"
#include "base/Visitor.h"
#include "catalogue/KeyDigest.h"
#include "plugins/requests/RequestBuilder.h"

#include <fmt/format.h>

namespace banyanpick {

namespace {

/// First id of adopted streams. Traffic threads count their own ids from 1.
constexpr std::uint64_t FirstAdoptedId = std::uint64_t(1) << 63;

std::string randomHex(Random &RandomSource) {
  return fmt::format("{:016x}{:016x}", RandomSource.below(~std::uint64_t(0)),
                     RandomSource.below(~std::uint64_t(0)));
}

NotRun unknownToken() {
  return {RefusalReason::BadRequest, Duration(0),
          "the resume token is unknown here; send the request anew"};
}

} // namespace

RequestIntake::RequestIntake(RequestServices &Dependencies,
                             RunningRequests &Table, RequestFinisher &Finisher,
                             Dispatcher &RequestDispatcher)
    : Dependencies(Dependencies), Table(Table), Finisher(Finisher),
      RequestDispatcher(RequestDispatcher),
      TokenSecret(randomHex(Dependencies.RandomSource)) {}

void RequestIntake::arrived(const RequestArrived &Arrival, Time Now,
                            Actions &Out) {
  const RequestHead &Head = Arrival.Head;
  if (!this->Dependencies.CurrentCatalogue.isReady()) {
    this->Finisher.refuse(Head.Id, Head.Class,
                          {RefusalReason::NotReady,
                           this->Dependencies.retryAfter(),
                           "this host does not know the catalogue yet; ask "
                           "another host"},
                          Out);
    return;
  }
  const auto Built =
      RequestBuilder(this->Dependencies.CurrentCatalogue.catalogue())
          .from(Head)
          .at(Now)
          .build();
  match(
      Built,
      [&](const NotRun &Refusal) {
        this->Finisher.refuse(Head.Id, Head.Class, Refusal, Out);
      },
      [&](const Request &Original) {
        if (const auto Refusal = this->refusalOf(Original, Now))
          this->Finisher.refuse(Head.Id, Head.Class, *Refusal, Out);
        else
          this->admit(Original, Now, Out);
      });
}

std::optional<NotRun> RequestIntake::refusalOf(const Request &Original,
                                               Time Now) {
  for (AdmissionGate *Gate : this->Dependencies.Gates.all()) {
    if (auto Refusal = Gate->check(Original, Now))
      return Refusal;
  }
  return std::nullopt;
}

void RequestIntake::admit(Request Original, Time Now, Actions &Out) {
  RunningRequest Admitted;
  Admitted.Original = std::move(Original);
  if (Admitted.Original.Head.Streamed)
    Admitted.ResumeToken = this->makeResumeToken();
  RunningRequest &Entry = this->Table.add(std::move(Admitted));
  Out.add(AcceptRequest{Entry.Original.id(), Entry.ResumeToken});
  Out.count("requests_admitted", Entry.Original.Head.Class.Value);
  Out.log(logEvent(events::RequestAdmitted)
              .with("request", Entry.Original.id().Value)
              .with("team", Entry.Original.Team.Value)
              .with("class", Entry.Original.Head.Class.Value)
              .with("prompt_tokens", Entry.Original.Head.PromptTokens)
              .with("deadline_us", (Entry.Original.Deadline - Now).count())
              .build());
  for (RequestObserver *Observer : this->Dependencies.Observers.all())
    Observer->admitted(Entry.Original, Now, Out);
  if (Entry.Original.Class.Idempotent) {
    this->RequestDispatcher.enqueue(Entry, Now);
    return;
  }
  // The claim may be decided, and the request removed, before the call returns.
  const Request Claimed = Entry.Original;
  Entry.Phase = AwaitingClaim{};
  this->Dependencies.Claims.claim(Claimed, Now, Out);
}

void RequestIntake::callerGone(const CallerDisconnected &Gone, Time Now,
                               Actions &Out) {
  RunningRequest *Found = this->Table.find(Gone.Request);
  if (!Found)
    return;
  if (!Found->Original.Class.Idempotent && Found->MayHaveRun)
    return;
  if (Found->ResumeToken.empty()) {
    this->Finisher.giveUp(Gone.Request, "the caller hung up", Now, Out);
    return;
  }
  this->Table.setAbandonAt(*Found,
                           Now + this->Dependencies.Options.ResumeWindow);
}

void RequestIntake::resumeAsked(const ResumeRequest &Resume, Time,
                                Actions &Out) {
  RunningRequest *Found = this->Table.findByToken(Resume.ResumeToken);
  const auto Team = authenticatedTeam(
      this->Dependencies.CurrentCatalogue.catalogue(), Resume.TeamKey);
  if (!Found || !Team || *Team != Found->Original.Team) {
    Out.add(AnswerRequest{Resume.Request, unknownToken()});
    Out.count("resumes_refused");
    return;
  }
  this->Table.setAbandonAt(*Found, std::nullopt);
  Out.add(JoinStream{Resume.Request, Found->Original.id(), Resume.NextIndex});
  Out.count("streams_resumed");
}

void RequestIntake::adopt(const StreamHandover &Stream, Time Now,
                          Actions &Out) {
  if (this->Table.findByToken(Stream.ResumeToken))
    return;
  RunningRequest Adopted;
  Adopted.Adopted = true;
  Adopted.Original.Head.Id = RequestId(FirstAdoptedId + ++this->AdoptionCount);
  Adopted.Original.Head.Class = Stream.Class;
  Adopted.Original.Head.Streamed = true;
  Adopted.Original.Team = Stream.Team;
  Adopted.Original.ArrivedAt = Now;
  Adopted.Original.FirstTokenBy = Stream.Deadline;
  Adopted.Original.Deadline = Stream.Deadline;
  if (const ClassEntry *Class =
          this->Dependencies.CurrentCatalogue.catalogue().classOf(Stream.Class))
    Adopted.Original.Class = *Class;
  Adopted.Original.OutputTokens = Adopted.Original.Class.MaxOutputTokens;
  Adopted.NextIndex = Stream.NextIndex;
  Adopted.FirstTokenSeen = true;
  Adopted.ResumeToken = Stream.ResumeToken;
  RunningRequest &Entry = this->Table.add(std::move(Adopted));
  this->Table.setAbandonAt(Entry,
                           Now + this->Dependencies.Options.ResumeWindow);
  Out.count("streams_adopted");
  for (RequestObserver *Observer : this->Dependencies.Observers.all())
    Observer->admitted(Entry.Original, Now, Out);
  this->RequestDispatcher.attach(Entry, Stream, Now, Out);
}

std::string RequestIntake::makeResumeToken() {
  // The digest is keyed, so that known tokens do not reveal other callers'
  // tokens.
  const std::string Text =
      fmt::format("{}:{}", this->TokenSecret, ++this->ResumeTokenCount);
  const KeyDigest Digest = digestOfKey(Text, this->TokenSecret);
  constexpr std::size_t TokenDigits = 32;
  return Digest.Text.substr(Digest.Text.size() - TokenDigits);
}

} // namespace banyanpick
