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

bool QuarantineList::merge(const QuarantinedContent &Told, Time Now) {
  const bool IsRelease = Told.Crashes == 0;
  const Time DecidedAt = IsRelease ? Told.Until : Told.Until - this->Length;
  // Nothing older than a quarantine's length can still have an effect.
  if (DecidedAt + this->Length <= Now)
    return false;
  const auto [Found, IsNew] = this->Decisions.try_emplace(Told.Content);
  Decision &Known = Found->second;
  const bool IsLater =
      DecidedAt > Known.DecidedAt ||
      (DecidedAt == Known.DecidedAt && IsRelease && Known.Crashes > 0);
  if (!IsNew && !IsLater)
    return false;
  Known = {Told.Crashes, DecidedAt, Told.Until};
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
  const Decision &Known = Found->second;
  if (Known.Crashes == 0 || Known.Until <= Now)
    return std::nullopt;
  return Known.Until;
}

std::vector<QuarantinedContent> QuarantineList::all(Time Now) const {
  std::vector<QuarantinedContent> Result;
  for (const auto &[Content, Known] : this->Decisions) {
    if (this->isQuarantined(Content, Now))
      Result.push_back({Content, Known.Crashes, Known.Until});
  }
  return Result;
}

void QuarantineList::prune(Time Now) {
  std::erase_if(this->Decisions, [&](const auto &Each) {
    return Each.second.DecidedAt + this->Length <= Now;
  });
}

} // namespace banyanpick
