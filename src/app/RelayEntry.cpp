#include "app/RelayEntry.h"

#include "app/AnswerJson.h"
#include "http/AddressText.h"
#include "http/BoundedJson.h"
#include "http/EventParser.h"

namespace banyanpick {

namespace {

/// Maximum size of one write of events, so that the backlog of one caller does
/// not delay the other callers of its thread.
constexpr std::size_t BytesPerDelivery = 32ULL * 1024;

} // namespace

RelayEntry::RelayEntry(const net::any_io_executor &Executor, RequestId IdGiven,
                       bool Streamed, RequestContent ContentGiven,
                       std::uint64_t FirstIndex, const RelayLimits &Limits)
    : Id(IdGiven), Executor(Executor), Streamed(Streamed),
      Content(std::move(ContentGiven)), Limits(Limits),
      Chunks(FirstIndex, Limits.KeepDeliveredBytes), Changes(Executor) {}

void RelayEntry::accept(std::string Token) {
  this->Accepted = true;
  this->ResumeToken = std::move(Token);
  this->Changes.notify();
}

void RelayEntry::answer(FinalAnswer NewAnswer) {
  if (this->isEnded())
    return;
  this->Answer = std::move(NewAnswer);
  this->Content.Text = std::string();
  this->Changes.notify();
}

void RelayEntry::redirect(RedirectCaller To) {
  if (this->isEnded())
    return;
  this->Redirect = std::move(To);
  this->Content.Text = std::string();
  this->Changes.notify();
}

void RelayEntry::join(std::shared_ptr<RelayEntry> Stream,
                      std::uint64_t NextIndex) {
  this->Joined = std::move(Stream);
  this->JoinedIndex = NextIndex;
  this->Changes.notify();
}

void RelayEntry::append(std::string Text) {
  this->Chunks.append(std::move(Text));
  this->Changes.notify();
}

bool RelayEntry::isFull() const {
  return this->Streamed &&
         this->Chunks.undeliveredBytes() > this->Limits.UndeliveredBytes;
}

bool RelayEntry::isTooLarge() const {
  return !this->Streamed &&
         this->Chunks.bytes() > this->Limits.WholeAnswerBytes;
}

Task<RelayEntry::Opening> RelayEntry::opening() {
  while (!this->Accepted && !this->isEnded() && !this->Joined)
    co_await this->Changes.wait();
  Opening Result;
  Result.Accepted = this->Accepted;
  Result.ResumeToken = this->ResumeToken;
  Result.Answer = this->Answer;
  Result.Redirect = this->Redirect;
  Result.Joined = this->Joined;
  Result.JoinedIndex = this->JoinedIndex;
  co_return Result;
}

bool RelayEntry::attach(std::uint64_t WriterGiven, std::uint64_t Index) {
  if (Index < this->Chunks.first())
    return false;
  this->Writer = WriterGiven;
  this->Changes.notify();
  return true;
}

bool RelayEntry::detach(std::uint64_t WriterGiven) {
  if (this->Writer != WriterGiven)
    return false;
  this->Writer = 0;
  this->Changes.notify();
  return true;
}

bool RelayEntry::hasEventsFrom(std::uint64_t Index) const {
  return this->isEnded() || this->Chunks.end() > Index;
}

Task<RelayEntry::Delivery> RelayEntry::next(std::uint64_t WriterGiven,
                                            std::uint64_t Index) {
  if (this->Writer == WriterGiven && this->Chunks.delivered() < Index) {
    const bool WasFull = this->isFull();
    this->Chunks.markDelivered(Index);
    if (WasFull)
      this->Changes.notify();
  }
  while (this->Writer == WriterGiven && !this->hasEventsFrom(Index))
    co_await this->Changes.wait();
  Delivery Result;
  Result.NextIndex = Index;
  const bool IsLost = Index < this->Chunks.first();
  Result.Replaced = this->Writer != WriterGiven || IsLost;
  if (Result.Replaced)
    co_return Result;
  std::uint64_t &Next = Result.NextIndex;
  for (; Next < this->Chunks.end() && Result.Events.size() < BytesPerDelivery;
       ++Next)
    Result.Events += formatEvent({}, chunkData(Next, this->Chunks.at(Next)));
  if (Next >= this->Chunks.end() && this->isEnded())
    this->addLastEvent(Result);
  co_return Result;
}

void RelayEntry::addLastEvent(Delivery &To) const {
  To.Last = true;
  if (this->Redirect) {
    const nlohmann::json Data{{"host", text(this->Redirect->To)},
                              {"resume_token", this->Redirect->ResumeToken}};
    To.Events += formatEvent("redirect", dumpJson(Data));
    return;
  }
  To.Events += formatEvent("end", dumpJson(toJson(*this->Answer)));
}

Task<FinalAnswer> RelayEntry::finalAnswer() {
  while (!this->isEnded())
    co_await this->Changes.wait();
  if (!this->Answer)
    co_return FailedAnswer{"handed over to another host; ask again there", {}};
  co_return *this->Answer;
}

} // namespace banyanpick
