/// \file
/// Tracks contents that crashed the upstreams on which they ran. A content is a
/// whole request or a part of a prompt that several requests share.
#pragma once

#include "kernel/PeerMessage.h"
#include "plugins/crashes/HarmlessAnswers.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace banyanpick {

/// A content that ran on an upstream when the upstream died.
struct Crash {
  Fingerprint Content;
  UpstreamId Engine;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang 14 misreads defaults.
  auto operator<=>(const Crash &) const = default;
};

/// The circumstances of a crash.
struct CrashEvidence {
  Time SentAt{};    ///< When the attempt was sent to the upstream.
  Time CrashedAt{}; ///< When its connection was lost.
  ProbeKind Probe = ProbeKind::None;
};

/// A crash that the death of its upstream confirmed.
struct ConfirmedCrash {
  Crash Observed;
  CrashEvidence Evidence;
};

/// What the evidence says of a content.
enum class CrashVerdict {
  Sound,
  Suspected, ///< It may be the cause of crashes; a probe decides.
  Proven,    ///< It crashed upstreams again and again, and nothing else did.
};

/// A verdict with the evidence for and against it.
struct Judgement {
  CrashVerdict Verdict = CrashVerdict::Sound;
  std::size_t Crashes = 0; ///< That no harmless answer refutes.
  /// Of these, in sequence, those whose attempt was sent after the crash
  /// before.
  std::size_t Repetitions = 0;
  /// A content that was less often harmless and explains the crashes as well.
  std::optional<Fingerprint> BetterSuspect;
  bool HasEqualSuspect = false; ///< Another content explains them as well.
  bool FailedAsProbe = false;   ///< A probe of this content alone crashed.
};

/// Limits of a CrashTracker.
struct CrashLimits {
  std::size_t QuarantineThreshold = 0; ///< Upstreams that a content crashed.
  /// The longest time from a lost connection to the death that confirms it.
  Duration SuspicionLifetime{};
  Duration RetentionTime{}; ///< Since the last crash of a content.
  /// A content that was answered without harm is not counted as the cause of
  /// crashes until so long after that answer began.
  Duration HarmlessLifetime{};
};

/// Finds the contents that crash upstreams. A lost connection is only a
/// suspicion; the upstream's death confirms it as a crash.
///
/// Crashes alone prove nothing. Upstreams also die of other causes, several at
/// once, and contents that many requests share, such as the first parts of
/// prompts, run beside the cause of every crash. So the crashes of a content
/// count only from the last answer to it that did no harm; a crash that a
/// content with less harmless answers explains as well does not count; and
/// crashes are independent only if the content was sent again after each one.
///
/// A verdict prevents its own refutation, as nothing that it concerns is sent.
/// So probes are sent: one request with the content at a time, seldom if it
/// crashes again.
class CrashTracker {
public:
  /// The most contents of which crashes are remembered.
  static constexpr std::size_t MaxContents = 4096;

  CrashTracker() = default;
  explicit CrashTracker(const CrashLimits &Limits) : Limits(Limits) {}

  /// The connection was lost of an attempt that was sent at
  /// \p Evidence.SentAt.
  void addSuspicion(const Crash &Observed, const CrashEvidence &Evidence);
  /// Called when an upstream has died. Returns the newly confirmed crashes.
  std::vector<ConfirmedCrash> confirm(const UpstreamId &Engine, Time Now);
  /// Adds a confirmed crash. Returns whether it is new.
  bool add(const ConfirmedCrash &Found, Time Now);

  /// An answer to the content that began at \p BeganAt did no harm. Returns
  /// whether this ends the content's quarantine.
  bool noteHarmless(Fingerprint Content, Time BeganAt);
  /// The same, as a peer reported it.
  bool takeHarmless(Fingerprint Content, Time BeganAt);
  /// Returns when the newest harmless answer that peers need to know of began,
  /// or nothing. Peers need to know of it if one more crash could quarantine
  /// the content. Returns each time only once.
  std::optional<Time> takeHarmlessToTell(Fingerprint Content);
  /// Returns what is known of answers to the content that did no harm, or null.
  const HarmlessAnswers::Answers *harmlessAnswers(Fingerprint Content) const {
    return this->Harmless.find(Content);
  }

  Judgement judge(Fingerprint Content) const;
  /// Returns how many upstreams the content crashed that no harmless answer
  /// refutes.
  std::size_t crashCount(Fingerprint Content) const;
  /// Whether the content is suspected or proven to be a cause.
  bool isQuarantined(Fingerprint Content) const {
    return this->judge(Content).Verdict != CrashVerdict::Sound;
  }
  /// Whether evidence against any content is known.
  bool isEmpty() const { return this->Records.empty(); }
  /// Returns when a request with this and \p Others more suspected contents may
  /// be sent as their probe. The fewer it has, the sooner, as the result of
  /// that probe says more.
  Time nextProbeAt(Fingerprint Content, std::size_t Others) const;

  /// Returns the verdict that this host is to store, once for each verdict: the
  /// content is quarantined, and this host found one of its crashes.
  std::optional<CrashVerdict> takeToStore(Fingerprint Content);
  /// Returns, once, whether this host has stored a quarantine of the content
  /// that has ended.
  bool takeEnded(Fingerprint Content);
  /// Quarantines a content whose crashes an earlier process counted.
  void restore(Fingerprint Content, CrashVerdict Verdict, Time Now);
  /// Returns the crashes that no harmless answer refutes.
  std::vector<ConfirmedCrash> openCrashes() const;
  /// Removes expired suspicions and records. Returns the contents that are no
  /// longer quarantined.
  std::vector<Fingerprint> removeExpired(Time Now);

private:
  struct Record {
    std::map<UpstreamId, CrashEvidence> Crashes; ///< By upstream.
    Time LastAt{};
    bool IsFoundHere = false; ///< This host confirmed one of its crashes.
    /// The verdict of this host that is in the store.
    CrashVerdict Stored = CrashVerdict::Sound;
    /// The verdict of an earlier process, whose evidence is gone.
    CrashVerdict Restored = CrashVerdict::Sound;
    Time RestoredAt{};
  };

  /// A crash that no harmless answer refutes.
  struct OpenCrash {
    UpstreamId Engine;
    CrashEvidence Evidence;
  };

  /// Returns the open crashes of the content, the oldest first.
  std::vector<OpenCrash> openCrashes(Fingerprint Content,
                                     const Record &Entry) const;
  /// Compares the content with others that explain its crashes. Returns how
  /// many of them no better suspect explains.
  std::size_t compareWithOthers(Fingerprint Content,
                                const std::vector<OpenCrash> &Open,
                                Judgement &Result) const;
  /// Whether \p First is a better explanation of crashes than \p Second.
  bool isBetterSuspect(Fingerprint First, Fingerprint Second) const;
  /// Since when the content has been quarantined, if it is.
  Time quarantinedAt(const Record &Entry,
                     const std::vector<OpenCrash> &Open) const;
  /// Removes records once there are too many.
  void limitRecords();

  CrashLimits Limits;
  std::map<Crash, CrashEvidence> Suspicions;
  std::map<Fingerprint, Record> Records;
  /// The contents that crashed enough upstreams to be quarantined.
  std::set<Fingerprint> Candidates;
  HarmlessAnswers Harmless;
};

} // namespace banyanpick
