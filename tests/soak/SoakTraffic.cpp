#include "soak/SoakTraffic.h"

#include "standins/GatewayDemo.h"

#include <algorithm>
#include <fmt/format.h>

namespace banyanpick::soak {

namespace {

using standins::sendHttpRequest;

/// A caller asks a directory again after RefreshAfter, and keeps an answer for
/// longer while it gets no other. A stopping host takes callers for MaxAge,
/// which is three times the TTL of one second that hosts name.
constexpr seconds RefreshAfter(1);
constexpr seconds MaxAge(3);
constexpr milliseconds DirectoryTimeout(300);
/// A connection without data is abandoned this long after the timeout of the
/// call.
constexpr seconds ReadSlack(3);
/// The longest timeout that is drawn.
constexpr milliseconds MaxTimeout(8500);

std::string pathOf(CallKind Kind) {
  switch (Kind) {
  case CallKind::Safe:
    return "/safe/x";
  case CallKind::Unsafe:
    return "/once/x";
  case CallKind::Stream:
    return "/stream/x";
  case CallKind::LongStream:
    return "/long/x";
  }
  return "/";
}

/// Returns how long a caller waits for an answer.
Duration drawTimeout(CallKind Kind, std::mt19937_64 &Rng) {
  const milliseconds Min(Kind == CallKind::LongStream ? 5000 : 500);
  return Min + milliseconds(Rng() % 3500);
}

} // namespace

bool isStream(CallKind Kind) {
  return Kind == CallKind::Stream || Kind == CallKind::LongStream;
}

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
  return this->call(Kind, Host, Timeout, nullptr);
}

CallRecord SoakTraffic::call(CallKind Kind, std::size_t Host, Duration Timeout,
                             KeptConnections *Kept) {
  CallRecord Result;
  const std::uint64_t Number = ++this->Calls;
  Result.Kind = Kind;
  Result.Attempt = fmt::format("a{}", Number);
  Result.Payload = fmt::format("payload-{}", Number);
  Result.Host = Host;
  Result.Timeout = Timeout;
  const standins::OutgoingRequest Req = standins::demoRequest(
      {}, pathOf(Kind), Result.Attempt, Result.Payload, Timeout);
  const std::string &Address = this->CallerLinks[Host]->address();
  Result.Start = Clock::now();
  if (Kept) {
    auto &Link = (*Kept)[Host];
    if (!Link)
      Link = std::make_unique<standins::KeptConnection>(Address,
                                                        MaxTimeout + ReadSlack);
    Result.OnKeptConnection = Link->isOpen();
    Result.Reply = Link->exchange(Req);
  } else {
    Result.Reply = sendHttpRequest(Address, Req, Timeout + ReadSlack);
  }
  Result.End = Clock::now();
  return Result;
}

std::optional<std::size_t> SoakTraffic::pickHost(std::mt19937_64 &Rng,
                                                 KnownHosts &Known) const {
  const auto Now = Clock::now();
  if (Known.Addresses.empty() || Now >= Known.ReceivedAt + RefreshAfter) {
    std::vector<std::string> Received = this->Deployed.directory(
        Rng() % this->Deployed.hosts(), DirectoryTimeout);
    if (!Received.empty())
      Known = {std::move(Received), Now};
  }
  if (Known.Addresses.empty())
    return std::nullopt;
  const std::string &Picked = Known.Addresses[Rng() % Known.Addresses.size()];
  for (std::size_t Index = 0; Index < this->Deployed.hosts(); ++Index)
    if (this->Deployed.host(Index).Callers == Picked)
      return Index;
  return std::nullopt;
}

void SoakTraffic::run(std::uint64_t Seed) {
  std::mt19937_64 Rng(Seed);
  KnownHosts Known;
  KeptConnections Kept;
  const bool Keeps = Seed % 2 == 0;
  while (!this->Stopping) {
    std::this_thread::sleep_for(milliseconds(Rng() % 40));
    const auto Host = this->pickHost(Rng, Known);
    if (!Host)
      continue;
    const auto Kind = static_cast<CallKind>(Rng() % 4);
    const Duration Timeout = drawTimeout(Kind, Rng);
    CallRecord Record =
        this->call(Kind, *Host, Timeout, Keeps ? &Kept : nullptr);
    Record.ToOldAddress = Record.Start >= Known.ReceivedAt + MaxAge;
    const std::lock_guard Lock(this->Mutex);
    this->Records.push_back(std::move(Record));
  }
}

} // namespace banyanpick::soak
