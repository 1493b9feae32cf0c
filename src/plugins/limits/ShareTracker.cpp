#include "plugins/limits/ShareTracker.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// Fraction of the total demand that is added to the demand of each host of the
/// split, so that a host without demand keeps some units for its first request.
constexpr double IdleDemand = 0.03;

/// Transfers smaller than the whole limit divided by this number are not worth
/// a message.
constexpr std::uint64_t MinMoveDivisor = 50;

/// Computes the units that should have moved from one host to another since the
/// base split. Each host with a surplus sends to all hosts with a deficit, in
/// proportion. Hosts with the same demands compute the same flow.
class TargetFlow {
public:
  TargetFlow(const ShareView &View, std::span<const HostDemand> Demands)
      : Target(targetUnits(View, Demands)) {
    for (std::size_t Index = 0; Index < Demands.size(); ++Index) {
      this->Base.push_back(View.baseUnits(Demands[Index].Host));
      this->TotalSurplus += this->surplus(Index);
    }
  }

  std::uint64_t from(std::size_t Giver, std::size_t Receiver) const {
    if (this->TotalSurplus == 0)
      return 0;
    return this->surplus(Giver) * this->deficit(Receiver) / this->TotalSurplus;
  }

private:
  std::uint64_t surplus(std::size_t Index) const {
    const std::uint64_t BaseUnits = this->Base[Index];
    return BaseUnits > this->Target[Index] ? BaseUnits - this->Target[Index]
                                           : 0;
  }
  std::uint64_t deficit(std::size_t Index) const {
    const std::uint64_t BaseUnits = this->Base[Index];
    return this->Target[Index] > BaseUnits ? this->Target[Index] - BaseUnits
                                           : 0;
  }

  std::vector<std::uint64_t> Target;
  std::vector<std::uint64_t> Base;
  std::uint64_t TotalSurplus = 0;
};

} // namespace

ShareTracker::ShareTracker(ShareView InitialSplit, HostId InitialSelf)
    : Split(std::move(InitialSplit)), Self(std::move(InitialSelf)),
      Held(this->Split.baseUnits(this->Self)) {}

double ShareTracker::fraction() const {
  return static_cast<double>(this->Held) /
         static_cast<double>(this->Split.Units);
}

std::vector<ShareTransfer>
ShareTracker::transferByDemand(std::span<const HostDemand> Demands,
                               std::uint64_t Free) {
  const TargetFlow Flow(this->Split, Demands);
  const auto OwnDemand =
      std::find_if(Demands.begin(), Demands.end(), [&](const HostDemand &Item) {
        return Item.Host == this->Self;
      });
  const auto SelfIndex = static_cast<std::size_t>(OwnDemand - Demands.begin());
  const std::uint64_t MinMove =
      std::max<std::uint64_t>(1, this->Split.Units / MinMoveDivisor);
  std::uint64_t Remaining = std::min(Free, this->Held);
  std::vector<ShareTransfer> Result;
  for (std::size_t PeerIndex = 0; PeerIndex < Demands.size(); ++PeerIndex) {
    if (PeerIndex == SelfIndex || Remaining == 0)
      continue;
    PeerBalance &Peer = this->Balances[Demands[PeerIndex].Host];
    // Received units are returned before own units are sent.
    const std::uint64_t TargetSent =
        Peer.Received + Flow.from(SelfIndex, PeerIndex) -
        std::min(Peer.Received, Flow.from(PeerIndex, SelfIndex));
    if (TargetSent < Peer.Sent + MinMove)
      continue;
    const std::uint64_t Moved = std::min(TargetSent - Peer.Sent, Remaining);
    Remaining -= Moved;
    this->Held -= Moved;
    Peer.Sent += Moved;
    Result.push_back({Demands[PeerIndex].Host, Peer.Sent});
  }
  return Result;
}

std::vector<ShareTransfer> ShareTracker::transfers() const {
  std::vector<ShareTransfer> Result;
  for (const auto &[To, Peer] : this->Balances) {
    if (Peer.Sent > 0)
      Result.push_back({To, Peer.Sent});
  }
  return Result;
}

void ShareTracker::receiveShare(const HostId &From,
                                std::uint64_t CumulativeUnits) {
  PeerBalance &Peer = this->Balances[From];
  if (CumulativeUnits <= Peer.Received)
    return;
  this->Held += CumulativeUnits - Peer.Received;
  Peer.Received = CumulativeUnits;
}

void ShareTracker::reclaimFrom(const HostId &Host) {
  const auto Found = this->Balances.find(Host);
  if (Found == this->Balances.end())
    return;
  const PeerBalance Peer = Found->second;
  // A host without a base share returns no more units to another host than it
  // received from that host, so the difference is not negative.
  this->Held += Peer.Sent - Peer.Received;
  this->Balances.erase(Found);
}

bool ShareTracker::isConsistent() const {
  std::uint64_t Credits = this->Split.baseUnits(this->Self);
  std::uint64_t Debits = this->Held;
  for (const auto &[Host, Peer] : this->Balances) {
    Credits += Peer.Received;
    Debits += Peer.Sent;
  }
  return Credits == Debits;
}

std::vector<std::uint64_t> targetUnits(const ShareView &View,
                                       std::span<const HostDemand> Demands) {
  std::vector<std::uint64_t> Result;
  double TotalDemand = 0;
  for (const HostDemand &Item : Demands) {
    Result.push_back(View.baseUnits(Item.Host));
    TotalDemand += Item.DemandFraction;
  }
  if (TotalDemand <= 0)
    return Result;
  const double IdleWeight = TotalDemand * IdleDemand;
  const double TotalWeight =
      TotalDemand + IdleWeight * static_cast<double>(View.Shares.size());
  std::uint64_t Remaining = View.Units;
  std::size_t MaxIndex = 0;
  for (std::size_t Index = 0; Index < Demands.size(); ++Index) {
    const bool HasNoBaseShare =
        View.find(Demands[Index].Host) == View.Shares.size();
    const double Part =
        (Demands[Index].DemandFraction + (HasNoBaseShare ? 0 : IdleWeight)) /
        TotalWeight;
    Result[Index] =
        static_cast<std::uint64_t>(Part * static_cast<double>(View.Units));
    Remaining -= Result[Index];
    if (Demands[Index].DemandFraction > Demands[MaxIndex].DemandFraction)
      MaxIndex = Index;
  }
  // The rounding remainder goes to the host with the greatest demand.
  Result[MaxIndex] += Remaining;
  return Result;
}

} // namespace banyanpick
