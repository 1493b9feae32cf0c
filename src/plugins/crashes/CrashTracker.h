/// \file
/// Tracks contents that crashed the upstreams on which they ran. A content is a
/// whole request or a part of a prompt that several requests share.
#pragma once

#include "base/StrongId.h"
#include "base/Time.h"

#include <map>
#include <optional>
#include <vector>

namespace banyanpick {

/// A content that ran on an upstream when the upstream died.
struct Crash {
  Fingerprint Content;
  UpstreamId Engine;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang 14 misreads defaults.
  auto operator<=>(const Crash &) const = default;
};

/// A crash that the death of its upstream confirmed.
struct ConfirmedCrash {
  Crash Observed;
  Duration SuspectedFor{}; ///< Time from the lost connection to the evidence.
};

/// Limits of a CrashTracker.
struct CrashLimits {
  std::size_t QuarantineThreshold = 0; ///< Upstreams that a content crashed.
  /// The longest time from a lost connection to the death that confirms it.
  Duration SuspicionLifetime{};
  Duration RetentionTime{}; ///< Since the last crash of a content.
  /// A content whose answer began and was completed is not counted as the cause
  /// of crashes until so long after that answer began.
  Duration HarmlessLifetime{};
};

/// Counts the upstreams that each content crashed. A lost connection is only a
/// suspicion; the upstream's death confirms it as a crash. Unaffected contents
/// that ran beside the cause do not run on the next upstream that dies, so only
/// the count of the cause rises. Contents that many requests share, such as the
/// first parts of prompts, do run beside the cause again and again. Their
/// complete answers show that they are harmless.
class CrashTracker {
public:
  CrashTracker() = default;
  explicit CrashTracker(const CrashLimits &Limits) : Limits(Limits) {}

  void addSuspicion(const Crash &Observed, Time Now);
  /// Called when an upstream has died. Returns the newly confirmed crashes.
  std::vector<ConfirmedCrash> confirm(const UpstreamId &Engine, Time Now);
  /// Adds a confirmed crash. Returns whether it is new.
  bool add(const Crash &Observed, Time Now);

  /// An answer to the content that began at \p BeganAt was completed. Returns
  /// whether this ends the content's quarantine.
  bool noteHarmless(Fingerprint Content, Time BeganAt, Time Now);
  /// The same, as a peer reported it.
  bool takeHarmless(Fingerprint Content, Time BeganAt, Time Now);
  /// Returns when the newest harmless answer that peers need to know of began,
  /// or nothing. Peers need to know of it if one more crash could quarantine
  /// the content. Returns each time only once.
  std::optional<Time> takeHarmlessToTell(Fingerprint Content);

  /// Returns how many upstreams the content crashed.
  std::size_t crashCount(Fingerprint Content) const;
  bool isQuarantined(Fingerprint Content) const;
  /// Returns, once, that this host is to store the quarantine of the content:
  /// it is quarantined, and this host found one of its crashes.
  bool takeToStore(Fingerprint Content);
  /// Quarantines a content whose crashes an earlier process counted.
  void restore(Fingerprint Content, Time Now);
  std::vector<Crash> confirmedCrashes() const;
  /// Removes expired suspicions and records. Returns the contents that are no
  /// longer quarantined.
  std::vector<Fingerprint> removeExpired(Time Now);

private:
  struct Record {
    std::map<UpstreamId, Time> CrashedAt;
    Time LastAt{};
    bool IsFoundHere = false; ///< This host confirmed one of its crashes.
    bool IsStored = false;    ///< This host has stored its quarantine.
    bool IsRestored = false;  ///< Its crashes were before this process.
  };

  /// When answers to a content that were completed began.
  struct Harmless {
    Time BeganAt{}; ///< The newest one.
    Time ToldAt{};  ///< The newest one that peers know of.
  };

  bool add(const Crash &Observed, Time CrashedAt, Time Now);
  /// Returns how many crashes no harmless answer refutes.
  std::size_t countOf(Fingerprint Content, const Record &Entry) const;
  bool isQuarantined(Fingerprint Content, const Record &Entry) const;
  /// Removes harmless answers that refute no crash any more.
  void removeOldAnswers(Time Now);

  CrashLimits Limits;
  std::map<Crash, Time> Suspicions;
  std::map<Fingerprint, Record> Records;
  std::map<Fingerprint, Harmless> HarmlessAnswers;
  Time AnswersRemovedAt{};
};

} // namespace banyanpick
