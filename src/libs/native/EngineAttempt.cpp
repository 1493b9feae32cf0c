#include "native/EngineAttempt.h"

#include "http/AddressText.h"
#include "http/BoundedJson.h"
#include "native/JsonField.h"

#include <fmt/format.h>

namespace banyanpick {

namespace {

using nlohmann::json;

constexpr std::size_t MaxChunkBytes = 1024ULL * 1024;
constexpr std::size_t MaxRefusalBytes = 64ULL * 1024;
constexpr unsigned Ok = 200;
constexpr unsigned Unavailable = 503;
/// How long a connection stays open past the deadline, so that the kernel
/// cancels the attempt first.
constexpr seconds DeadlineGrace(2);
constexpr milliseconds ProbeTimeout(250);

AttemptRefused::Why refusalFrom(std::string_view Text) {
  using Why = AttemptRefused::Why;
  if (Text == "busy")
    return Why::Busy;
  if (Text == "leaving")
    return Why::Leaving;
  if (Text == "no-model")
    return Why::NoModel;
  return Text == "no-memory" ? Why::NoMemory : Why::Other;
}

/// Returns whether the address refuses connections.
Task<bool> hasNoListener(net::any_io_executor Executor, Address At) {
  beast::tcp_stream Probe(Executor);
  Probe.expires_after(ProbeTimeout);
  ErrorCode Failure;
  co_await Probe.async_connect(endpointOf(At), into(Failure));
  co_return Failure == net::error::connection_refused;
}

} // namespace

std::vector<std::pair<std::string, std::string>>
attemptHeaders(const DispatchAttempt &Dispatch, const HostId &Self) {
  std::vector<std::pair<std::string, std::string>> Result{
      {"Content-Type", "application/json"},
      {"X-Attempt", idText(Dispatch.Attempt)},
      {"X-Owner", Self.Value},
      {"X-Deadline", std::to_string(toMilliseconds(Dispatch.Deadline))},
      {"X-Priority", std::to_string(Dispatch.Priority)}};
  std::string Holds;
  for (const HoldId &Hold : Dispatch.Holds)
    Holds += (Holds.empty() ? "" : ",") + idText(Hold);
  if (!Holds.empty())
    Result.emplace_back("X-Holds", Holds);
  return Result;
}

AttemptOutcome outcomeOfStatus(unsigned Status, std::string_view Body,
                               std::uint64_t NextIndex) {
  if (Status != Unavailable)
    return AttemptFailed{fmt::format("status {}", Status)};
  try {
    const std::string Reason = convertJsonErrors([&] {
      return parseBoundedJson(Body).at("refused").get<std::string>();
    });
    return AttemptRefused{refusalFrom(Reason)};
  } catch (const Error &) {
    // An intermediary may have sent this answer after the upstream started the
    // attempt.
    return AttemptBroken{NextIndex, false};
  }
}

EngineAttempt::EngineAttempt(const net::any_io_executor &Executor,
                             DispatchAttempt DispatchGiven,
                             const HostId &SelfGiven,
                             const PlatformSettings &Values)
    : Dispatch(std::move(DispatchGiven)), Self(SelfGiven), Values(Values),
      Stream(this->Dispatch.AttachTo.value_or(this->Dispatch.Attempt)),
      Assembler(idText(this->Stream), this->Dispatch.NextIndex),
      Link(Executor, MaxChunkBytes) {}

void EngineAttempt::cancel() {
  this->Cancelled = true;
  this->Link.cancel();
}

ClientRequest EngineAttempt::requestFor(std::string_view Prompt) const {
  ClientRequest Result;
  Result.Headers = attemptHeaders(this->Dispatch, this->Self);
  if (this->Dispatch.AttachTo) {
    Result.Target = fmt::format("/v1/streams/{}?from={}", idText(this->Stream),
                                this->Dispatch.NextIndex);
    return Result;
  }
  Result.Method = http::verb::post;
  Result.Target = "/v1/completions";
  Result.Body = dumpJson({{"model", this->Dispatch.TargetName},
                          {"prompt", Prompt},
                          {"max_tokens", this->Dispatch.MaxOutputTokens},
                          {"start_index", this->Dispatch.NextIndex}});
  return Result;
}

Task<AttemptOutcome> EngineAttempt::run(std::string_view Prompt,
                                        ChunkSink &Sink, Time Now) {
  const Duration Remaining =
      std::max<Duration>(this->Dispatch.Deadline - Now, {});
  const auto Failure = co_await this->Link.open(
      this->Dispatch.At, this->requestFor(Prompt), this->Values.ConnectTimeout,
      Remaining + DeadlineGrace);
  if (Failure && wasNotSent(*Failure))
    co_return AttemptNeverSent{};
  if (Failure)
    co_return co_await this->broken(*Failure);
  if (this->Link.status() != Ok)
    co_return co_await this->readRefusal();
  co_return co_await this->readStream(Sink);
}

Task<AttemptOutcome> EngineAttempt::readRefusal() {
  const auto [Body, Complete] = co_await this->Link.readRest(MaxRefusalBytes);
  if (!Complete)
    co_return AttemptBroken{this->Assembler.nextIndex(), false};
  co_return outcomeOfStatus(this->Link.status(), Body,
                            this->Assembler.nextIndex());
}

Task<AttemptOutcome> EngineAttempt::readStream(ChunkSink &Sink) {
  std::vector<ServerEvent> Events;
  auto State = ClientStream::ReadState::Open;
  while (State == ClientStream::ReadState::Open) {
    Events.clear();
    bool Malformed = false;
    try {
      State = co_await this->Link.readEvents(Events);
    } catch (const Error &) {
      Malformed = true;
    }
    if (Malformed)
      co_return AttemptBroken{this->Assembler.nextIndex(), false};
    for (const ServerEvent &Incoming : Events) {
      auto Decided = co_await this->handleEvent(Incoming, Sink);
      if (Decided)
        co_return std::move(*Decided);
    }
  }
  const bool Aborted = State == ClientStream::ReadState::Aborted;
  co_return co_await this->broken(Aborted ? this->Link.failure()
                                          : ClientFailure::Lost);
}

Task<std::optional<AttemptOutcome>>
EngineAttempt::handleEvent(const ServerEvent &Incoming, ChunkSink &Sink) {
  using Verdict = StreamAssembler::Verdict;
  const json Data = json::parse(Incoming.Data, nullptr, false);
  const AttemptBroken Broken{this->Assembler.nextIndex(), false};
  if (!Data.is_object())
    co_return Broken;
  auto Result = Verdict::Broken;
  std::string Text;
  std::string FailureMessage;
  bool Malformed = false;
  std::uint64_t Index = 0;
  try {
    const std::string Attempt = textMember(Data, "attempt");
    if (Incoming.Type == "error" && Attempt == idText(this->Stream)) {
      FailureMessage = Data.value("message", std::string());
      if (FailureMessage.empty())
        FailureMessage = "no reason given";
    } else if (Incoming.Type == "end") {
      Index = Data.at("count").get<std::uint64_t>();
      Result = this->Assembler.acceptEnd(Attempt, Index);
    } else if (Incoming.Type.empty()) {
      Index = Data.at("index").get<std::uint64_t>();
      Text = textMember(Data, "text");
      Result = this->Assembler.acceptChunk(Attempt, Index);
    } else {
      Result = Verdict::Drop;
    }
  } catch (const json::exception &) {
    Malformed = true;
  }
  if (!FailureMessage.empty())
    co_return AttemptFailed{FailureMessage};
  if (Malformed || Result == Verdict::Broken)
    co_return Broken;
  if (Result == Verdict::Complete)
    co_return AttemptComplete{Index, ""};
  if (Result == Verdict::Deliver)
    co_await Sink.take(Index, std::move(Text));
  co_return std::nullopt;
}

Task<AttemptOutcome> EngineAttempt::broken(ClientFailure Failure) {
  bool Died = Failure == ClientFailure::Reset;
  if (!Died && !this->Cancelled) {
    const net::any_io_executor Executor = co_await net::this_coro::executor;
    Died = co_await hasNoListener(Executor, this->Dispatch.At);
  }
  co_return AttemptBroken{this->Assembler.nextIndex(), Died};
}

} // namespace banyanpick
