#include "plugins/limits/ShareLedger.h"

#include <algorithm>
#include <numeric>

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
  WantedFlow(const ShareView &View, std::span<const std::uint64_t> Wanted)
      : View(View), Wanted(Wanted) {
    for (std::size_t Index = 0; Index < Wanted.size(); ++Index)
      this->SurplusInAll += this->surplus(Index);
  }

  std::uint64_t from(std::size_t Giver, std::size_t Receiver) const {
    if (this->SurplusInAll == 0)
      return 0;
    return this->surplus(Giver) * this->deficit(Receiver) / this->SurplusInAll;
  }

private:
  std::uint64_t surplus(std::size_t Index) const {
    const std::uint64_t Base = this->View.Shares[Index].Units;
    return Base > this->Wanted[Index] ? Base - this->Wanted[Index] : 0;
  }
  std::uint64_t deficit(std::size_t Index) const {
    const std::uint64_t Base = this->View.Shares[Index].Units;
    return this->Wanted[Index] > Base ? this->Wanted[Index] - Base : 0;
  }

  const ShareView &View;
  std::span<const std::uint64_t> Wanted;
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
ShareLedger::giveByDemand(std::span<const double> Demands, std::uint64_t Free) {
  std::vector<ShareGift> Result;
  const std::size_t Own = this->Split.find(this->Self);
  if (Own == this->Split.Shares.size())
    return Result;
  const auto Wanted = wantedUnits(this->Split, Demands);
  const WantedFlow Flow(this->Split, Wanted);
  const std::uint64_t LeastMove =
      std::max<std::uint64_t>(1, this->Split.Units / LeastMoveDivisor);
  std::uint64_t Left = std::min(Free, this->Held);
  for (std::size_t Other = 0; Other < this->Split.Shares.size(); ++Other) {
    if (Other == Own || Left == 0)
      continue;
    const HostId &To = this->Split.Shares[Other].Host;
    Account &Of = this->Accounts[To];
    // What went the other way comes back before anything is given.
    const std::uint64_t Should = Of.Received + Flow.from(Own, Other) -
                                 std::min(Of.Received, Flow.from(Other, Own));
    if (Should < Of.Given + LeastMove)
      continue;
    const std::uint64_t Moved = std::min(Should - Of.Given, Left);
    Left -= Moved;
    this->Held -= Moved;
    Of.Given += Moved;
    Result.push_back({To, Of.Given});
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
  const bool IsHolder = this->Split.find(From) < this->Split.Shares.size();
  if (From == this->Self || !IsHolder)
    return;
  Account &Of = this->Accounts[From];
  if (UnitsInAll <= Of.Received)
    return;
  this->Held += UnitsInAll - Of.Received;
  Of.Received = UnitsInAll;
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
                                       std::span<const double> Demands) {
  const std::size_t Hosts = View.Shares.size();
  std::vector<std::uint64_t> Result(Hosts);
  const double Asked = std::accumulate(Demands.begin(), Demands.end(), 0.0);
  for (std::size_t Index = 0; Index < Hosts; ++Index)
    Result[Index] = View.Shares[Index].Units;
  if (Asked <= 0)
    return Result;
  const double Idle = Asked * IdleDemand;
  const double Whole = Asked + Idle * static_cast<double>(Hosts);
  std::uint64_t Left = View.Units;
  for (std::size_t Index = 0; Index < Hosts; ++Index) {
    const double Part = (Demands[Index] + Idle) / Whole;
    Result[Index] =
        static_cast<std::uint64_t>(Part * static_cast<double>(View.Units));
    Left -= Result[Index];
  }
  // What rounding leaves goes to the host that asks for most.
  const auto Most = std::max_element(Demands.begin(), Demands.end());
  Result[static_cast<std::size_t>(Most - Demands.begin())] += Left;
  return Result;
}

} // namespace banyanpick
