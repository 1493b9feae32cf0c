#include "standins/Workload.h"

#include "base/Random.h"
#include "standins/WireText.h"

#include <algorithm>
#include <array>

namespace banyanpick::standins {

namespace {

constexpr std::uint64_t BytesPerToken = 4;

/// Maximum prompt length in tokens of the class "short".
constexpr std::uint64_t MaxShortPrompt = 8'000;

/// A range of prompt lengths in tokens, with its share per 1,000 model
/// requests.
struct LengthBand {
  std::uint64_t Share;
  std::uint64_t MinLength;
  std::uint64_t MaxLength;
};
constexpr std::array<LengthBand, 5> LengthBands{{{650, 1'000, 8'000},
                                                 {250, 8'001, 40'000},
                                                 {80, 40'001, 100'000},
                                                 {15, 100'001, 400'000},
                                                 {5, 400'001, 1'000'000}}};

/// On average, one of this many requests is a confirmation.
constexpr std::uint64_t ConfirmationsOneIn = 5;

/// One of this many requests has a prompt of MaxPrompt tokens, independent of
/// the drawn length, unless it is a confirmation. A random draw alone might
/// never send the longest prompt.
constexpr std::uint64_t MaxPromptOneIn = 150;
constexpr std::uint64_t MaxPrompt = 1'000'000;

std::uint64_t drawLength(Random &Rng) {
  std::uint64_t Draw = Rng.below(1'000);
  for (const LengthBand &Band : LengthBands) {
    if (Draw < Band.Share)
      return Band.MinLength + Rng.below(Band.MaxLength - Band.MinLength + 1);
    Draw -= Band.Share;
  }
  return LengthBands.front().MinLength;
}

void makeConfirmation(WorkItem &Item, Random &Rng) {
  Item.Kind = WorkKind::Confirmation;
  Item.Class = "confirm";
  const std::uint64_t Draw = Rng.below(3);
  Item.SentTwice = Draw == 0;
  Item.SentAfterAnswer = Draw == 1;
}

void makePrompt(WorkItem &Item, Random &Rng) {
  Item.Kind = Rng.below(3) == 0 ? WorkKind::Unstreamed : WorkKind::Streamed;
  Item.PromptTokens = drawLength(Rng);
  if (Item.Number % MaxPromptOneIn == MaxPromptOneIn / 3)
    Item.PromptTokens = MaxPrompt;
  Item.Class = Item.PromptTokens <= MaxShortPrompt ? "short" : "long";
  Item.OutputTokens = 8 + Rng.below(120);
}

} // namespace

std::vector<WorkItem> makeWorkload(std::uint64_t Seed, std::uint64_t Count,
                                   std::size_t Teams, Duration Span) {
  Random Rng(Seed);
  std::vector<WorkItem> Items(Count);
  for (std::uint64_t I = 0; I < Count; ++I) {
    WorkItem &Item = Items[I];
    Item.Number = I;
    Item.Team = Rng.below(Teams);
    Item.StartAfter =
        Span * static_cast<std::int64_t>(I) / static_cast<std::int64_t>(Count);
    if (Rng.below(ConfirmationsOneIn) == 0)
      makeConfirmation(Item, Rng);
    else
      makePrompt(Item, Rng);
  }
  return Items;
}

std::string promptOf(const WorkItem &Item) {
  const std::string Phrase = fmt::format("request {} asks; ", Item.Number);
  const std::size_t Length = Item.PromptTokens * BytesPerToken;
  std::string Prompt;
  Prompt.reserve(Length + Phrase.size());
  while (Prompt.size() < Length)
    Prompt += Phrase;
  Prompt.resize(Length);
  return Prompt;
}

std::string makeOperationKey(Time Now, std::uint64_t Random) {
  const auto Milliseconds = static_cast<std::uint64_t>(toMilliseconds(Now));
  return fmt::format("{:08x}-{:04x}-7{:03x}-8{:03x}-{:012x}",
                     Milliseconds >> 16, Milliseconds & 0xffff, Random & 0xfff,
                     (Random >> 12) & 0xfff, Random >> 24 & 0xffffffffffff);
}

} // namespace banyanpick::standins
