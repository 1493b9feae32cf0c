/// \file
/// Remembers which contents were answered without harm to their upstreams.
#pragma once

#include "base/StrongId.h"
#include "base/Time.h"

#include <cstdint>
#include <map>
#include <optional>

namespace banyanpick {

/// When answers to each content that did no harm began. Callers choose the
/// parts of their prompts, so the number of contents is bounded; those that
/// were answered only once are forgotten first.
class HarmlessAnswers {
public:
  /// The most contents that are remembered, about half a megabyte.
  static constexpr std::size_t MaxContents = 4096;

  struct Answers {
    Time NewestBeganAt{};
    std::optional<Time> ToldAt; ///< Begin of the newest one that peers know of.
    std::uint32_t Count = 0;
  };

  void note(Fingerprint Content, Time BeganAt);
  /// Peers know of an answer to a remembered content that began at \p BeganAt.
  void setTold(Fingerprint Content, Time BeganAt);
  /// Returns null if no answer to the content is known.
  const Answers *find(Fingerprint Content) const;
  std::size_t size() const { return this->ByContent.size(); }

private:
  void prune();

  std::map<Fingerprint, Answers> ByContent;
};

} // namespace banyanpick
