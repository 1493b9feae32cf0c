#include "plugins/engineload/EngineSlowdowns.h"

#include <algorithm>
#include <cmath>

namespace banyanpick {

namespace {

/// Smaller slowdowns are within the error of the model and are ignored.
constexpr double SlowThreshold = 1.15;

/// Lower bound of the factor. Engines are hardly faster than declared, and a
/// factor of zero would make work free.
constexpr double MinFactor = 0.5;

} // namespace

bool EngineSlowdowns::noteLate(const UpstreamId &Engine, Time Now) {
  Record &Slowdown = this->ById[Engine];
  const bool Soon = Now < Slowdown.AskedAt + this->Limits.AskInterval ||
                    Now < this->AskedAt + this->Limits.MinPause;
  if (Soon)
    return false;
  Slowdown.AskedAt = Now;
  this->AskedAt = Now;
  return true;
}

std::vector<UpstreamId> EngineSlowdowns::due(Time Now) {
  std::vector<UpstreamId> Result;
  for (auto &[Id, Slowdown] : this->ById) {
    if (!Slowdown.Own || !this->isSlow(Slowdown, Now) ||
        Now < Slowdown.AskedAt + this->Limits.AskInterval)
      continue;
    Slowdown.AskedAt = Now;
    Result.push_back(Id);
  }
  return Result;
}

Time EngineSlowdowns::nextDue() const {
  Time Result = Never;
  for (const auto &[Id, Slowdown] : this->ById)
    if (Slowdown.Own && Slowdown.Factor >= SlowThreshold)
      Result = std::min(Result, Slowdown.AskedAt + this->Limits.AskInterval);
  return Result;
}

bool EngineSlowdowns::takeReport(const EngineReport &Report, Time Now) {
  Record &Slowdown = this->ById[Report.Engine];
  const double Before = Slowdown.Own ? Slowdown.Factor : 1;
  Slowdown.Factor = std::max(Report.Slowdown, MinFactor);
  Slowdown.HeardAt = Now;
  Slowdown.Own = true;
  constexpr double MinChange = 0.1;
  return std::abs(Slowdown.Factor - Before) >= MinChange;
}

void EngineSlowdowns::takePeer(const EngineWork::Slowdown &Reported, Time Now) {
  EngineSlowdowns::Record &Slowdown = this->ById[Reported.Engine];
  // The engine's own report to this host is at least as new.
  if (Slowdown.Own && Now < Slowdown.HeardAt + this->Limits.AskInterval)
    return;
  Slowdown.Factor = std::max(Reported.Factor, MinFactor);
  Slowdown.HeardAt = Now;
  Slowdown.Own = false;
}

double EngineSlowdowns::factorOf(const UpstreamId &Engine, Time Now) const {
  const auto Found = this->ById.find(Engine);
  return Found != this->ById.end() && this->isSlow(Found->second, Now)
             ? Found->second.Factor
             : 1;
}

std::vector<EngineWork::Slowdown> EngineSlowdowns::own(Time Now) const {
  std::vector<EngineWork::Slowdown> Result;
  for (const auto &[Id, Slowdown] : this->ById)
    if (Slowdown.Own && this->isSlow(Slowdown, Now))
      Result.push_back({Id, Slowdown.Factor});
  return Result;
}

bool EngineSlowdowns::isSlow(const Record &Slowdown, Time Now) const {
  return Slowdown.Factor >= SlowThreshold &&
         Now < Slowdown.HeardAt + this->Limits.Ttl;
}

} // namespace banyanpick
