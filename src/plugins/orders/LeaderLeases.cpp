#include "plugins/orders/LeaderLeases.h"

#include <algorithm>
#include <tuple>

namespace banyanpick {

namespace {

/// The holder's part of its lease.
constexpr int UsableDivisor = 2;

} // namespace

void LeaderLeases::noteRequested(const UpstreamId &Engine,
                                 const RecordId &Record, Time Now) {
  EngineLease &Of = this->Engines[Engine];
  Of.PendingRecord = Record;
  Of.RequestedAt = Now;
}

void LeaderLeases::noteRefused(const RecordId &Record) {
  for (auto &[Engine, Each] : this->Engines)
    if (Each.PendingRecord == Record)
      Each.PendingRecord = RecordId();
}

void LeaderLeases::noteRead(const StoredRecord &Record, Time Now) {
  const auto *Lease = std::get_if<StewardLease>(&Record.Record.Body);
  if (!Lease)
    return;
  EngineLease &Of = this->Engines[Lease->Engine];
  const bool IsOwn = Lease->LeaderLife == this->Self;
  if (!IsOwn)
    Of.OthersUntil = std::max(Of.OthersUntil, Now + Lease->Length +
                                                  this->Terms.LongestDelivery);
  const bool IsLater = std::tie(Record.Offset, Record.Position) >
                       std::tie(Of.Offset, Of.Position);
  if (!IsLater)
    return;
  Of.Offset = Record.Offset;
  Of.Position = Record.Position;
  const bool IsAwaited = IsOwn && Of.PendingRecord == Record.Record.Id;
  Of.IsOwn = IsAwaited;
  Of.UsableUntil =
      IsAwaited ? Of.RequestedAt + Lease->Length / UsableDivisor : Time{};
  if (IsAwaited)
    Of.PendingRecord = RecordId();
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
  const EngineLease &Of = Found->second;
  const bool IsUsable = Of.IsOwn && Now < Of.UsableUntil;
  const bool IsExclusive = ChecksFencing || Now >= this->othersUntil(Of);
  if (!IsUsable || !IsExclusive)
    return std::nullopt;
  return OrderWindow{Of.Offset, Of.UsableUntil};
}

bool LeaderLeases::shouldRequest(const UpstreamId &Engine, bool ChecksFencing,
                                 Time Now) const {
  const auto Found = this->Engines.find(Engine);
  const EngineLease Of =
      Found == this->Engines.end() ? EngineLease{} : Found->second;
  // A lease asked for earlier would run out while waiting for the others.
  if (!ChecksFencing && Now < this->othersUntil(Of))
    return false;
  const bool IsPending = Of.PendingRecord != RecordId() &&
                         Now < Of.RequestedAt + this->Terms.Length;
  return !IsPending && !(Of.IsOwn && Now < Of.UsableUntil);
}

Time LeaderLeases::othersUntil(const EngineLease &Of) const {
  return std::max(Of.OthersUntil, this->MissedUntil);
}

} // namespace banyanpick
