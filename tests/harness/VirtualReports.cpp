/// \file
/// Load reports, memory holds and orders of a virtual deployment's upstreams.
#include "harness/VirtualDeployment.h"

namespace banyanpick {

namespace {

/// Timeout of the driver for an answer.
constexpr Duration AnswerTimeout = seconds(1);

} // namespace

// --- reports

void VirtualDeployment::pollLoad(VirtualHost &From, const PollLoad &Wanted) {
  const Incarnation Life = From.life();
  const std::string Name = Wanted.Upstream.Value;
  const auto Answered = std::make_shared<bool>(false);
  const Reachability Reach = this->sendToUpstream(
      From.name(), Name, [this, &From, Life, Name, Answered] {
        if (this->Net.isCut(Name, From.name()) ||
            std::exchange(*Answered, true))
          return;
        const auto Engine = this->Engines.find(Name);
        if (Engine != this->Engines.end())
          this->reply(Name, From, Life,
                      LoadReported{Engine->second.report(this->now())});
        else
          this->reply(
              Name, From, Life,
              LoadReported{this->Applications.at(Name).report(this->now())});
      });
  if (Reach == Reachability::Refused)
    return this->replyAfter(2 * this->Net.Far, From, Life,
                            LoadPollFailed{Wanted.Upstream, true});
  this->Queue.after(AnswerTimeout, [this, &From, Life, Answered, Wanted] {
    if (!std::exchange(*Answered, true))
      this->replyAfter(Duration(), From, Life,
                       LoadPollFailed{Wanted.Upstream, false});
  });
}

void VirtualDeployment::pollCache(VirtualHost &From,
                                  const PollCacheEvents &Wanted) {
  const Incarnation Life = From.life();
  const std::string Name = Wanted.Upstream.Value;
  if (!this->Engines.contains(Name))
    return;
  this->sendToUpstream(From.name(), Name, [this, &From, Life, Wanted, Name] {
    FakeEngine &Engine = this->Engines.at(Name);
    if (this->Net.isCut(Name, From.name()))
      return;
    auto Events =
        Engine.Model.cacheEventsAfter(Wanted.AfterSequence, this->now());
    if (Engine.CacheEventLoss > 0)
      std::erase_if(Events, [&](const CacheEvent &) {
        return this->Rng.fraction() < Engine.CacheEventLoss;
      });
    this->reply(Name, From, Life,
                CacheEventsReported{Wanted.Upstream, Engine.Listing.Life,
                                    std::move(Events)});
  });
}

// --- memory and orders

void VirtualDeployment::takeHold(VirtualHost &From, const TakeHold &Wanted) {
  const Incarnation Life = From.life();
  const std::string Name = Wanted.Upstream.Value;
  HoldAnswered Answer{Wanted.Hold, Wanted.Upstream, HoldResult::Unknown};
  const Reachability Reach = this->sendToUpstream(
      From.name(), Name, [this, &From, Life, Wanted, Name, Answer]() mutable {
        FakeEngine &Engine = this->Engines.at(Name);
        this->pump(Engine);
        const bool Taken = Engine.Model.takeHold(
            Wanted.Hold, From.name(), Wanted.Tokens, Wanted.Deadline);
        Answer.Result = Taken ? HoldResult::Granted : HoldResult::Refused;
        const bool Lost =
            Engine.HoldAnswersToLose > 0 && Engine.HoldAnswersToLose--;
        if (!Lost && !this->Net.isCut(Name, From.name()))
          return this->reply(Name, From, Life, Answer);
        Answer.Result = HoldResult::Unknown;
        this->replyAfter(AnswerTimeout, From, Life, Answer);
      });
  if (Reach == Reachability::Open)
    return;
  if (Reach == Reachability::Refused)
    Answer.Result = HoldResult::Refused;
  this->replyAfter(AnswerTimeout, From, Life, Answer);
}

void VirtualDeployment::releaseHold(VirtualHost &From,
                                    const ReleaseHold &Wanted) {
  const std::string Name = Wanted.Upstream.Value;
  this->sendToUpstream(From.name(), Name, [this, Wanted, Name] {
    FakeEngine &Engine = this->Engines.at(Name);
    this->pump(Engine);
    Engine.Model.releaseHold(Wanted.Hold);
    this->schedulePump(Engine);
  });
}

void VirtualDeployment::order(VirtualHost &From, const OrderUpstream &Wanted) {
  const Incarnation Life = From.life();
  const std::string Name = Wanted.Upstream.Value;
  OrderAnswered Answer{Wanted.Order, Wanted.Upstream, OrderResult::Failed, 0};
  if (this->now() > Wanted.ValidUntil)
    return this->replyAfter(Duration(), From, Life, Answer);
  const Reachability Reach = this->sendToUpstream(
      From.name(), Name, [this, &From, Life, Wanted, Name, Answer]() mutable {
        FakeEngine &Engine = this->Engines.at(Name);
        this->pump(Engine);
        Answer.Result = Engine.Model.order(Wanted.Fencing, Wanted.Body);
        Answer.HighestFencing = Engine.Model.report(this->now()).HighestFencing;
        Engine.Orders.push_back({this->now(), Wanted.Fencing,
                                 Answer.Result == OrderResult::Accepted});
        const bool Lost =
            Engine.OrderAnswersToLose > 0 && Engine.OrderAnswersToLose--;
        if (!Lost && !this->Net.isCut(Name, From.name()))
          return this->reply(Name, From, Life, Answer);
        Answer.Result = OrderResult::Unknown;
        this->replyAfter(AnswerTimeout, From, Life, Answer);
      });
  if (Reach == Reachability::Open)
    return;
  if (Reach == Reachability::Cut)
    Answer.Result = OrderResult::Unknown;
  this->replyAfter(AnswerTimeout, From, Life, Answer);
}

} // namespace banyanpick
