/// \file
/// Guards against an operation that runs twice. Three hosts go through random
/// interleavings of claims, lost and late appends, reads, restarts and clock
/// jumps.
#include "auto/claims/ClaimBench.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace banyanpick {

namespace {

constexpr unsigned Hosts = 3;
constexpr unsigned Keys = 2;

/// One request sent by a caller.
struct SentRequest {
  Request Req;
  unsigned Host = 0;
  unsigned Key = 0;
  bool Dispatched = false;
  bool Ended = false;
};

/// Holds three hosts, their callers and the number of runs of each operation.
class RandomRun {
public:
  RandomRun() {
    for (unsigned Host = 0; Host < Hosts; ++Host) {
      this->BenchHosts.push_back(this->makeHost(Host));
      this->BenchHosts.back()->catchUp();
    }
    for (unsigned Key = 0; Key < Keys; ++Key)
      this->Names.push_back(keyMadeAt(this->BenchHosts[0]->Now, Key));
  }

  void step(unsigned Draw) {
    const unsigned Kind = Draw % 16;
    const unsigned Host = Draw / 16 % Hosts;
    const unsigned Pick = Draw / 64;
    BenchHost &Target = *this->BenchHosts[Host];
    if (Kind < 3)
      this->send(Host, Pick % Keys);
    else if (Kind < 6)
      Target.answerAppend(static_cast<AppendOutcome>(Pick % 5));
    else if (Kind < 9)
      Target.answerRead();
    else if (Kind < 12)
      this->advanceRequest(Pick);
    else if (Kind == 12)
      Target.applyLateAppend();
    else if (Kind == 13)
      this->restart(Host, Pick % 2 == 0);
    else
      Target.advance(milliseconds(Pick % 8 == 0 ? 2500 : 30));
  }

  void check() const {
    for (const unsigned Count : this->Runs)
      RC_ASSERT(Count <= 1u);
    for (const auto &Host : this->BenchHosts)
      RC_ASSERT(Host->kernel().invariantsBroken() == 0u);
  }

private:
  std::unique_ptr<BenchHost> makeHost(unsigned Host) {
    auto Result = std::make_unique<BenchHost>(
        this->Log, std::string(1, static_cast<char>('a' + Host)),
        ++this->Incarnations);
    Result->Now = this->BenchHosts.size() > Host ? this->BenchHosts[Host]->Now
                                                 : Result->Now;
    return Result;
  }

  void send(unsigned Host, unsigned Key) {
    SentRequest NewRequest{requestFor(this->Names[Key], ++this->Requests), Host,
                           Key};
    claim(*this->BenchHosts[Host], NewRequest.Req);
    this->Open.push_back(NewRequest);
  }

  /// Dispatches, refuses, abandons or finishes a granted request; abandons a
  /// pending one.
  void advanceRequest(unsigned Pick) {
    if (this->Open.empty())
      return;
    SentRequest &Item = this->Open[Pick / 4 % this->Open.size()];
    BenchHost &Target = *this->BenchHosts[Item.Host];
    const auto Verdict = verdictOn(Target, Item.Req);
    if (Item.Ended || (Verdict && !isGranted(Target, Item.Req)))
      return this->checkAnswer(Item, Verdict);
    if (Verdict && !Item.Dispatched && Pick % 4 != 0) {
      Item.Dispatched = true;
      ++this->Runs[Item.Key];
      return dispatch(Target, Item.Req);
    }
    Item.Ended = true;
    if (Item.Dispatched && Pick % 4 != 1) {
      this->Results[Item.Key] = std::to_string(Item.Req.id().Value);
      return finish(Target, Item.Req, this->Results[Item.Key]);
    }
    if (Item.Dispatched) {
      --this->Runs[Item.Key];
      endAttempt(Target, Item.Req, AttemptRefused());
    }
    abandon(Target, Item.Req);
  }

  /// Checks that a complete answer is the result of the only run.
  void checkAnswer(const SentRequest &Item,
                   const std::optional<ClaimVerdict> &Verdict) {
    const auto *Denied =
        Verdict ? std::get_if<ClaimDenied>(&*Verdict) : nullptr;
    const auto *Complete =
        Denied ? std::get_if<CompleteAnswer>(&Denied->Answer) : nullptr;
    if (Complete)
      RC_ASSERT(Complete->Result == this->Results[Item.Key]);
  }

  void restart(unsigned Host, bool IsNoticed) {
    auto Late = std::move(this->BenchHosts[Host]->LateAppends);
    const Incarnation Old = this->BenchHosts[Host]->probe().Self.Life;
    for (SentRequest &Request : this->Open)
      Request.Ended = Request.Ended || Request.Host == Host;
    this->BenchHosts[Host] = this->makeHost(Host);
    this->BenchHosts[Host]->LateAppends = std::move(Late);
    for (auto &Other : this->BenchHosts) {
      if (IsNoticed)
        Other->probe().EndedIncarnations.push_back(Old);
    }
  }

  LogServiceModel Log;
  std::vector<std::unique_ptr<BenchHost>> BenchHosts;
  std::vector<OperationKey> Names;
  std::vector<SentRequest> Open;
  std::vector<unsigned> Runs = std::vector<unsigned>(Keys, 0);
  std::map<unsigned, std::string> Results;
  std::uint64_t Requests = 0;
  std::uint64_t Incarnations = 0;
};

} // namespace

RC_GTEST_PROP(ClaimsProperty, NoOperationRunsTwice, ()) {
  RandomRun Run;
  const auto Draws = *rc::gen::container<std::vector<unsigned>>(
      300, rc::gen::inRange<unsigned>(0, 1u << 20));
  for (const unsigned Draw : Draws) {
    Run.step(Draw);
    Run.check();
  }
}

} // namespace banyanpick
