#include "plugins/orders/LeaderLeases.h"

#include <algorithm>
#include <tuple>

namespace banyanpick {

namespace {

/// The holder uses its lease for the lease's length divided by this.
constexpr int UsableDivisor = 2;

} // namespace

void LeaderLeases::noteRequested(const UpstreamId &Engine,
                                 const RecordId &Record, Time Now) {
  EngineLease &Lease = this->Engines[Engine];
  Lease.PendingRecord = Record;
  Lease.RequestedAt = Now;
}

void LeaderLeases::noteRefused(const RecordId &Record) {
  for (auto &[Engine, Lease] : this->Engines)
    if (Lease.PendingRecord == Record)
      Lease.PendingRecord = RecordId();
}

void LeaderLeases::noteRead(const StoredRecord &Record, Time Now) {
  const auto *Lease = std::get_if<LeaderLease>(&Record.Record.Body);
  if (!Lease)
    return;
  EngineLease &State = this->Engines[Lease->Engine];
  const bool IsOwn = Lease->LeaderLife == this->Self;
  if (!IsOwn)
    State.OthersUntil = std::max(
        State.OthersUntil, Now + Lease->Length + this->Terms.LongestDelivery);
  const bool IsLater = std::tie(Record.Offset, Record.Position) >
                       std::tie(State.Offset, State.Position);
  if (!IsLater)
    return;
  State.Offset = Record.Offset;
  State.Position = Record.Position;
  const bool IsAwaited = IsOwn && State.PendingRecord == Record.Record.Id;
  State.IsOwn = IsAwaited;
  State.UsableUntil =
      IsAwaited ? State.RequestedAt + Lease->Length / UsableDivisor : Time{};
  if (IsAwaited)
    State.PendingRecord = RecordId();
}

void LeaderLeases::noteMissedRecords(Time Now) {
  this->MissedUntil = Now + this->Terms.Length + this->Terms.LongestDelivery;
}

void LeaderLeases::invalidate(const UpstreamId &Engine) {
  this->Engines[Engine].IsOwn = false;
}

std::optional<OrderWindow> LeaderLeases::window(const UpstreamId &Engine,
                                                bool ChecksFencing,
                                                Time Now) const {
  const auto Found = this->Engines.find(Engine);
  if (Found == this->Engines.end())
    return std::nullopt;
  const EngineLease &Lease = Found->second;
  const bool IsUsable = Lease.IsOwn && Now < Lease.UsableUntil;
  const bool IsExclusive = ChecksFencing || Now >= this->othersUntil(Lease);
  if (!IsUsable || !IsExclusive)
    return std::nullopt;
  return OrderWindow{Lease.Offset, Lease.UsableUntil};
}

bool LeaderLeases::shouldRequest(const UpstreamId &Engine, bool ChecksFencing,
                                 Time Now) const {
  const auto Found = this->Engines.find(Engine);
  const EngineLease Lease =
      Found == this->Engines.end() ? EngineLease{} : Found->second;
  // A lease requested earlier would expire while this host waits for the
  // leases of other hosts to end.
  if (!ChecksFencing && Now < this->othersUntil(Lease))
    return false;
  const bool IsPending = Lease.PendingRecord != RecordId() &&
                         Now < Lease.RequestedAt + this->Terms.Length;
  return !IsPending && !(Lease.IsOwn && Now < Lease.UsableUntil);
}

Time LeaderLeases::othersUntil(const EngineLease &Lease) const {
  return std::max(Lease.OthersUntil, this->MissedUntil);
}

} // namespace banyanpick
