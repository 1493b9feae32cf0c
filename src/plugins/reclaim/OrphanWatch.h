/// \file
/// Memory on engines that nobody needs any more.
#pragma once

#include "kernel/Services.h"

#include <map>
#include <string_view>

namespace banyanpick {

/// How long something must look orphaned before it is freed.
struct OrphanGraces {
  Duration Owner{};    ///< Its owner is dead, or does not know it.
  Duration Deadline{}; ///< Its own deadline is past.
  Duration Unknown{};  ///< Nobody knows its owner.
};

/// Who asks, and whom it may ask.
struct OrphanJudges {
  const MembershipView *Members = nullptr;
  const RequestTable *Requests = nullptr;
  const GroupHolder *Groups = nullptr; ///< May be null.
};

/// Compares what an engine says it holds with the owners' liveness and the
/// deadlines. Freeing is idempotent, so it does no harm when two hosts do it.
class OrphanWatch {
public:
  OrphanWatch() = default;
  OrphanWatch(OrphanJudges Judges, OrphanGraces Graces)
      : Judges(Judges), Graces(Graces) {}

  /// What is to be freed now; each is named again while it stays. \p IsSteward
  /// false: only this host's own memory is judged.
  std::vector<HoldReport> judge(const LoadReport &Report, bool IsSteward,
                                Time Now);
  /// The upstream is gone or has another life.
  void forget(const UpstreamId &Of) { this->Engines.erase(Of); }

private:
  struct Key {
    HoldKind Kind = HoldKind::Stream;
    std::uint64_t OwnerLife = 0;
    std::uint64_t Sequence = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): clang 14 misreads defaults.
    auto operator<=>(const Key &) const = default;
  };
  struct Seen {
    Time FirstAt{};
    Time OrphanSince = Never;
    Time NextTry{};
  };

  /// The grace for what looks orphaned; nothing while it looks needed.
  std::optional<Duration> graceOf(const HoldReport &Hold, const Seen &Record,
                                  bool IsSteward, Time Now) const;
  bool isUnknownHere(const HoldReport &Hold) const;
  std::optional<Duration> graceOfPeer(const HoldReport &Hold,
                                      const Seen &Record) const;

  OrphanJudges Judges;
  OrphanGraces Graces;
  std::map<UpstreamId, std::map<Key, Seen>> Engines;
};

} // namespace banyanpick
