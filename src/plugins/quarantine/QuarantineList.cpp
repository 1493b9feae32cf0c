#include "plugins/quarantine/QuarantineList.h"

namespace banyanpick {

QuarantinedContent QuarantineList::add(Fingerprint Content,
                                       std::uint32_t Crashes, Time Now) {
  const Time Until = Now + this->Length;
  this->Decisions[Content] = {Crashes, Now, Until};
  return {Content, Crashes, Until};
}

QuarantinedContent QuarantineList::release(Fingerprint Content, Time Now) {
  this->Decisions[Content] = {0, Now, Now};
  return {Content, 0, Now};
}

bool QuarantineList::merge(const QuarantinedContent &Received, Time Now) {
  const bool IsRelease = Received.Crashes == 0;
  const Time DecidedAt =
      IsRelease ? Received.Until : Received.Until - this->Length;
  // A decision older than the length of a quarantine has no effect.
  if (DecidedAt + this->Length <= Now)
    return false;
  const auto [Found, IsNew] = this->Decisions.try_emplace(Received.Content);
  Decision &Latest = Found->second;
  const bool IsLater =
      DecidedAt > Latest.DecidedAt ||
      (DecidedAt == Latest.DecidedAt && IsRelease && Latest.Crashes > 0);
  if (!IsNew && !IsLater)
    return false;
  Latest = {Received.Crashes, DecidedAt, Received.Until};
  return true;
}

bool QuarantineList::isQuarantined(Fingerprint Content, Time Now) const {
  return this->quarantinedUntil(Content, Now).has_value();
}

std::optional<Time> QuarantineList::quarantinedUntil(Fingerprint Content,
                                                     Time Now) const {
  const auto Found = this->Decisions.find(Content);
  if (Found == this->Decisions.end())
    return std::nullopt;
  const Decision &Latest = Found->second;
  if (Latest.Crashes == 0 || Latest.Until <= Now)
    return std::nullopt;
  return Latest.Until;
}

std::vector<QuarantinedContent> QuarantineList::all(Time Now) const {
  std::vector<QuarantinedContent> Result;
  for (const auto &[Content, Latest] : this->Decisions) {
    if (this->isQuarantined(Content, Now))
      Result.push_back({Content, Latest.Crashes, Latest.Until});
  }
  return Result;
}

void QuarantineList::prune(Time Now) {
  std::erase_if(this->Decisions, [&](const auto &Entry) {
    return Entry.second.DecidedAt + this->Length <= Now;
  });
}

} // namespace banyanpick
