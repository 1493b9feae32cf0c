#include "catalogue/CatalogueText.h"
#include "auto/catalogue/Samples.h"
#include "base/Error.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace banyanpick {
namespace {

/// Any bytes that are UTF-8; names are not restricted here.
std::string anyText() {
  return *rc::gen::container<std::string>(rc::gen::inRange<char>(0, 127));
}

Duration anyDuration() {
  return Duration(*rc::gen::inRange<std::int64_t>(0, 86'400'000'000));
}

EntryBody anyBody(EntryKind Kind) {
  const auto Whole = [] { return *rc::gen::arbitrary<std::uint32_t>(); };
  if (Kind == EntryKind::Owner)
    return OwnerEntry{KeyDigest{anyText()}};
  if (Kind == EntryKind::Model)
    return ModelEntry{anyText(), *rc::gen::arbitrary<std::uint64_t>(), Whole(),
                      Whole()};
  if (Kind == EntryKind::Class)
    return ClassEntry{Whole() % 2 ? TargetKind::Model : TargetKind::Application,
                      anyText(),
                      *rc::gen::arbitrary<std::uint64_t>(),
                      Whole(),
                      anyDuration(),
                      anyDuration(),
                      anyDuration(),
                      anyDuration(),
                      Whole(),
                      Whole() % 2 == 0};
  TeamEntry Team{
      KeyDigest{anyText()}, Whole() / 7.0, Whole(), Whole(), Whole(), {}};
  for (std::uint32_t Left = Whole() % 4; Left > 0; --Left)
    Team.Classes.push_back(ClassId(anyText()));
  return Team;
}

EntryMap anyEntries() {
  EntryMap Result;
  for (int Left = *rc::gen::inRange(0, 6); Left > 0; --Left) {
    const auto Kind = static_cast<EntryKind>(*rc::gen::inRange(0, 4));
    Result[{Kind, anyText()}] = Entry{OwnerId(anyText()), anyBody(Kind),
                                      *rc::gen::arbitrary<std::uint64_t>()};
  }
  return Result;
}

RC_GTEST_PROP(CatalogueText, IsReadBackWhole, ()) {
  const EntryMap Entries = anyEntries();
  const std::string Text = canonicalText(Entries);
  RC_ASSERT(entriesFromCanonicalText(Text) == Entries);
  RC_ASSERT(canonicalText(entriesFromCanonicalText(Text)) == Text);
}

RC_GTEST_PROP(CatalogueText, RefusesWhatIsCutOrChanged, ()) {
  std::string Text = canonicalText(sampleEntries());
  const auto At = *rc::gen::inRange<std::size_t>(0, Text.size());
  if (*rc::gen::arbitrary<bool>())
    Text.resize(At);
  else
    Text[At] = *rc::gen::arbitrary<char>();
  try {
    entriesFromCanonicalText(Text);
  } catch (const Error &Caught) {
    RC_ASSERT(Caught.kind() == ErrorKind::BadInput);
  }
}

} // namespace
} // namespace banyanpick
