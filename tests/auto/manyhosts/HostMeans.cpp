/// \file
/// What the crowd's hosts have: processors, links, and what documents cost
/// them.
#include "auto/manyhosts/HostCrowd.h"

#include "base/Random.h"
#include "fakes/GatewayDeclarations.h"

#include <fmt/format.h>

namespace banyanpick {

namespace {

/// Processor time to take a message in and to send one, and for each byte of
/// it; reading a configuration takes longer.
constexpr double MessageSeconds = 15e-6;
constexpr double ByteSeconds = 10e-9;
constexpr double DocumentByteSeconds = 20e-9;

/// So many bytes as routes are written, each with names of its own.
std::string routesText(std::size_t Bytes) {
  Random Numbers(Bytes);
  std::string Result;
  while (Result.size() < Bytes)
    Result += fmt::format(
        R"({{"Name":"{:08x}","Host":"{:06x}.example","PathPrefix":"/{:08x}/",)"
        R"("Kind":"safe","Attempts":2,"TimeoutMs":4000,"Service":"ring"}},)",
        Numbers.below(1U << 31U), Numbers.below(1U << 24U),
        Numbers.below(1U << 31U));
  return Result;
}

double messageCost(std::size_t Bytes) {
  return MessageSeconds + static_cast<double>(Bytes) * ByteSeconds;
}

} // namespace

/// What the hosts serve by: an answer of some two seconds in a full batch. The
/// document ends with its version.
std::shared_ptr<const GatewayConfiguration>
HostCrowd::declared(std::uint64_t VersionGiven) {
  auto &Known = this->Declared[VersionGiven];
  if (Known)
    return Known;
  auto Result = std::make_shared<GatewayConfiguration>(
      *gatewayDeclarations(VersionGiven));
  for (RouteEntry &Each : Result->Routes)
    Each.TimeLimit = CallersWait;
  EngineParameters &Engine = *Result->Services[ServiceId("ring")].Engine;
  Engine.MeanPromptTokens = ShortPrompt;
  Engine.MeanAnswerTokens = 1500;
  Result->Document = routesText(this->DocumentSize) + Result->Document;
  Known = std::move(Result);
  return Known;
}

void HostCrowd::pump(std::size_t At) {
  Host &Each = this->Hosts[At];
  while (!Each.Inbox.empty() && this->Queue.now() >= Each.BusyUntil) {
    const Waiting Next = std::move(Each.Inbox.front());
    Each.Inbox.pop_front();
    Each.Held -= Next.Bytes;
    if (!Each.Decider || Each.Life != Next.Life)
      continue;
    Each.BusyUntil = this->Queue.now() +
                     fromSeconds(messageCost(Next.Bytes) / Each.Has.Cores);
    this->handle(At, Next.What);
  }
  if (Each.Inbox.empty() || std::exchange(Each.PumpPlanned, true))
    return;
  this->Queue.at(Each.BusyUntil, [this, At] {
    this->Hosts[At].PumpPlanned = false;
    this->pump(At);
  });
}

void HostCrowd::chargeSending(std::size_t At, std::size_t Bytes) {
  Host &Each = this->Hosts[At];
  if (Each.Has.Cores > 0)
    Each.BusyUntil += fromSeconds(messageCost(Bytes) / Each.Has.Cores);
}

Duration HostCrowd::readingTime(std::size_t At, std::size_t Bytes) const {
  const double Cores = this->Hosts[At].Has.Cores;
  const double Cost = static_cast<double>(Bytes) * DocumentByteSeconds;
  return milliseconds(1) + fromSeconds(Cores == 0 ? 0 : Cost / Cores);
}

void HostCrowd::hold(std::size_t At, std::size_t Bytes) {
  Host &Each = this->Hosts[At];
  Each.Held += Bytes;
  Each.MostHeld = std::max(Each.MostHeld, Each.Held);
}

Duration HostCrowd::transfer(std::size_t From, std::size_t To,
                             std::size_t Bytes) {
  Host &Sender = this->Hosts[From];
  Host &Receiver = this->Hosts[To];
  if (Sender.Has.BytesPerSecond == 0 || Receiver.Has.BytesPerSecond == 0)
    return Duration(0);
  const auto Size = static_cast<double>(Bytes);
  const Time Now = this->Queue.now();
  Sender.SendsUntil = std::max(Now, Sender.SendsUntil) +
                      fromSeconds(Size / Sender.Has.BytesPerSecond);
  Receiver.ReceivesUntil = std::max(Sender.SendsUntil, Receiver.ReceivesUntil) +
                           fromSeconds(Size / Receiver.Has.BytesPerSecond);
  const Duration Result = Receiver.ReceivesUntil - Now;
  this->hold(From, Bytes);
  this->Queue.after(Result,
                    [this, From, Bytes] { this->Hosts[From].Held -= Bytes; });
  return Result;
}

} // namespace banyanpick
