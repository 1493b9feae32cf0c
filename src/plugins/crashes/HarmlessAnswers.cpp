#include "plugins/crashes/HarmlessAnswers.h"

#include <algorithm>
#include <vector>

namespace banyanpick {

void HarmlessAnswers::note(Fingerprint Content, Time BeganAt) {
  Answers &Known = this->ByContent[Content];
  Known.NewestBeganAt = std::max(Known.NewestBeganAt, BeganAt);
  ++Known.Count;
  if (this->ByContent.size() > MaxContents)
    this->prune();
}

void HarmlessAnswers::setTold(Fingerprint Content, Time BeganAt) {
  const auto Found = this->ByContent.find(Content);
  if (Found == this->ByContent.end())
    return;
  std::optional<Time> &ToldAt = Found->second.ToldAt;
  ToldAt = std::max(ToldAt.value_or(BeganAt), BeganAt);
}

const HarmlessAnswers::Answers *
HarmlessAnswers::find(Fingerprint Content) const {
  const auto Found = this->ByContent.find(Content);
  return Found == this->ByContent.end() ? nullptr : &Found->second;
}

void HarmlessAnswers::prune() {
  std::erase_if(this->ByContent,
                [](const auto &Entry) { return Entry.second.Count == 1; });
  if (this->ByContent.size() <= MaxContents / 2)
    return;
  std::vector<Time> Begins;
  Begins.reserve(this->ByContent.size());
  for (const auto &[Content, Known] : this->ByContent)
    Begins.push_back(Known.NewestBeganAt);
  const auto Middle =
      Begins.begin() + static_cast<std::ptrdiff_t>(Begins.size() / 2);
  std::ranges::nth_element(Begins, Middle);
  std::erase_if(this->ByContent, [Oldest = *Middle](const auto &Entry) {
    return Entry.second.NewestBeganAt <= Oldest;
  });
}

} // namespace banyanpick
