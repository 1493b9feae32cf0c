/// \file
/// The messages between entry hosts. Messages may be lost, duplicated or
/// delayed. Durable state never depends on them.
#pragma once

#include "base/StrongId.h"
#include "base/Time.h"
#include "gateway/EngineRecord.h"
#include "gateway/Evacuation.h"
#include "kernel/LogRecord.h"
#include "kernel/Upstream.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace banyanpick {

enum class MemberState { Alive, Suspect, Dead, Leaving };

/// A gossip update about a member. The higher incarnation takes precedence,
/// then the worse state.
struct MemberUpdate {
  HostId Host;
  Incarnation Life;
  std::uint64_t Version = 0; ///< Raised by the member to refute a suspicion.
  MemberState State = MemberState::Alive;
  bool Ready = false; ///< This incarnation has begun to admit requests.
  /// It is partitioned from the engines of a service, as of this version.
  bool CutOff = false;

  bool operator==(const MemberUpdate &) const = default;
};

/// A version of the configuration that some host has in force.
struct VersionInForce {
  std::uint64_t Version = 0;
  Duration Age{}; ///< Since it was first known to be in force on any host.

  bool operator==(const VersionInForce &) const = default;
};

/// Maximum number of versions in one heartbeat.
inline constexpr std::size_t MaxRecentVersions = 4;

/// Numbers of buckets into which members are divided by name to compare what
/// two hosts know. A power of two in between.
inline constexpr std::size_t MinMemberBuckets = 64;
inline constexpr std::size_t MaxMemberBuckets = 4096;

/// Announces that the sender is alive, with its state.
struct Heartbeat {
  std::uint64_t Sequence = 0;
  bool Acknowledges = false; ///< Answers a heartbeat; expects no answer.
  ZoneId Zone;
  std::uint64_t Version = 0;
  bool Leaving = false;
  bool Ready = false;    ///< The sender admits requests.
  LogOffset InForce = 0; ///< Offset of the catalogue in force on the sender.
  Time LogConfirmedAt{}; ///< When the sender was last known to be current.
  std::vector<MemberUpdate> Updates;
  /// The sender's own listing and some listings it knows, for hosts that
  /// discover each other without a host list.
  std::vector<HostListing> KnownHosts;
  /// The sender knows all changes of the service registry before this offset.
  LogOffset EnginesKnownTo = 0;
  /// Digest of the registrations that the sender knows. Equal digests mean
  /// equal registrations.
  std::uint64_t EnginesDigest = 0;
  /// Time since the store was read by a host whose view the sender has. Sent as
  /// an age because the clocks of hosts differ. The maximum means unknown.
  Duration StoreAge = Duration::max();
  /// How late the sender sends and answers heartbeats.
  Duration Late{};
  /// The newest evacuation record of each zone that the sender knows.
  std::vector<EvacuationRecord> Evacuations;
  /// The newest versions of the configuration that the sender knows to be in
  /// force on any host, also versions that it lacks itself.
  std::vector<VersionInForce> RecentVersions;
  /// The sender is partitioned from the engines of a service.
  bool CutOff = false;
  /// Digest and number of the live members that the sender knows, itself
  /// included. Equal digests mean equal states.
  std::uint64_t MembersDigest = 0;
  std::uint32_t MembersCount = 0;

  bool operator==(const Heartbeat &) const = default;
};

/// Requests the members of which the receiver knows other states.
struct MembersRequest {
  /// The sum of the members' digests in each bucket, in its lower half.
  std::vector<std::uint32_t> Digests;

  bool operator==(const MembersRequest &) const = default;
};

/// The members of some buckets, as the sender knows them.
struct MembersRelayed {
  struct Item {
    HostListing Listing;
    MemberUpdate State;

    bool operator==(const Item &) const = default;
  };
  std::vector<Item> Members;

  bool operator==(const MembersRelayed &) const = default;
};

/// The sender's current outstanding work on engines.
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

/// The usage of each team on the sender since the previous message, and its
/// current demand.
struct TeamUsage {
  struct Item {
    TeamId Team;
    double ServiceTokens = 0;  ///< Work done for the team, in token units.
    double DemandRequests = 0; ///< Requested requests per second.
    double DemandTokens = 0;   ///< Requested tokens per second.
    std::uint32_t Concurrent = 0;
    /// The queue that did the work: a hash of the queue's key, equal on all
    /// hosts.
    std::uint32_t QueueHash = 0;

    bool operator==(const Item &) const = default;
  };
  std::uint64_t Epoch = 0;
  std::vector<Item> Items;

  bool operator==(const TeamUsage &) const = default;
};

/// Transfers a part of a team's limit to the receiver. The sender gives up its
/// part before it sends the message. The message is cumulative: duplicates have
/// no effect and a later message replaces a lost one.
struct LimitShare {
  TeamId Team;
  std::uint64_t Transfer = 0; ///< Counts transfers of the sender's incarnation.
  double Fraction = 0; ///< Share of the total limit given to the receiver since
                       ///< the view began.
  Time ValidFrom{};
  std::uint64_t View = 0; ///< Hash of the split that contains this share.

  bool operator==(const LimitShare &) const = default;
};

/// Forwards log records to hosts that are partitioned from the log.
struct RecordsRelayed {
  std::vector<StoredRecord> Records; ///< Contiguous from FirstOffset.
  LogOffset FirstOffset = 0;
  LogOffset NextOffset = 0;

  bool operator==(const RecordsRelayed &) const = default;
};

/// Requests the log records from the offset on.
struct RecordsRequest {
  LogOffset FromOffset = 0;

  bool operator==(const RecordsRequest &) const = default;
};

/// The complete canonical text of the catalogue, for a host that cannot read
/// the beginning of the log any more.
struct CatalogueRelayed {
  LogOffset AtOffset = 0;
  std::string Text;

  bool operator==(const CatalogueRelayed &) const = default;
};

/// How a request probed contents that were suspected when it was sent.
enum class ProbeKind {
  None,     ///< It was no probe.
  Alone,    ///< One content of it was suspected.
  Together, ///< Several were; a crash does not tell them apart.
};

/// Announces a fingerprint that crashed upstreams before the log record
/// arrives.
struct QuarantineNotice {
  Fingerprint Content; ///< A whole request or a part of prompts.
  std::uint32_t Crashes = 0;
  Time Until{};
  UpstreamId Upstream; ///< Where an isolated suspect runs now; may be empty.
  Incarnation UpstreamLife;
  /// Of gateways: since the attempt lost its connection, and since it was sent.
  Duration CrashedAgo{};
  Duration SentAgo{};
  ProbeKind Probe = ProbeKind::None; ///< Of gateways.
  bool IsProven = false; ///< Of gateways: a stored quarantine that was proven.

  bool operator==(const QuarantineNotice &) const = default;
};

/// Announces that an upstream is leaving or dead, as reported by the upstream
/// or observed by the sender.
struct UpstreamNotice {
  UpstreamId Upstream;
  Incarnation Life;
  bool Leaving = false;
  bool Dead = false;

  bool operator==(const UpstreamNotice &) const = default;
};

/// Forwards a load report to hosts that do not poll the engine themselves.
struct LoadRelayed {
  LoadReport Report;

  bool operator==(const LoadRelayed &) const = default;
};

/// Hands over a stream that the receiver must continue to serve.
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

/// Confirms that the sender now serves the stream.
struct HandoverTaken {
  std::string ResumeToken;

  bool operator==(const HandoverTaken &) const = default;
};

/// Records that the receiver appends on behalf of their maker. The maker
/// watches the log for its records and resends the missing ones.
struct RecordsToAppend {
  std::vector<LogRecord> Records;

  bool operator==(const RecordsToAppend &) const = default;
};

/// Requests the configuration if the receiver has a newer version.
struct ConfigurationRequest {
  std::uint64_t NewerThan = 0;
  /// The sender has all bytes of this version before From. Zero if it has no
  /// part of a version.
  std::uint64_t Version = 0;
  std::uint64_t From = 0;

  bool operator==(const ConfigurationRequest &) const = default;
};

/// A chunk of an operator's configuration document, for hosts that have not
/// read it from the store. The next chunk is sent on request.
struct ConfigurationRelayed {
  std::uint64_t Version = 0;
  std::string Chunk;      ///< Part of the packed document (DocumentPack.h).
  std::uint64_t From = 0; ///< Byte offset of the chunk in the document.
  std::uint64_t Size = 0; ///< Size of the packed document in bytes.

  bool operator==(const ConfigurationRelayed &) const = default;
};

/// Requests the changes of the service registry from the offset on.
struct EnginesRequest {
  LogOffset From = 0;

  bool operator==(const EnginesRequest &) const = default;
};

/// Registrations that changed since the requested offset.
struct EnginesRelayed {
  std::vector<EngineChange> Changes;
  LogOffset UpTo = 0;
  /// The changes list all registrations; engines that are not listed are
  /// removed. Sent when the sender no longer knows every removal since the
  /// requested offset.
  bool Complete = false;

  bool operator==(const EnginesRelayed &) const = default;
};

/// The sender's current work on all engines.
struct EngineWork {
  struct Item {
    UpstreamId Engine;
    /// Prefill time of all prompts that still await their first token. Each
    /// prompt counts in full because only the engine knows its progress.
    double PrefillMs = 0;
    std::uint32_t Prefilling = 0; ///< Number of these prompts.
    std::uint32_t Decoding = 0;
    std::uint64_t MemoryTokens = 0; ///< Memory in use now and later.
    std::uint32_t ShortRunning = 0; ///< Requests with short prompts.
    /// Answers that are being decoded, by their allowed inter-token gap, and
    /// their value, both in milliseconds; see GapGroup.
    struct Answers {
      double PauseMs = 0;
      double ValueMs = 0;

      bool operator==(const Answers &) const = default;
    };
    std::vector<Answers> ActiveAnswers;

    bool operator==(const Item &) const = default;
  };
  /// Engines that are not listed have no work from the sender.
  std::vector<Item> Items;
  /// A prompt that waits at the sender until several engines can prefill it
  /// together.
  struct QueuedPrompt {
    std::uint64_t Request = 0; ///< The sender's request id.
    std::uint64_t Tokens = 0;  ///< Length of the prompt.
    double PrefillMs = 0;      ///< Prefill time on a single engine.
    double NeededMs = 0; ///< Minimum time from sending to the first token.
    double LeftMs = 0;   ///< Time until the first token is late.

    bool operator==(const QueuedPrompt &) const = default;
  };
  std::vector<QueuedPrompt> QueuedPrompts;
  /// An engine that is slower or faster than declared, according to its own
  /// report to the sender.
  struct Slowdown {
    UpstreamId Engine;
    double Factor = 1; ///< Actual time divided by declared time.

    bool operator==(const Slowdown &) const = default;
  };
  std::vector<Slowdown> Slowdowns;
  /// An engine that the sender avoids because of failures it observed itself.
  struct Distrust {
    UpstreamId Engine;
    double SinceMs = 0; ///< Age; results of later attempts take precedence.
    double LeftMs = 0;  ///< Time until the sender retries the engine.

    bool operator==(const Distrust &) const = default;
  };
  std::vector<Distrust> Distrusted;
  /// The sender has no complete view of the engines' load; it needs the
  /// receiver's work report now. See WarmUp.
  bool WarmingUp = false;
  /// The load of an engine, from the engine's own report to the sender.
  struct Load {
    UpstreamId Engine;
    std::uint32_t Running = 0;
    std::uint32_t Waiting = 0;
    std::uint64_t MemoryTokens = 0; ///< Tokens that can't be evicted.
    double AgeMs = 0;               ///< Since the sender received the report.

    bool operator==(const Load &) const = default;
  };
  std::vector<Load> Loads;

  bool operator==(const EngineWork &) const = default;
};

/// Distributes the request limits that engines declare for all hosts together,
/// and the quota that one host leases to the others.
struct EngineLimits {
  /// The newest limit of an engine that the sender knows.
  struct LimitReport {
    UpstreamId Engine;
    std::optional<double> PerSecond; ///< Absent: the engine has no limit.
    double AgeMs = 0;                ///< Age of the engine's declaration.

    bool operator==(const LimitReport &) const = default;
  };
  std::vector<LimitReport> LimitReports;
  /// Requests quota at an engine.
  struct LeaseRequest {
    UpstreamId Engine;
    std::uint64_t Number = 0; ///< Unique for each request of the sender.
    std::uint32_t Count = 0;  ///< Number of requests to send.

    bool operator==(const LeaseRequest &) const = default;
  };
  std::vector<LeaseRequest> LeaseRequests;
  /// Answers a LeaseRequest.
  struct Lease {
    UpstreamId Engine;
    std::uint64_t Number = 0;
    std::uint32_t Count = 0; ///< Zero: no quota is available now.
    double RetryAfterMs = 0; ///< With zero: delay until there may be quota.
    /// Time between the request's arrival and the lease. Limits the lifetime of
    /// a lease at a cold engine, which counts from its grant.
    double WaitedMs = 0;

    bool operator==(const Lease &) const = default;
  };
  std::vector<Lease> Leases;
  /// Returns leased quota that was not used before the lease expired.
  struct Return {
    UpstreamId Engine;
    std::uint64_t Number = 0;
    std::uint32_t Count = 0;

    bool operator==(const Return &) const = default;
  };
  std::vector<Return> Returns;
  /// An engine that the sender knows to be cold.
  struct ColdReport {
    UpstreamId Engine;
    double LeftMs = 0;       ///< Remaining cold time, as known to the sender.
    bool TurnedCold = false; ///< The engine was in use before.

    bool operator==(const ColdReport &) const = default;
  };
  std::vector<ColdReport> ColdReports;

  bool operator==(const EngineLimits &) const = default;
};

/// Forwards signals that engines sent only to the sender.
struct EngineSignals {
  /// An engine that refused the sender's request and asked it to back off.
  struct Backoff {
    UpstreamId Engine;
    double LeftMs = 0;

    bool operator==(const Backoff &) const = default;
  };
  std::vector<Backoff> Backoffs;
  std::vector<UpstreamId> Leaving; ///< Engines that reported it.

  bool operator==(const EngineSignals &) const = default;
};

/// Reports that an answer to a content that others suspect was completed.
struct HarmlessContent {
  Fingerprint Content;
  Duration BeganAgo{}; ///< Since the answer began.

  bool operator==(const HarmlessContent &) const = default;
};

using PeerMessageBody =
    std::variant<Heartbeat, WorkSent, TeamUsage, LimitShare, RecordsRelayed,
                 RecordsRequest, CatalogueRelayed, QuarantineNotice,
                 UpstreamNotice, LoadRelayed, StreamHandover, HandoverTaken,
                 RecordsToAppend, ConfigurationRequest, ConfigurationRelayed,
                 EnginesRequest, EnginesRelayed, EngineWork, EngineLimits,
                 EngineSignals, HarmlessContent, MembersRequest,
                 MembersRelayed>;

/// A message with its sender.
struct PeerMessage {
  HostId From;
  Incarnation FromLife;
  PeerMessageBody Body;

  bool operator==(const PeerMessage &) const = default;
};

} // namespace banyanpick
