/// \file
/// The contents that may not run, as decided on any host. Decisions may come
/// in any order and repeatedly; the latest wins.
#pragma once

#include "base/StrongId.h"
#include "base/Time.h"

#include <map>
#include <optional>
#include <vector>

namespace banyanpick {

/// A content that may not run until a moment.
struct QuarantinedContent {
  Fingerprint Content;
  std::uint32_t Crashes = 0;
  Time Until{};
};

class QuarantineList {
public:
  /// \p Length is how long a quarantine lasts; the same on all hosts, as the
  /// moment of a decision is worked out from its end.
  explicit QuarantineList(Duration Length) : Length(Length) {}

  /// Quarantined from now on.
  QuarantinedContent add(Fingerprint Content, std::uint32_t Crashes, Time Now);
  /// Free from now on; a quarantine decided earlier is void, also when it is
  /// told later.
  QuarantinedContent release(Fingerprint Content, Time Now);
  /// Somebody else's decision. True when it changed anything.
  bool merge(const QuarantinedContent &Received, Time Now);

  bool isQuarantined(Fingerprint Content, Time Now) const;
  std::optional<Time> quarantinedUntil(Fingerprint Content, Time Now) const;
  /// What is quarantined now, ordered by content.
  std::vector<QuarantinedContent> all(Time Now) const;

  void prune(Time Now);

private:
  struct Decision {
    std::uint32_t Crashes = 0; ///< 0: released.
    Time DecidedAt{};
    Time Until{};
  };

  Duration Length;
  std::map<Fingerprint, Decision> Decisions;
};

} // namespace banyanpick
