#include "plugins/crashes/CrashBook.h"

namespace banyanpick {

void CrashBook::suspect(const Crash &Each, Time Now) {
  this->Suspicions[Each] = Now;
}

std::vector<Crash> CrashBook::confirm(const UpstreamId &Engine, Time Now) {
  std::vector<Crash> Result;
  for (const auto &[Each, At] : this->Suspicions)
    if (Each.Engine == Engine && Now <= At + this->SuspectFor)
      Result.push_back(Each);
  std::erase_if(this->Suspicions,
                [&](const auto &Each) { return Each.first.Engine == Engine; });
  std::erase_if(Result,
                [&](const Crash &Each) { return !this->add(Each, Now); });
  return Result;
}

bool CrashBook::add(const Crash &Each, Time Now) {
  Record &Of = this->Records[Each.Content];
  Of.LastAt = Now;
  return Of.Engines.insert(Each.Engine).second;
}

std::size_t CrashBook::crashes(Fingerprint Content) const {
  const auto Found = this->Records.find(Content);
  return Found == this->Records.end() ? 0 : Found->second.Engines.size();
}

std::vector<Crash> CrashBook::all() const {
  std::vector<Crash> Result;
  for (const auto &[Content, Of] : this->Records)
    for (const UpstreamId &Engine : Of.Engines)
      Result.push_back({Content, Engine});
  return Result;
}

void CrashBook::age(Time Now) {
  std::erase_if(this->Suspicions, [&](const auto &Each) {
    return Now > Each.second + this->SuspectFor;
  });
  std::erase_if(this->Records, [&](const auto &Each) {
    return Now > Each.second.LastAt + this->KeepFor;
  });
}

} // namespace banyanpick
