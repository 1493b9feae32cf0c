#include "native/LogClient.h"

#include "base/Base64.h"
#include "http/BoundedJson.h"
#include "native/HostListJson.h"
#include "native/JsonField.h"
#include "wire/LogCodec.h"

#include <algorithm>
#include <fmt/format.h>

namespace banyanpick {

namespace {

using nlohmann::json;

constexpr std::size_t MaxAnswerBytes = 256ULL * 1024 * 1024;
constexpr unsigned Ok = 200;
constexpr unsigned Unavailable = 503;

void addRecords(const json &Object, LogRead &Read) {
  const LogOffset Offset = Object.at("offset").get<LogOffset>();
  Read.NextOffset = std::max(Read.NextOffset, Offset + 1);
  std::vector<LogRecord> Records;
  try {
    Records = decodeLogBatch(fromBase64(textMember(Object, "bytes")));
  } catch (const Error &) {
    // Written by another program or a later release. Every host skips it.
    return;
  }
  std::uint32_t Position = 0;
  for (LogRecord &Record : Records)
    Read.Records.push_back({Offset, Position++, std::move(Record)});
}

const ClientAnswer *successOf(const ClientResult &Result) {
  const auto *Answer = std::get_if<ClientAnswer>(&Result);
  return Answer && Answer->Status == Ok ? Answer : nullptr;
}

} // namespace

AppendAnswered appendAnswerFrom(const AppendId &Append,
                                const ClientResult &Result) {
  const AppendAnswered Unknown{Append, AppendResult::Unknown, 0};
  if (const auto *Failure = std::get_if<ClientFailure>(&Result))
    return wasNotSent(*Failure)
               ? AppendAnswered{Append, AppendResult::Refused, 0}
               : Unknown;
  const auto &Answer = std::get<ClientAnswer>(Result);
  if (Answer.Status == Unavailable)
    return {Append, AppendResult::Refused, 0};
  if (Answer.Status != Ok)
    return Unknown;
  try {
    return convertJsonErrors([&] {
      const auto Offset =
          parseBoundedJson(Answer.Body).at("offset").get<LogOffset>();
      return AppendAnswered{Append, AppendResult::Appended, Offset};
    });
  } catch (const Error &) {
    return Unknown;
  }
}

LogRead logReadFrom(std::string_view Body, LogOffset FromOffset) {
  return convertJsonErrors([&] {
    const json Object = parseBoundedJson(Body);
    LogRead Result;
    Result.FromOffset = FromOffset;
    Result.StartOffset = Object.at("start").get<LogOffset>();
    Result.EndOffset = Object.at("end").get<LogOffset>();
    Result.NextOffset = std::max(FromOffset, Result.StartOffset);
    for (const json &Entry : Object.at("records"))
      addRecords(Entry, Result);
    return Result;
  });
}

LogClient::LogClient(const net::any_io_executor &Executor,
                     PlatformSettings ValuesGiven)
    : Values(std::move(ValuesGiven)), Client(Executor, MaxAnswerBytes) {}

Task<Event> LogClient::append(AppendToLog Action) {
  ClientRequest Request;
  Request.Method = http::verb::post;
  Request.Target = "/log";
  Request.Headers.emplace_back("Content-Type", "application/octet-stream");
  Request.Body = encodeLogBatch(Action.Records);
  // Uses a new connection: on a reused one the answer is more likely to be
  // lost.
  const ClientResult Result = co_await this->Client.call(
      this->Values.Log, std::move(Request), this->Values.LogTimeout,
      HttpClient::Reuse::No);
  co_return appendAnswerFrom(Action.Append, Result);
}

Task<Event> LogClient::read(ReadLog Action) {
  ClientRequest Request;
  const auto WaitMs =
      std::chrono::duration_cast<milliseconds>(this->Values.LogWait).count();
  Request.Target =
      fmt::format("/log?from={}&wait_ms={}", Action.FromOffset, WaitMs);
  const ClientResult Result = co_await this->Client.call(
      this->Values.Log, std::move(Request),
      this->Values.LogTimeout + this->Values.LogWait);
  const ClientAnswer *Answer = successOf(Result);
  if (!Answer)
    co_return LogReadFailed{};
  try {
    co_return logReadFrom(Answer->Body, Action.FromOffset);
  } catch (const Error &) {
    co_return LogReadFailed{};
  }
}

Task<Event> LogClient::readHostList() {
  ClientRequest Request;
  Request.Target = "/hosts";
  const ClientResult Result = co_await this->Client.call(
      this->Values.HostList, std::move(Request), this->Values.HostListTimeout);
  const ClientAnswer *Answer = successOf(Result);
  if (!Answer)
    co_return HostListReadFailed{};
  try {
    co_return hostListFromJson(Answer->Body);
  } catch (const Error &) {
    co_return HostListReadFailed{};
  }
}

} // namespace banyanpick
