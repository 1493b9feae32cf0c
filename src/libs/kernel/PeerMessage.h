/// \file
/// What entry hosts tell each other. Everything here may be lost, repeated or
/// late; nothing that must last depends on it.
#pragma once

#include "base/StrongId.h"
#include "base/Time.h"
#include "gateway/EngineRecord.h"
#include "kernel/LogRecord.h"
#include "kernel/Upstream.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace banyanpick {

enum class MemberState { Alive, Suspect, Dead, Leaving };

/// What somebody says of a member; the higher incarnation and the worse state
/// win.
struct MemberUpdate {
  HostId Host;
  Incarnation Life;
  std::uint64_t Version = 0; ///< Raised by the member to refute a suspicion.
  MemberState State = MemberState::Alive;
  bool Ready = false; ///< It has begun to admit requests in this life.

  bool operator==(const MemberUpdate &) const = default;
};

/// "I live, and this is how far I am."
struct Heartbeat {
  std::uint64_t Sequence = 0;
  bool Acknowledges = false; ///< An answer to a heartbeat; asks for none.
  ZoneId Zone;
  std::uint64_t Version = 0;
  bool Leaving = false;
  bool Ready = false;    ///< The sender admits requests.
  LogOffset InForce = 0; ///< Catalogue offset in force on the sender.
  Time LogConfirmedAt{}; ///< When the sender last knew that it was current.
  std::vector<MemberUpdate> Updates;
  /// Where the sender is, and some others that it knows, for hosts that find
  /// each other without a host list.
  std::vector<HostListing> KnownHosts;
  /// Changes of the service registry before this offset are known here.
  LogOffset EnginesKnownTo = 0;
  /// Of the registrations that the sender knows; equal digests: equal ones.
  std::uint64_t EnginesDigest = 0;
  /// How long ago a host read the store whose knowledge the sender has; an age,
  /// as hosts' clocks differ. Never: not known.
  Duration StoreAge = Duration::max();
  /// The sender sends and answers heartbeats so much later than it should.
  Duration Late{};

  bool operator==(const Heartbeat &) const = default;
};

/// Work that the sender has outstanding on engines, as of now.
struct WorkSent {
  struct Item {
    UpstreamId Engine;
    std::uint64_t PrefillTokens = 0;
    std::uint32_t Requests = 0;

    bool operator==(const Item &) const = default;
  };
  std::vector<Item> Items;

  bool operator==(const WorkSent &) const = default;
};

/// How much each team used on the sender since the last one, and wants.
struct TeamUsage {
  struct Item {
    TeamId Team;
    double ServiceTokens = 0;  ///< Work done for the team, in token units.
    double DemandRequests = 0; ///< Requests a second asked for.
    double DemandTokens = 0;   ///< Tokens a second asked for.
    std::uint32_t Concurrent = 0;
    /// Which of the sender's queues did the work: a hash of what the queue is
    /// for, the same on every host.
    std::uint32_t Lane = 0;

    bool operator==(const Item &) const = default;
  };
  std::uint64_t Epoch = 0;
  std::vector<Item> Items;

  bool operator==(const TeamUsage &) const = default;
};

/// A part of a team's limit that the sender gave up before sending this. It
/// is cumulative: a repeat changes nothing and a later one makes good a loss.
struct LimitShare {
  TeamId Team;
  std::uint64_t Transfer = 0; ///< Counts the transfers of the sender's life.
  double Fraction = 0; ///< Share of the whole limit given to the receiver, in
                       ///< all since the view began.
  Time ValidFrom{};
  std::uint64_t View = 0; ///< Hash of the split that the share is a part of.

  bool operator==(const LimitShare &) const = default;
};

/// Records of the log passed on, for those cut off from it.
struct RecordsRelayed {
  std::vector<StoredRecord> Records; ///< Contiguous from FirstOffset.
  LogOffset FirstOffset = 0;
  LogOffset NextOffset = 0;

  bool operator==(const RecordsRelayed &) const = default;
};

/// "Send me the records from here on."
struct RecordsRequest {
  LogOffset FromOffset = 0;

  bool operator==(const RecordsRequest &) const = default;
};

/// The catalogue's whole canonical text, for a host whose log has lost its
/// start.
struct CatalogueRelayed {
  LogOffset AtOffset = 0;
  std::string Text;

  bool operator==(const CatalogueRelayed &) const = default;
};

/// A fingerprint seen to crash upstreams, ahead of the log.
struct QuarantineNotice {
  Fingerprint Content;
  std::uint32_t Crashes = 0;
  Time Until{};
  UpstreamId Upstream; ///< Where a suspect runs now, kept apart; or empty.
  Incarnation UpstreamLife;

  bool operator==(const QuarantineNotice &) const = default;
};

/// An upstream leaves, or died; known from its own word or by experience.
struct UpstreamNotice {
  UpstreamId Upstream;
  Incarnation Life;
  bool Leaving = false;
  bool Dead = false;

  bool operator==(const UpstreamNotice &) const = default;
};

/// A load report passed on to those that do not poll the engine themselves.
struct LoadRelayed {
  LoadReport Report;

  bool operator==(const LoadRelayed &) const = default;
};

/// A stream that the receiver shall go on serving.
struct StreamHandover {
  std::string ResumeToken;
  TeamId Team;
  ClassId Class;
  AttemptId Attempt;
  UpstreamId Upstream;
  std::uint64_t NextIndex = 0;
  Time Deadline{};

  bool operator==(const StreamHandover &) const = default;
};

/// "I serve that stream now."
struct HandoverTaken {
  std::string ResumeToken;

  bool operator==(const HandoverTaken &) const = default;
};

/// Records that the receiver shall append for their maker, which sees them in
/// the log and repeats those that it does not see.
struct RecordsToAppend {
  std::vector<LogRecord> Records;

  bool operator==(const RecordsToAppend &) const = default;
};

/// "Send me the configuration if yours is newer than this version."
struct ConfigurationRequest {
  std::uint64_t NewerThan = 0;
  /// Of this version the sender has all bytes before From; 0: of none.
  std::uint64_t Version = 0;
  std::uint64_t From = 0;

  bool operator==(const ConfigurationRequest &) const = default;
};

/// A piece of a configuration as its operator wrote it, for hosts that don't
/// have it from the store. The next one is sent when it is asked for.
struct ConfigurationRelayed {
  std::uint64_t Version = 0;
  std::string Chunk;      ///< Of the packed document (see DocumentPack.h),
  std::uint64_t From = 0; ///< which it continues from here,
  std::uint64_t Size = 0; ///< and which has so many bytes.

  bool operator==(const ConfigurationRelayed &) const = default;
};

/// "Send me what changed in the service registry from this offset on."
struct EnginesRequest {
  LogOffset From = 0;

  bool operator==(const EnginesRequest &) const = default;
};

/// Registrations that changed since the offset asked for.
struct EnginesRelayed {
  std::vector<EngineChange> Changes;
  LogOffset UpTo = 0;
  /// These are all that are registered: the sender no longer knows each removal
  /// since the offset asked for, so whatever is not named is gone.
  bool Complete = false;

  bool operator==(const EnginesRelayed &) const = default;
};

/// What the sender has running on engines, in all, as of now.
struct EngineWork {
  struct Item {
    UpstreamId Engine;
    /// Prompts whose first token is awaited take so long to read, each from its
    /// start to its end: nobody but the engine knows how far it is.
    double PrefillMs = 0;
    std::uint32_t Prefilling = 0; ///< So many are they.
    std::uint32_t Decoding = 0;
    std::uint64_t MemoryTokens = 0; ///< That they take and will take.
    std::uint32_t ShortRunning = 0; ///< With short prompts.
    /// Answers under way that may pause for so long, and what they are worth,
    /// both in milliseconds; see PauseGroup.
    struct Answers {
      double PauseMs = 0;
      double ValueMs = 0;

      bool operator==(const Answers &) const = default;
    };
    std::vector<Answers> ActiveAnswers;

    bool operator==(const Item &) const = default;
  };
  std::vector<Item> Items; ///< Engines not named have nothing of the sender.
  /// A prompt that waits at the sender until several engines can read it.
  struct Waiting {
    std::uint64_t Request = 0; ///< The sender's number for it.
    std::uint64_t Tokens = 0;  ///< Of the prompt.
    double PrefillMs = 0;      ///< To read it on one engine alone.
    double NeededMs = 0; ///< From its sending to its first token, at the least.
    double LeftMs = 0;   ///< Until its first token is late.

    bool operator==(const Waiting &) const = default;
  };
  std::vector<Waiting> QueuedPrompts;
  /// An engine that works at another pace than declared, as its own report to
  /// the sender says.
  struct Slowdown {
    UpstreamId Engine;
    double Factor = 1; ///< How many times longer its work takes.

    bool operator==(const Slowdown &) const = default;
  };
  std::vector<Slowdown> Slowdowns;
  /// An engine that the sender avoids, by what it saw itself.
  struct Distrust {
    UpstreamId Engine;
    double SinceMs = 0; ///< Ago; tries sent later tell more.
    double LeftMs = 0;  ///< Until the sender gives it a try again.

    bool operator==(const Distrust &) const = default;
  };
  std::vector<Distrust> Distrusted;

  bool operator==(const EngineWork &) const = default;
};

/// What hosts tell each other of engines that name how many requests they take
/// from all hosts together, and of the room that one host lends to the others.
struct EngineLimits {
  /// The newest that the sender knows of an engine.
  struct LimitReport {
    UpstreamId Engine;
    std::optional<double> PerSecond; ///< None: it names no limit.
    double AgeMs = 0;                ///< Of what was said; see LimitWord.

    bool operator==(const LimitReport &) const = default;
  };
  std::vector<LimitReport> LimitReports;
  /// "Lend me room for requests there."
  struct LeaseRequest {
    UpstreamId Engine;
    std::uint64_t Number = 0; ///< Another one for each ask of the sender.
    std::uint32_t Count = 0;  ///< Requests.

    bool operator==(const LeaseRequest &) const = default;
  };
  std::vector<LeaseRequest> LeaseRequests;
  /// The answer to an ask.
  struct Lease {
    UpstreamId Engine;
    std::uint64_t Number = 0;
    std::uint32_t Count = 0; ///< Zero: there is no room now.
    double RetryAfterMs = 0; ///< Until there may be some, then.

    bool operator==(const Lease &) const = default;
  };
  std::vector<Lease> Leases;
  /// Room that was lent and not used in its time.
  struct Return {
    UpstreamId Engine;
    std::uint64_t Number = 0;
    std::uint32_t Count = 0;

    bool operator==(const Return &) const = default;
  };
  std::vector<Return> Returns;

  bool operator==(const EngineLimits &) const = default;
};

/// What engines said of themselves to the sender, which others can't know yet.
struct EngineSignals {
  /// An engine that turned the sender away and wants rest from it.
  struct Backoff {
    UpstreamId Engine;
    double LeftMs = 0;

    bool operator==(const Backoff &) const = default;
  };
  std::vector<Backoff> Backoffs;
  std::vector<UpstreamId> Leaving; ///< They said so.

  bool operator==(const EngineSignals &) const = default;
};

using PeerMessageBody =
    std::variant<Heartbeat, WorkSent, TeamUsage, LimitShare, RecordsRelayed,
                 RecordsRequest, CatalogueRelayed, QuarantineNotice,
                 UpstreamNotice, LoadRelayed, StreamHandover, HandoverTaken,
                 RecordsToAppend, ConfigurationRequest, ConfigurationRelayed,
                 EnginesRequest, EnginesRelayed, EngineWork, EngineLimits,
                 EngineSignals>;

/// A message with its sender.
struct PeerMessage {
  HostId From;
  Incarnation FromLife;
  PeerMessageBody Body;

  bool operator==(const PeerMessage &) const = default;
};

} // namespace banyanpick
