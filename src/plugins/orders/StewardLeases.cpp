#include "plugins/orders/StewardLeases.h"

#include <algorithm>
#include <tuple>

namespace banyanpick {

namespace {

/// The holder's part of its lease.
constexpr int UsedShare = 2;

} // namespace

void StewardLeases::noteAsked(const UpstreamId &Engine, const RecordId &Record,
                              Time Now) {
  EngineLease &Of = this->Engines[Engine];
  Of.Asked = Record;
  Of.AskedAt = Now;
}

void StewardLeases::noteRefused(const RecordId &Record) {
  for (auto &[Engine, Each] : this->Engines)
    if (Each.Asked == Record)
      Each.Asked = RecordId();
}

void StewardLeases::noteRead(const StoredRecord &Record, Time Now) {
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
  const bool IsAwaited = IsOwn && Of.Asked == Record.Record.Id;
  Of.IsOwn = IsAwaited;
  Of.UsableUntil = IsAwaited ? Of.AskedAt + Lease->Length / UsedShare : Time{};
  if (IsAwaited)
    Of.Asked = RecordId();
}

void StewardLeases::noteMissed(Time Now) {
  this->MissedUntil = Now + this->Terms.Length + this->Terms.LongestDelivery;
}

void StewardLeases::drop(const UpstreamId &Engine) {
  this->Engines[Engine].IsOwn = false;
}

std::optional<OrderWindow> StewardLeases::window(const UpstreamId &Engine,
                                                 bool ChecksFencing,
                                                 Time Now) const {
  const auto Found = this->Engines.find(Engine);
  if (Found == this->Engines.end())
    return std::nullopt;
  const EngineLease &Of = Found->second;
  const bool Usable = Of.IsOwn && Now < Of.UsableUntil;
  const bool Alone = ChecksFencing || Now >= this->othersUntil(Of);
  if (!Usable || !Alone)
    return std::nullopt;
  return OrderWindow{Of.Offset, Of.UsableUntil};
}

bool StewardLeases::shouldAsk(const UpstreamId &Engine, bool ChecksFencing,
                              Time Now) const {
  const auto Found = this->Engines.find(Engine);
  const EngineLease Of =
      Found == this->Engines.end() ? EngineLease{} : Found->second;
  // A lease asked for earlier would run out while waiting for the others.
  if (!ChecksFencing && Now < this->othersUntil(Of))
    return false;
  const bool OnItsWay =
      Of.Asked != RecordId() && Now < Of.AskedAt + this->Terms.Length;
  return !OnItsWay && !(Of.IsOwn && Now < Of.UsableUntil);
}

Time StewardLeases::othersUntil(const EngineLease &Of) const {
  return std::max(Of.OthersUntil, this->MissedUntil);
}

} // namespace banyanpick
