#include "plugins/enginelimits/LimitState.h"

#include <cmath>
#include <limits>

namespace banyanpick {

namespace {

double rateOf(const LimitReport &Word) {
  return Word.PerSecond.value_or(std::numeric_limits<double>::infinity());
}

} // namespace

bool LimitState::take(const LimitReport &Word) {
  const bool Newer = Word.At > this->Newest.At;
  const bool Stricter =
      Word.At == this->Newest.At && rateOf(Word) < rateOf(this->Newest);
  if (!Newer && !Stricter)
    return false;
  const bool Changed = Word.PerSecond != this->Newest.PerSecond;
  this->Newest = Word;
  return Changed;
}

} // namespace banyanpick
