/// \file
/// What the crowd's hosts have: processors, links, and what documents cost
/// them.
#include "auto/manyhosts/HostSimulation.h"

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
  Random Rng(Bytes);
  std::string Result;
  while (Result.size() < Bytes)
    Result += fmt::format(
        R"({{"Name":"{:08x}","Host":"{:06x}.example","PathPrefix":"/{:08x}/",)"
        R"("Kind":"safe","Attempts":2,"TimeoutMs":4000,"Service":"ring"}},)",
        Rng.below(1U << 31U), Rng.below(1U << 24U), Rng.below(1U << 31U));
  return Result;
}

double messageCost(std::size_t Bytes) {
  return MessageSeconds + static_cast<double>(Bytes) * ByteSeconds;
}

} // namespace

/// What the hosts serve by: an answer of some two seconds in a full batch. The
/// document ends with its version.
std::shared_ptr<const GatewayConfiguration>
HostSimulation::configurationAt(std::uint64_t NewVersion) {
  auto &Known = this->Configurations[NewVersion];
  if (Known)
    return Known;
  auto Result =
      std::make_shared<GatewayConfiguration>(*gatewayDeclarations(NewVersion));
  for (RouteEntry &Each : Result->Routes)
    Each.TimeLimit = CallerTimeLimit;
  EngineParameters &Engine = *Result->Services[ServiceId("ring")].Engine;
  Engine.MeanPromptTokens = ShortPrompt;
  Engine.MeanAnswerTokens = 1500;
  Result->Document = routesText(this->DocumentSize) + Result->Document;
  Known = std::move(Result);
  return Known;
}

void HostSimulation::processInbox(std::size_t Index) {
  Host &Each = this->Hosts[Index];
  while (!Each.Inbox.empty() && this->Queue.now() >= Each.BusyUntil) {
    const QueuedEvent Next = std::move(Each.Inbox.front());
    Each.Inbox.pop_front();
    Each.BufferedBytes -= Next.Bytes;
    if (!Each.Process || Each.Life != Next.Life)
      continue;
    Each.BusyUntil = this->Queue.now() + fromSeconds(messageCost(Next.Bytes) /
                                                     Each.Available.Cores);
    this->handle(Index, Next.Incoming);
  }
  if (Each.Inbox.empty() || std::exchange(Each.PumpScheduled, true))
    return;
  this->Queue.at(Each.BusyUntil, [this, Index] {
    this->Hosts[Index].PumpScheduled = false;
    this->processInbox(Index);
  });
}

void HostSimulation::chargeSending(std::size_t Index, std::size_t Bytes) {
  Host &Each = this->Hosts[Index];
  if (Each.Available.Cores > 0)
    Each.BusyUntil += fromSeconds(messageCost(Bytes) / Each.Available.Cores);
}

Duration HostSimulation::decodeTime(std::size_t Index,
                                    std::size_t Bytes) const {
  const double Cores = this->Hosts[Index].Available.Cores;
  const double Cost = static_cast<double>(Bytes) * DocumentByteSeconds;
  return milliseconds(1) + fromSeconds(Cores == 0 ? 0 : Cost / Cores);
}

void HostSimulation::addBufferedBytes(std::size_t Index, std::size_t Bytes) {
  Host &Each = this->Hosts[Index];
  Each.BufferedBytes += Bytes;
  Each.PeakBufferedBytes = std::max(Each.PeakBufferedBytes, Each.BufferedBytes);
}

Duration HostSimulation::transfer(std::size_t From, std::size_t To,
                                  std::size_t Bytes) {
  Host &Sender = this->Hosts[From];
  Host &Receiver = this->Hosts[To];
  if (Sender.Available.BytesPerSecond == 0 ||
      Receiver.Available.BytesPerSecond == 0)
    return Duration(0);
  const auto Size = static_cast<double>(Bytes);
  const Time Now = this->Queue.now();
  Sender.SendsUntil = std::max(Now, Sender.SendsUntil) +
                      fromSeconds(Size / Sender.Available.BytesPerSecond);
  Receiver.ReceivesUntil =
      std::max(Sender.SendsUntil, Receiver.ReceivesUntil) +
      fromSeconds(Size / Receiver.Available.BytesPerSecond);
  const Duration Result = Receiver.ReceivesUntil - Now;
  this->addBufferedBytes(From, Bytes);
  this->Queue.after(Result, [this, From, Bytes] {
    this->Hosts[From].BufferedBytes -= Bytes;
  });
  return Result;
}

} // namespace banyanpick
