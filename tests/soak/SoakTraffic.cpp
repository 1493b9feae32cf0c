#include "soak/SoakTraffic.h"

#include "standins/GatewayDemo.h"

#include <algorithm>
#include <fmt/format.h>

namespace banyanpick::soak {

namespace {

using standins::sendHttpRequest;

/// A caller asks a directory again after RefreshAfter and uses an answer for at
/// most MaxAge, which is three times the TTL of one second that hosts name.
constexpr seconds RefreshAfter(1);
constexpr seconds MaxAge(3);
constexpr milliseconds DirectoryTimeout(300);
/// A connection without data is abandoned this long after the timeout of the
/// call.
constexpr seconds ReadSlack(3);

std::string pathOf(CallKind Kind) {
  switch (Kind) {
  case CallKind::Safe:
    return "/safe/x";
  case CallKind::Unsafe:
    return "/once/x";
  case CallKind::Stream:
    return "/stream/x";
  }
  return "/";
}

} // namespace

SoakTraffic::SoakTraffic(
    process::GatewayDeployment &Deployed,
    std::span<const std::unique_ptr<LoopbackProxy>> CallerLinks,
    std::uint64_t Seed, std::size_t Callers)
    : Deployed(Deployed), CallerLinks(CallerLinks) {
  for (std::size_t Index = 0; Index < Callers; ++Index)
    this->Threads.emplace_back(
        [this, Seed, Index] { this->run(Seed + Index); });
}

SoakTraffic::~SoakTraffic() { this->finish(); }

std::vector<CallRecord> SoakTraffic::finish() {
  this->Stopping = true;
  for (std::thread &Caller : this->Threads)
    Caller.join();
  this->Threads.clear();
  return std::move(this->Records);
}

CallRecord SoakTraffic::call(CallKind Kind, std::size_t Host,
                             Duration Timeout) {
  CallRecord Result;
  const std::uint64_t Number = ++this->Calls;
  Result.Kind = Kind;
  Result.Attempt = fmt::format("a{}", Number);
  Result.Payload = fmt::format("payload-{}", Number);
  Result.Host = Host;
  Result.Timeout = Timeout;
  const standins::OutgoingRequest Req = standins::demoRequest(
      {}, pathOf(Kind), Result.Attempt, Result.Payload, Timeout);
  Result.Start = Clock::now();
  Result.Reply = sendHttpRequest(this->CallerLinks[Host]->address(), Req,
                                 Timeout + ReadSlack);
  Result.End = Clock::now();
  return Result;
}

std::optional<std::size_t>
SoakTraffic::pickHost(std::mt19937_64 &Rng, std::vector<std::string> &Addresses,
                      Clock::time_point &ReceivedAt) const {
  const auto Now = Clock::now();
  if (Addresses.empty() || Now >= ReceivedAt + RefreshAfter) {
    std::vector<std::string> Received = this->Deployed.directory(
        Rng() % this->Deployed.hosts(), DirectoryTimeout);
    if (!Received.empty()) {
      Addresses = std::move(Received);
      ReceivedAt = Now;
    }
  }
  if (Addresses.empty() || Now >= ReceivedAt + MaxAge)
    return std::nullopt;
  const std::string &Picked = Addresses[Rng() % Addresses.size()];
  for (std::size_t Index = 0; Index < this->Deployed.hosts(); ++Index)
    if (this->Deployed.host(Index).Callers == Picked)
      return Index;
  return std::nullopt;
}

void SoakTraffic::run(std::uint64_t Seed) {
  std::mt19937_64 Rng(Seed);
  std::vector<std::string> Addresses;
  Clock::time_point ReceivedAt;
  while (!this->Stopping) {
    std::this_thread::sleep_for(milliseconds(Rng() % 40));
    const auto Host = this->pickHost(Rng, Addresses, ReceivedAt);
    if (!Host)
      continue;
    const auto Kind = static_cast<CallKind>(Rng() % 3);
    const Duration Timeout = milliseconds(500 + Rng() % 3500);
    CallRecord Record = this->call(Kind, *Host, Timeout);
    const std::lock_guard Lock(this->Mutex);
    this->Records.push_back(std::move(Record));
  }
}

} // namespace banyanpick::soak
