#include "plugins/limits/ShareLedger.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// Part of the whole demand that each host is counted as having besides its
/// own, so that a host without any keeps something for the first request.
constexpr double IdleDemand = 0.03;

/// Moves smaller than this part of the whole are not worth a message.
constexpr std::uint64_t LeastMoveDivisor = 50;

/// The units that should have moved from one host to another since the base
/// split: each host with too many gives to all that have too few, in
/// proportion. The same on every host that knows the same demands.
class WantedFlow {
public:
  WantedFlow(const ShareView &View, std::span<const HostDemand> Demands)
      : Wanted(wantedUnits(View, Demands)) {
    for (std::size_t Index = 0; Index < Demands.size(); ++Index) {
      this->Base.push_back(View.baseOf(Demands[Index].Host));
      this->SurplusInAll += this->surplus(Index);
    }
  }

  std::uint64_t from(std::size_t Giver, std::size_t Receiver) const {
    if (this->SurplusInAll == 0)
      return 0;
    return this->surplus(Giver) * this->deficit(Receiver) / this->SurplusInAll;
  }

private:
  std::uint64_t surplus(std::size_t Index) const {
    const std::uint64_t Has = this->Base[Index];
    return Has > this->Wanted[Index] ? Has - this->Wanted[Index] : 0;
  }
  std::uint64_t deficit(std::size_t Index) const {
    const std::uint64_t Has = this->Base[Index];
    return this->Wanted[Index] > Has ? this->Wanted[Index] - Has : 0;
  }

  std::vector<std::uint64_t> Wanted;
  std::vector<std::uint64_t> Base;
  std::uint64_t SurplusInAll = 0;
};

} // namespace

ShareLedger::ShareLedger(ShareView Given, HostId SelfGiven)
    : Split(std::move(Given)), Self(std::move(SelfGiven)),
      Held(this->Split.baseOf(this->Self)) {}

double ShareLedger::fraction() const {
  return static_cast<double>(this->Held) /
         static_cast<double>(this->Split.Units);
}

std::vector<ShareGift>
ShareLedger::giveByDemand(std::span<const HostDemand> Demands,
                          std::uint64_t Free) {
  const WantedFlow Flow(this->Split, Demands);
  const auto OwnDemand =
      std::find_if(Demands.begin(), Demands.end(), [&](const HostDemand &Each) {
        return Each.Host == this->Self;
      });
  const auto Own = static_cast<std::size_t>(OwnDemand - Demands.begin());
  const std::uint64_t LeastMove =
      std::max<std::uint64_t>(1, this->Split.Units / LeastMoveDivisor);
  std::uint64_t Left = std::min(Free, this->Held);
  std::vector<ShareGift> Result;
  for (std::size_t Other = 0; Other < Demands.size(); ++Other) {
    if (Other == Own || Left == 0)
      continue;
    Account &Of = this->Accounts[Demands[Other].Host];
    // What went the other way comes back before anything is given.
    const std::uint64_t Should = Of.Received + Flow.from(Own, Other) -
                                 std::min(Of.Received, Flow.from(Other, Own));
    if (Should < Of.Given + LeastMove)
      continue;
    const std::uint64_t Moved = std::min(Should - Of.Given, Left);
    Left -= Moved;
    this->Held -= Moved;
    Of.Given += Moved;
    Result.push_back({Demands[Other].Host, Of.Given});
  }
  return Result;
}

std::vector<ShareGift> ShareLedger::gifts() const {
  std::vector<ShareGift> Result;
  for (const auto &[To, Of] : this->Accounts) {
    if (Of.Given > 0)
      Result.push_back({To, Of.Given});
  }
  return Result;
}

void ShareLedger::receive(const HostId &From, std::uint64_t UnitsInAll) {
  Account &Of = this->Accounts[From];
  if (UnitsInAll <= Of.Received)
    return;
  this->Held += UnitsInAll - Of.Received;
  Of.Received = UnitsInAll;
}

void ShareLedger::takeBackFrom(const HostId &Guest) {
  const auto Found = this->Accounts.find(Guest);
  if (Found == this->Accounts.end())
    return;
  const Account Of = Found->second;
  // A guest gives back to each no more than it had from it.
  this->Held += Of.Given - Of.Received;
  this->Accounts.erase(Found);
}

bool ShareLedger::isConsistent() const {
  std::uint64_t Credits = this->Split.baseOf(this->Self);
  std::uint64_t Debits = this->Held;
  for (const auto &[Host, Of] : this->Accounts) {
    Credits += Of.Received;
    Debits += Of.Given;
  }
  return Credits == Debits;
}

std::vector<std::uint64_t> wantedUnits(const ShareView &View,
                                       std::span<const HostDemand> Demands) {
  std::vector<std::uint64_t> Result;
  double Asked = 0;
  for (const HostDemand &Each : Demands) {
    Result.push_back(View.baseOf(Each.Host));
    Asked += Each.Used;
  }
  if (Asked <= 0)
    return Result;
  const double Idle = Asked * IdleDemand;
  const double Whole = Asked + Idle * static_cast<double>(View.Shares.size());
  std::uint64_t Left = View.Units;
  std::size_t Most = 0;
  for (std::size_t Index = 0; Index < Demands.size(); ++Index) {
    const bool IsGuest = View.find(Demands[Index].Host) == View.Shares.size();
    const double Part = (Demands[Index].Used + (IsGuest ? 0 : Idle)) / Whole;
    Result[Index] =
        static_cast<std::uint64_t>(Part * static_cast<double>(View.Units));
    Left -= Result[Index];
    if (Demands[Index].Used > Demands[Most].Used)
      Most = Index;
  }
  // What rounding leaves goes to the host that asks for most.
  Result[Most] += Left;
  return Result;
}

} // namespace banyanpick
