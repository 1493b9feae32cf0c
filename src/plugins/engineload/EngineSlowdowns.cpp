#include "plugins/engineload/EngineSlowdowns.h"

#include <algorithm>
#include <cmath>

namespace banyanpick {

namespace {

/// A pace nearer to the declared one is as good as that: model error.
constexpr double SlowFrom = 1.15;

/// Nobody works faster than declared by much; zero would make work free.
constexpr double Fastest = 0.5;

} // namespace

bool EngineSlowdowns::noteLate(const UpstreamId &Engine, Time Now) {
  Seen &Of = this->ById[Engine];
  const bool Soon = Now < Of.AskedAt + this->Limits.AskInterval ||
                    Now < this->AskedAt + this->Limits.MinPause;
  if (Soon)
    return false;
  Of.AskedAt = Now;
  this->AskedAt = Now;
  return true;
}

std::vector<UpstreamId> EngineSlowdowns::due(Time Now) {
  std::vector<UpstreamId> Result;
  for (auto &[Id, Of] : this->ById) {
    if (!Of.Own || !this->isSlow(Of, Now) ||
        Now < Of.AskedAt + this->Limits.AskInterval)
      continue;
    Of.AskedAt = Now;
    Result.push_back(Id);
  }
  return Result;
}

Time EngineSlowdowns::nextDue() const {
  Time Result = Never;
  for (const auto &[Id, Of] : this->ById)
    if (Of.Own && Of.Factor >= SlowFrom)
      Result = std::min(Result, Of.AskedAt + this->Limits.AskInterval);
  return Result;
}

bool EngineSlowdowns::takeReport(const EngineReport &Report, Time Now) {
  Seen &Of = this->ById[Report.Engine];
  const double Before = Of.Own ? Of.Factor : 1;
  Of.Factor = std::max(Report.Slowdown, Fastest);
  Of.HeardAt = Now;
  Of.Own = true;
  constexpr double News = 0.1;
  return std::abs(Of.Factor - Before) >= News;
}

void EngineSlowdowns::takePeer(const EngineWork::Slowdown &Seen, Time Now) {
  EngineSlowdowns::Seen &Of = this->ById[Seen.Engine];
  // What the engine itself told this host lately is at least as new.
  if (Of.Own && Now < Of.HeardAt + this->Limits.AskInterval)
    return;
  Of.Factor = std::max(Seen.Factor, Fastest);
  Of.HeardAt = Now;
  Of.Own = false;
}

double EngineSlowdowns::of(const UpstreamId &Engine, Time Now) const {
  const auto Found = this->ById.find(Engine);
  return Found != this->ById.end() && this->isSlow(Found->second, Now)
             ? Found->second.Factor
             : 1;
}

std::vector<EngineWork::Slowdown> EngineSlowdowns::own(Time Now) const {
  std::vector<EngineWork::Slowdown> Result;
  for (const auto &[Id, Of] : this->ById)
    if (Of.Own && this->isSlow(Of, Now))
      Result.push_back({Id, Of.Factor});
  return Result;
}

bool EngineSlowdowns::isSlow(const Seen &Of, Time Now) const {
  return Of.Factor >= SlowFrom && Now < Of.HeardAt + this->Limits.Keep;
}

} // namespace banyanpick
