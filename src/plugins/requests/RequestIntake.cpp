#include "plugins/requests/RequestIntake.h"

#include "base/EventNumbers.h"
#include "base/Visitor.h"
#include "catalogue/KeyDigest.h"
#include "plugins/requests/RequestBuilder.h"

#include <fmt/format.h>

namespace banyanpick {

namespace {

/// Ids of adopted streams; traffic threads count their own from 1.
constexpr std::uint64_t FirstAdoptedId = std::uint64_t(1) << 63;

std::string randomHex(Random &Numbers) {
  return fmt::format("{:016x}{:016x}", Numbers.below(~std::uint64_t(0)),
                     Numbers.below(~std::uint64_t(0)));
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
      TokenSecret(randomHex(Dependencies.Numbers)) {}

void RequestIntake::arrived(const RequestArrived &Arrival, Time Now,
                            Actions &Out) {
  const RequestHead &Head = Arrival.Head;
  if (!this->Dependencies.CatalogueInForce.isReady()) {
    this->Finisher.refuse(Head.Id, Head.Class,
                          {RefusalReason::NotReady,
                           this->Dependencies.comeBackAfter(),
                           "this host does not know the catalogue yet; ask "
                           "another host"},
                          Out);
    return;
  }
  const auto Built =
      RequestBuilder(this->Dependencies.CatalogueInForce.catalogue())
          .from(Head)
          .at(Now)
          .build();
  match(
      Built,
      [&](const NotRun &Refusal) {
        this->Finisher.refuse(Head.Id, Head.Class, Refusal, Out);
      },
      [&](const Request &Asked) {
        if (const auto Refusal = this->refusalOf(Asked, Now))
          this->Finisher.refuse(Head.Id, Head.Class, *Refusal, Out);
        else
          this->admit(Asked, Now, Out);
      });
}

std::optional<NotRun> RequestIntake::refusalOf(const Request &Asked, Time Now) {
  for (AdmissionGate *Gate : this->Dependencies.Gates.all()) {
    if (auto Refusal = Gate->check(Asked, Now))
      return Refusal;
  }
  return std::nullopt;
}

void RequestIntake::admit(Request Asked, Time Now, Actions &Out) {
  RunningRequest Admitted;
  Admitted.Asked = std::move(Asked);
  if (Admitted.Asked.Head.Streamed)
    Admitted.ResumeToken = this->makeResumeToken();
  RunningRequest &Kept = this->Table.add(std::move(Admitted));
  Out.add(AcceptRequest{Kept.Asked.id(), Kept.ResumeToken});
  Out.count("requests_admitted", Kept.Asked.Head.Class.Value);
  Out.log(logEvent(events::RequestAdmitted)
              .with("request", Kept.Asked.id().Value)
              .with("team", Kept.Asked.Team.Value)
              .with("class", Kept.Asked.Head.Class.Value)
              .with("prompt_tokens", Kept.Asked.Head.PromptTokens)
              .with("deadline_us", (Kept.Asked.Deadline - Now).count())
              .build());
  for (RequestObserver *Each : this->Dependencies.Observers.all())
    Each->admitted(Kept.Asked, Now, Out);
  if (Kept.Asked.Class.Idempotent) {
    this->RequestDispatcher.enqueue(Kept, Now);
    return;
  }
  // The claim may be decided before the call returns; the request may be gone.
  const Request Claimed = Kept.Asked;
  Kept.Phase = AwaitingClaim{};
  this->Dependencies.Claims.claim(Claimed, Now, Out);
}

void RequestIntake::callerGone(const CallerDisconnected &Gone, Time Now,
                               Actions &Out) {
  RunningRequest *Found = this->Table.find(Gone.Request);
  if (!Found)
    return;
  if (!Found->Asked.Class.Idempotent && Found->MayHaveRun)
    return;
  if (Found->ResumeToken.empty()) {
    this->Finisher.giveUp(Gone.Request, "the caller hung up", Now, Out);
    return;
  }
  this->Table.setAbandonedAt(*Found,
                             Now + this->Dependencies.Values.ResumeWindow);
}

void RequestIntake::resumeAsked(const ResumeRequest &Asked, Time,
                                Actions &Out) {
  RunningRequest *Found = this->Table.findByToken(Asked.ResumeToken);
  const auto Team = authenticatedTeam(
      this->Dependencies.CatalogueInForce.catalogue(), Asked.TeamKey);
  if (!Found || !Team || *Team != Found->Asked.Team) {
    Out.add(AnswerRequest{Asked.Request, unknownToken()});
    Out.count("resumes_refused");
    return;
  }
  this->Table.setAbandonedAt(*Found, std::nullopt);
  Out.add(JoinStream{Asked.Request, Found->Asked.id(), Asked.NextIndex});
  Out.count("streams_resumed");
}

void RequestIntake::adopt(const StreamHandover &Stream, Time Now,
                          Actions &Out) {
  if (this->Table.findByToken(Stream.ResumeToken))
    return;
  RunningRequest Adopted;
  Adopted.Adopted = true;
  Adopted.Asked.Head.Id = RequestId(FirstAdoptedId + ++this->Adoptions);
  Adopted.Asked.Head.Class = Stream.Class;
  Adopted.Asked.Head.Streamed = true;
  Adopted.Asked.Team = Stream.Team;
  Adopted.Asked.ArrivedAt = Now;
  Adopted.Asked.FirstTokenBy = Stream.Deadline;
  Adopted.Asked.Deadline = Stream.Deadline;
  if (const ClassEntry *Class =
          this->Dependencies.CatalogueInForce.catalogue().classOf(Stream.Class))
    Adopted.Asked.Class = *Class;
  Adopted.Asked.OutputTokens = Adopted.Asked.Class.MaxOutputTokens;
  Adopted.NextIndex = Stream.NextIndex;
  Adopted.FirstTokenSeen = true;
  Adopted.ResumeToken = Stream.ResumeToken;
  RunningRequest &Kept = this->Table.add(std::move(Adopted));
  this->Table.setAbandonedAt(Kept,
                             Now + this->Dependencies.Values.ResumeWindow);
  Out.count("streams_adopted");
  for (RequestObserver *Each : this->Dependencies.Observers.all())
    Each->admitted(Kept.Asked, Now, Out);
  this->RequestDispatcher.attach(Kept, Stream, Now, Out);
}

std::string RequestIntake::makeResumeToken() {
  // A keyed digest: tokens seen give no way to those of others.
  const std::string Text =
      fmt::format("{}:{}", this->TokenSecret, ++this->TokensMade);
  const KeyDigest Digest = digestOfKey(Text, this->TokenSecret);
  constexpr std::size_t TokenDigits = 32;
  return Digest.Text.substr(Digest.Text.size() - TokenDigits);
}

} // namespace banyanpick
