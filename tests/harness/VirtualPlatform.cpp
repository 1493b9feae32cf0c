/// \file
/// The log and the host list of a virtual deployment.
#include "harness/VirtualDeployment.h"

namespace banyanpick {

namespace {

/// Timeout of the driver for an answer.
constexpr Duration AnswerTimeout = seconds(1);
/// Time that the log holds a read while there are no new records.
constexpr Duration LogWait = milliseconds(500);

} // namespace

// --- the platform

void VirtualDeployment::publishHostList() {
  HostListRead Current;
  for (const auto &[Name, Host] : this->Hosts)
    if (Host->isRunning())
      Current.Hosts.push_back(Host->listing());
  for (const auto &[Name, Engine] : this->Engines)
    if (Engine.Alive)
      Current.Upstreams.push_back(Engine.Listing);
  for (const auto &[Name, Application] : this->Applications)
    if (Application.Alive)
      Current.Upstreams.push_back(Application.Listing);
  this->Queue.after(this->Options.HostListLag,
                    [this, Current] { this->PublishedHostList = Current; });
}

void VirtualDeployment::readHostList(VirtualHost &From) {
  const bool Cut = this->Net.isCut(From.name(), "hostlist") ||
                   this->Net.isCut("hostlist", From.name());
  if (Cut)
    return this->replyAfter(AnswerTimeout, From, From.life(),
                            HostListReadFailed{});
  this->replyAfter(2 * this->Net.Far, From, From.life(),
                   this->PublishedHostList);
}

void VirtualDeployment::readLog(VirtualHost &From, const ReadLog &Wanted) {
  const Incarnation Life = From.life();
  if (this->Net.isCut(From.name(), "log") ||
      this->Net.isCut("log", From.name()))
    return this->replyAfter(AnswerTimeout, From, Life, LogReadFailed{});
  if (this->Log.Down)
    return this->replyAfter(2 * this->Net.Far, From, Life, LogReadFailed{});
  const auto Answered = std::make_shared<bool>(false);
  const auto Answer = [this, &From, Life, Answered, Wanted] {
    if (std::exchange(*Answered, true))
      return;
    this->Log.expire(this->now());
    if (this->Log.Down)
      return this->replyAfter(this->Net.Far, From, Life, LogReadFailed{});
    if (this->Net.isCut("log", From.name()))
      return this->replyAfter(AnswerTimeout, From, Life, LogReadFailed{});
    this->reply("log", From, Life, this->Log.read(Wanted.FromOffset));
  };
  this->Queue.after(this->Net.delay(From.name(), "log") + this->Log.ServiceTime,
                    [this, Answer, Wanted] {
                      this->Log.expire(this->now());
                      if (Wanted.FromOffset < this->Log.end())
                        return Answer();
                      this->PendingLogReads.push_back(Answer);
                      this->Queue.after(LogWait, Answer);
                    });
}

void VirtualDeployment::storeInLog(const std::vector<LogRecord> &Records) {
  this->Log.append(Records, this->now());
  for (const auto &Read : std::exchange(this->PendingLogReads, {}))
    Read();
}

void VirtualDeployment::append(VirtualHost &From, const AppendToLog &Wanted) {
  const Incarnation Life = From.life();
  const AppendAnswered NoAnswer{Wanted.Append, AppendResult::Unknown, 0};
  if (this->Net.isCut(From.name(), "log"))
    return this->replyAfter(AnswerTimeout, From, Life, NoAnswer);
  const auto Arrived = [this, &From, Life, Wanted, NoAnswer] {
    const AppendOutcome Outcome = this->Log.decideOutcome(this->now());
    const LogOffset Offset = this->Log.end();
    if (Outcome == AppendOutcome::Appended ||
        Outcome == AppendOutcome::AnswerLost)
      this->storeInLog(Wanted.Records);
    if (Outcome == AppendOutcome::Delayed)
      this->Queue.after(this->Log.AppendDelay,
                        [this, Wanted] { this->storeInLog(Wanted.Records); });
    if (Outcome == AppendOutcome::Refused)
      return this->reply(
          "log", From, Life,
          AppendAnswered{Wanted.Append, AppendResult::Refused, 0});
    if (Outcome == AppendOutcome::Appended &&
        !this->Net.isCut("log", From.name()))
      return this->reply(
          "log", From, Life,
          AppendAnswered{Wanted.Append, AppendResult::Appended, Offset});
    this->replyAfter(AnswerTimeout, From, Life, NoAnswer);
  };
  this->Queue.after(this->Net.delay(From.name(), "log") + this->Log.ServiceTime,
                    Arrived);
}

} // namespace banyanpick
