/// \file
/// Models the resources of the simulated hosts: processors, links and the cost
/// of configuration documents.
#include "auto/manyhosts/HostSimulation.h"

#include "base/Random.h"
#include "fakes/GatewayDeclarations.h"

#include <fmt/format.h>

namespace banyanpick {

namespace {

/// Processor time to receive or send a message, and for each byte of it.
/// Decoding a configuration takes longer.
constexpr double MessageSeconds = 15e-6;
constexpr double ByteSeconds = 10e-9;
constexpr double DocumentByteSeconds = 20e-9;

/// Returns at least \p Bytes bytes of routes, each with different names.
std::string routesText(std::size_t Bytes) {
  Random Rng(Bytes);
  std::string Result;
  while (Result.size() < Bytes) {
    // Compilers evaluate arguments in different orders.
    const std::uint64_t Path = Rng.below(1U << 31U);
    const std::uint64_t Host = Rng.below(1U << 24U);
    const std::uint64_t Name = Rng.below(1U << 31U);
    Result += fmt::format(
        R"({{"Name":"{:08x}","Host":"{:06x}.example","PathPrefix":"/{:08x}/",)"
        R"("Kind":"safe","Attempts":2,"TimeoutMs":4000,"Service":"ring"}},)",
        Name, Host, Path);
  }
  return Result;
}

double messageCost(std::size_t Bytes) {
  return MessageSeconds + static_cast<double>(Bytes) * ByteSeconds;
}

} // namespace

/// Returns the configuration of the given version. An answer takes some two
/// seconds in a full batch. The document ends with its version.
std::shared_ptr<const GatewayConfiguration>
HostSimulation::configurationAt(std::uint64_t NewVersion) {
  auto &Cached = this->Configurations[NewVersion];
  if (Cached)
    return Cached;
  auto Result =
      std::make_shared<GatewayConfiguration>(*gatewayDeclarations(NewVersion));
  for (RouteEntry &Route : Result->Routes)
    Route.TimeLimit = CallerTimeLimit;
  EngineParameters &Engine = *Result->Services[ServiceId("ring")].Engine;
  Engine.MeanPromptTokens = ShortPrompt;
  Engine.MeanAnswerTokens = 1500;
  Result->Services[ServiceId("ring")].ColdRequestsPerSecond =
      this->DeclaredColdRate;
  Result->Document = routesText(this->DocumentSize) + Result->Document;
  Cached = std::move(Result);
  return Cached;
}

void HostSimulation::processInbox(std::size_t Index) {
  Host &Receiver = this->Hosts[Index];
  while (!Receiver.Inbox.empty() && this->Queue.now() >= Receiver.BusyUntil) {
    const QueuedEvent Next = std::move(Receiver.Inbox.front());
    Receiver.Inbox.pop_front();
    Receiver.BufferedBytes -= Next.Bytes;
    if (!Receiver.Process || Receiver.Life != Next.Life)
      continue;
    Receiver.BusyUntil =
        this->Queue.now() +
        fromSeconds(messageCost(Next.Bytes) / Receiver.Available.Cores);
    this->handle(Index, Next.Incoming);
  }
  if (Receiver.Inbox.empty() || std::exchange(Receiver.PumpScheduled, true))
    return;
  this->Queue.at(Receiver.BusyUntil, [this, Index] {
    this->Hosts[Index].PumpScheduled = false;
    this->processInbox(Index);
  });
}

void HostSimulation::chargeSending(std::size_t Index, std::size_t Bytes) {
  Host &Sender = this->Hosts[Index];
  if (Sender.Available.Cores > 0)
    Sender.BusyUntil +=
        fromSeconds(messageCost(Bytes) / Sender.Available.Cores);
}

Duration HostSimulation::decodeTime(std::size_t Index,
                                    std::size_t Bytes) const {
  const double Cores = this->Hosts[Index].Available.Cores;
  const double Cost = static_cast<double>(Bytes) * DocumentByteSeconds;
  return milliseconds(1) + fromSeconds(Cores == 0 ? 0 : Cost / Cores);
}

void HostSimulation::addBufferedBytes(std::size_t Index, std::size_t Bytes) {
  Host &Buffering = this->Hosts[Index];
  Buffering.BufferedBytes += Bytes;
  Buffering.PeakBufferedBytes =
      std::max(Buffering.PeakBufferedBytes, Buffering.BufferedBytes);
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
