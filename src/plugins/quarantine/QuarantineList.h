/// \file
/// The quarantined contents, as decided on any host. Decisions may arrive in
/// any order and repeatedly. The latest decision wins.
#pragma once

#include "base/StrongId.h"
#include "base/Time.h"

#include <map>
#include <optional>
#include <vector>

namespace banyanpick {

/// A content that may not run before Until.
struct QuarantinedContent {
  Fingerprint Content;
  std::uint32_t Crashes = 0;
  Time Until{};
};

class QuarantineList {
public:
  /// \p Length is the duration of a quarantine. It must be equal on all hosts,
  /// because the time of a decision is computed from its end.
  explicit QuarantineList(Duration Length) : Length(Length) {}

  /// Quarantines the content from \p Now on.
  QuarantinedContent add(Fingerprint Content, std::uint32_t Crashes, Time Now);
  /// Releases the content from \p Now on. An earlier quarantine is void, even
  /// if its notice arrives later.
  QuarantinedContent release(Fingerprint Content, Time Now);
  /// Merges a decision of another host. Returns whether anything changed.
  bool merge(const QuarantinedContent &Received, Time Now);

  bool isQuarantined(Fingerprint Content, Time Now) const;
  std::optional<Time> quarantinedUntil(Fingerprint Content, Time Now) const;
  /// Returns the contents that are quarantined now, ordered by content.
  std::vector<QuarantinedContent> all(Time Now) const;

  void prune(Time Now);

private:
  struct Decision {
    std::uint32_t Crashes = 0; ///< 0 if released.
    Time DecidedAt{};
    Time Until{};
  };

  Duration Length;
  std::map<Fingerprint, Decision> Decisions;
};

} // namespace banyanpick
