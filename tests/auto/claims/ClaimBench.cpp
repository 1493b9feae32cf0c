#include "auto/claims/ClaimBench.h"

namespace banyanpick {

namespace {

ClaimKeeper &keeper(BenchHost &Host) {
  return Host.services().get<ClaimKeeper>();
}

} // namespace

Request requestFor(OperationKey Key, std::uint64_t Id, std::uint64_t Content,
                   std::string Team) {
  Request Result;
  Result.Head.Id = RequestId(Id);
  Result.Head.Operation = std::move(Key);
  Result.Head.Content = Fingerprint(Content);
  Result.Team = TeamId(std::move(Team));
  Result.Class.Idempotent = false;
  return Result;
}

void claim(BenchHost &Host, const Request &Req) {
  Host.call([&](Actions &Out) { keeper(Host).claim(Req, Host.Now, Out); });
}

void abandon(BenchHost &Host, const Request &Req) {
  Host.call([&](Actions &Out) { keeper(Host).abandon(Req, Host.Now, Out); });
}

void finish(BenchHost &Host, const Request &Req, std::string Result) {
  Host.call([&](Actions &Out) {
    keeper(Host).finish(Req, OutcomeRecord::Kind::Done, Result, Host.Now, Out);
  });
}

void dispatch(BenchHost &Host, const Request &Req) {
  Host.call([&](Actions &Out) {
    for (auto *Observer : Host.services().list<RequestObserver>().all())
      Observer->dispatched(Req, Attempt(), Host.Now, Out);
  });
}

void endAttempt(BenchHost &Host, const Request &Req, AttemptOutcome Outcome) {
  Host.call([&](Actions &Out) {
    for (auto *Observer : Host.services().list<RequestObserver>().all())
      Observer->attemptEnded(Req, Attempt(), Outcome, Host.Now, Out);
  });
}

std::optional<ClaimVerdict> verdictOn(BenchHost &Host, const Request &Req) {
  for (const auto &[Id, Verdict] : Host.probe().Verdicts) {
    if (Id == Req.id())
      return Verdict;
  }
  return std::nullopt;
}

FinalAnswer denialOf(BenchHost &Host, const Request &Req) {
  const auto Verdict = verdictOn(Host, Req);
  if (!Verdict)
    throw Error(ErrorKind::Internal, "the claim has no verdict yet",
                "fix the test");
  return std::get<ClaimDenied>(*Verdict).Answer;
}

bool isGranted(BenchHost &Host, const Request &Req) {
  const auto Verdict = verdictOn(Host, Req);
  return Verdict && std::holds_alternative<ClaimGranted>(*Verdict);
}

} // namespace banyanpick
