/// \file
/// Random interleavings of claims, lost and late appends, reads, restarts and
/// clock jumps over three hosts: no operation runs twice.
#include "auto/claims/ClaimBench.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace banyanpick {

namespace {

constexpr unsigned Hosts = 3;
constexpr unsigned Keys = 2;

/// One request that a random caller has sent.
struct Sent {
  Request Asked;
  unsigned Host = 0;
  unsigned Key = 0;
  bool Dispatched = false;
  bool Over = false;
};

/// Three hosts, their callers, and a count of runs by operation.
class RandomRun {
public:
  RandomRun() {
    for (unsigned Host = 0; Host < Hosts; ++Host) {
      this->All.push_back(this->born(Host));
      this->All.back()->catchUp();
    }
    for (unsigned Key = 0; Key < Keys; ++Key)
      this->Names.push_back(keyMadeAt(this->All[0]->Now, Key));
  }

  void step(unsigned Draw) {
    const unsigned Kind = Draw % 16;
    const unsigned Host = Draw / 16 % Hosts;
    const unsigned Pick = Draw / 64;
    BenchHost &On = *this->All[Host];
    if (Kind < 3)
      this->send(Host, Pick % Keys);
    else if (Kind < 6)
      On.answerAppend(static_cast<AppendFate>(Pick % 5));
    else if (Kind < 9)
      On.answerRead();
    else if (Kind < 12)
      this->act(Pick);
    else if (Kind == 12)
      On.takeLate();
    else if (Kind == 13)
      this->restart(Host, Pick % 2 == 0);
    else
      On.pass(milliseconds(Pick % 8 == 0 ? 2500 : 30));
  }

  void check() const {
    for (const unsigned Each : this->Runs)
      RC_ASSERT(Each <= 1u);
    for (const auto &Each : this->All)
      RC_ASSERT(Each->kernel().invariantsBroken() == 0u);
  }

private:
  std::unique_ptr<BenchHost> born(unsigned Host) {
    auto Result = std::make_unique<BenchHost>(
        this->Log, std::string(1, static_cast<char>('a' + Host)),
        ++this->Lives);
    Result->Now = this->All.size() > Host ? this->All[Host]->Now : Result->Now;
    return Result;
  }

  void send(unsigned Host, unsigned Key) {
    Sent Next{requestFor(this->Names[Key], ++this->Requests), Host, Key};
    claim(*this->All[Host], Next.Asked);
    this->Open.push_back(Next);
  }

  /// A granted request is dispatched, refused by its upstream, given up or
  /// finished; one that waits is given up.
  void act(unsigned Pick) {
    if (this->Open.empty())
      return;
    Sent &Of = this->Open[Pick / 4 % this->Open.size()];
    BenchHost &On = *this->All[Of.Host];
    const auto Verdict = verdictOn(On, Of.Asked);
    if (Of.Over || (Verdict && !isGranted(On, Of.Asked)))
      return this->checkAnswer(Of, Verdict);
    if (Verdict && !Of.Dispatched && Pick % 4 != 0) {
      Of.Dispatched = true;
      ++this->Runs[Of.Key];
      return dispatch(On, Of.Asked);
    }
    Of.Over = true;
    if (Of.Dispatched && Pick % 4 != 1) {
      this->Results[Of.Key] = std::to_string(Of.Asked.id().Value);
      return finish(On, Of.Asked, this->Results[Of.Key]);
    }
    if (Of.Dispatched) {
      --this->Runs[Of.Key];
      endAttempt(On, Of.Asked, AttemptRefused());
    }
    abandon(On, Of.Asked);
  }

  /// A whole answer is the one that the only run gave.
  void checkAnswer(const Sent &Of, const std::optional<ClaimVerdict> &Verdict) {
    const auto *Denied =
        Verdict ? std::get_if<ClaimDenied>(&*Verdict) : nullptr;
    const auto *Whole =
        Denied ? std::get_if<CompleteAnswer>(&Denied->Answer) : nullptr;
    if (Whole)
      RC_ASSERT(Whole->Result == this->Results[Of.Key]);
  }

  void restart(unsigned Host, bool Noticed) {
    auto Late = std::move(this->All[Host]->LateAppends);
    const Incarnation Old = this->All[Host]->probe().Self.Life;
    for (Sent &Each : this->Open)
      Each.Over = Each.Over || Each.Host == Host;
    this->All[Host] = this->born(Host);
    this->All[Host]->LateAppends = std::move(Late);
    for (auto &Each : this->All) {
      if (Noticed)
        Each->probe().Over.push_back(Old);
    }
  }

  LogServiceModel Log;
  std::vector<std::unique_ptr<BenchHost>> All;
  std::vector<OperationKey> Names;
  std::vector<Sent> Open;
  std::vector<unsigned> Runs = std::vector<unsigned>(Keys, 0);
  std::map<unsigned, std::string> Results;
  std::uint64_t Requests = 0;
  std::uint64_t Lives = 0;
};

} // namespace

RC_GTEST_PROP(ClaimsProperty, NoOperationRunsTwice, ()) {
  RandomRun Run;
  const auto Draws = *rc::gen::container<std::vector<unsigned>>(
      300, rc::gen::inRange<unsigned>(0, 1u << 20));
  for (const unsigned Each : Draws) {
    Run.step(Each);
    Run.check();
  }
}

} // namespace banyanpick
