#include "standins/Caller.h"

#include "standins/ChunkText.h"
#include "standins/WireText.h"

#include <algorithm>
#include <thread>

namespace banyanpick::standins {

namespace {

namespace http = boost::beast::http;
using nlohmann::json;

/// Maximum number of attempts. The last refusal is the final answer.
constexpr std::uint32_t MaxAttempts = 12;

/// Timeout of each connection step; longer than the time limit of any class.
constexpr Duration StepTimeout = seconds(20);

/// Delay before the next attempt when no host could be reached.
constexpr milliseconds ReconnectDelay(100);
constexpr milliseconds MaxRetryDelay(3'000);

void waitBeforeRetry(std::int64_t Milliseconds) {
  std::this_thread::sleep_for(
      std::clamp(milliseconds(Milliseconds), ReconnectDelay, MaxRetryDelay));
}

std::string completeText(std::uint64_t Count, std::uint64_t Hash) {
  std::string Text;
  for (std::uint64_t I = 0; I < Count; ++I)
    Text += chunkText(I, Hash);
  return Text;
}

OutgoingRequest completion(const WorkItem &Item, const std::string &Prompt,
                           std::vector<HttpHeader> Headers) {
  const json Body{{"class", Item.Class},
                  {"prompt", Prompt},
                  {"max_tokens", Item.OutputTokens},
                  {"stream", Item.Kind == WorkKind::Streamed}};
  return {http::verb::post, "/v1/completions", Body.dump(), std::move(Headers)};
}

} // namespace

WorkResult Caller::run(const WorkItem &Item) {
  const std::string Prompt = promptOf(Item);
  return Item.Kind == WorkKind::Streamed ? this->runStreamed(Item, Prompt)
                                         : this->runUnstreamed(Item, Prompt);
}

std::vector<HttpHeader> Caller::headers() const {
  return {{"Authorization", "Bearer " + this->Team.Key},
          {"Content-Type", "application/json"}};
}

HttpReply Caller::send(const OutgoingRequest &Req, std::size_t Turn,
                       const PartHandler &OnPart) {
  const auto Addresses = this->Hosts.hosts(this->Team.Name);
  for (std::size_t I = 0; I < Addresses.size(); ++I) {
    const std::string &Address = Addresses[(Turn + I) % Addresses.size()];
    HttpReply Reply = sendHttpRequest(Address, Req, StepTimeout, OnPart);
    if (Reply.Ended != HttpReply::End::NotConnected)
      return Reply;
  }
  this->Hosts.invalidate();
  std::this_thread::sleep_for(ReconnectDelay);
  return {};
}

bool Caller::isFinal(const json &Answer, WorkResult &Result) const {
  Result.LastAnswer = Answer.dump();
  const std::string Kind = Answer.value("answer", "");
  const auto RetryAfterMs = Answer.value<std::int64_t>("come_back_after_ms", 0);
  Result.MayHaveRun = Result.MayHaveRun || Kind != "not-run";
  if (Kind == "whole") {
    Result.Ended =
        Result.Incomplete ? WorkResult::End::Lost : WorkResult::End::Complete;
    return true;
  }
  Result.Ended =
      Kind == "not-run" ? WorkResult::End::Refused : WorkResult::End::Failed;
  if (Kind == "outcome-unknown" || (RetryAfterMs == 0 && Kind != "in-progress"))
    return true;
  waitBeforeRetry(RetryAfterMs);
  return false;
}

WorkResult Caller::sendUntilFinal(const SendOnce &Send, std::size_t FirstTurn) {
  WorkResult Result;
  std::size_t Turn = FirstTurn;
  for (; Result.Attempts < MaxAttempts; ++Result.Attempts) {
    const json Answer = Send(Turn, Result);
    if (Answer.is_object() && Answer.contains("answer")) {
      if (this->isFinal(Answer, Result))
        return Result;
      continue;
    }
    ++Turn;
    this->Hosts.invalidate();
  }
  return Result;
}

void Caller::handleEvent(const ServerEvent &Event, std::uint64_t Hash,
                         Received &Stream, WorkResult &Result) const {
  if (!Event.Data.is_object())
    return;
  if (Event.Name == "accepted") {
    Stream.Token = Event.Data.value("resume_token", "");
  } else if (Event.Name == "end") {
    Stream.Final = Event.Data;
  } else if (Event.Name == "redirect") {
    Stream.Token = Event.Data.value("resume_token", "");
    Stream.Redirect = Event.Data.value("host", "");
  } else if (Event.Name.empty()) {
    const auto Index = Event.Data.value<std::uint64_t>("index", 0);
    if (Event.Data.value("text", "") != chunkText(Index, Hash))
      Result.Misrouted = true;
    if (Index < Stream.Next)
      Result.Duplicated = true;
    if (Result.FirstTokenAfter == Duration())
      Result.FirstTokenAfter = wallNow() - Stream.StartedAt;
    // After a gap, Next stays below the count in the end event.
    if (Index == Stream.Next)
      ++Stream.Next;
  }
}

HttpReply Caller::sendStreamRequest(const OutgoingRequest &NewReq,
                                    std::uint64_t Hash, std::size_t Turn,
                                    Received &Stream, WorkResult &Result) {
  EventReader Reader([&](const ServerEvent &Event) {
    this->handleEvent(Event, Hash, Stream, Result);
  });
  const auto OnPart = [&](std::string_view Part) { Reader.addPart(Part); };
  if (Stream.Token.empty())
    return this->send(NewReq, Turn, OnPart);
  ++Result.Resumed;
  const OutgoingRequest Resume{
      http::verb::get,
      fmt::format("/v1/resume?token={}&index={}", Stream.Token, Stream.Next),
      {},
      this->headers()};
  const std::string Redirect = std::exchange(Stream.Redirect, "");
  return Redirect.empty()
             ? this->send(Resume, Turn, OnPart)
             : sendHttpRequest(Redirect, Resume, StepTimeout, OnPart);
}

WorkResult Caller::runStreamed(const WorkItem &Item,
                               const std::string &Prompt) {
  const std::uint64_t Hash = hashOfPrompt(Prompt);
  const OutgoingRequest NewReq = completion(Item, Prompt, this->headers());
  Received Stream(wallNow());
  const auto Send = [&](std::size_t Turn, WorkResult &Result) {
    const bool Resuming = !Stream.Token.empty();
    const HttpReply Reply =
        this->sendStreamRequest(NewReq, Hash, Turn, Stream, Result);
    json Answer = std::exchange(Stream.Final, json());
    if (!Answer.is_object() && Reply.isComplete() && Reply.Status != 200)
      Answer = Reply.parsed();
    const bool IsComplete =
        Answer.is_object() && Answer.value("answer", "") == "whole";
    Result.Incomplete =
        IsComplete && Answer.value<std::uint64_t>("count", 0) != Stream.Next;
    // The stream is lost with its host. The request is sent anew.
    const bool StreamUnknown = Resuming && Reply.Status == 404;
    Result.Restarted += StreamUnknown ? 1 : 0;
    if (StreamUnknown || (Answer.is_object() && !IsComplete))
      Stream = Received(Stream.StartedAt);
    return Answer;
  };
  return this->sendUntilFinal(Send, 0);
}

WorkResult Caller::runUnstreamed(const WorkItem &Item,
                                 const std::string &Prompt) {
  const std::uint64_t Hash = hashOfPrompt(Prompt);
  const OutgoingRequest Req = completion(Item, Prompt, this->headers());
  const auto Send = [&](std::size_t Turn, WorkResult &Result) {
    const HttpReply Reply = this->send(Req, Turn);
    json Answer = Reply.isComplete() ? Reply.parsed() : json();
    if (Answer.is_object() && Answer.value("answer", "") == "whole")
      Result.Misrouted =
          Answer.value("text", "") !=
          completeText(Answer.value<std::uint64_t>("count", 0), Hash);
    return Answer;
  };
  return this->sendUntilFinal(Send, 0);
}

WorkResult Caller::confirm(const WorkItem &Item, const std::string &Key,
                           std::size_t SkippedHosts) {
  const json Body{{"class", Item.Class},
                  {"operation_key", Key},
                  {"body", {{"lot", Item.Number}}}};
  const OutgoingRequest Req{http::verb::post, "/v1/calls", Body.dump(),
                            this->headers()};
  const auto Send = [&](std::size_t Turn, WorkResult &Result) {
    const HttpReply Reply = this->send(Req, Turn);
    if (Reply.Ended == HttpReply::End::Broken)
      Result.MayHaveRun = true;
    json Answer = Reply.isComplete() ? Reply.parsed() : json();
    if (Answer.is_object() && Answer.value("answer", "") == "whole") {
      const json Run = Answer.value("result", json::object());
      Result.Misrouted = !Run.is_object() || Run.value("key", "") != Key ||
                         Run.value("body", json::object()) != Body["body"];
    }
    return Answer;
  };
  WorkResult Result = this->sendUntilFinal(Send, SkippedHosts);
  Result.Key = Key;
  return Result;
}

} // namespace banyanpick::standins
