/// \file
/// The plug-in `claims`, which runs non-idempotent operations at most once.
#pragma once

#include "kernel/Plugin.h"
#include "plugins/claims/ClaimTable.h"
#include "plugins/log/LogTail.h"

#include <map>
#include <optional>

namespace banyanpick {

/// Claims each operation in the log before the operation may be dispatched. A
/// claim is granted only after it was read back as the operation's owner,
/// following every record before it in the log. A claim never expires, so a
/// paused owner can't run an operation that another host has claimed since. A
/// claim that is no longer needed is released by a record that names it. An
/// operation whose owner died is never run again.
class ClaimsPlugin : public Plugin,
                     public ClaimKeeper,
                     public LogObserver,
                     public RequestObserver {
public:
  void initialize(PluginContext &Context) override;
  void start(Time Now, Actions &Out) override;
  void handle(const Event &Incoming, Time Now, Actions &Out) override;
  Time nextWake() const override;
  void checkInvariants(InvariantMonitor &Monitor, Time Now) const override;

  void claim(const Request &Req, Time Now, Actions &Out) override;
  void abandon(const Request &Req, Time Now, Actions &Out) override;
  void finish(const Request &Req, OutcomeRecord::Kind Ended,
              std::string_view Result, Time Now, Actions &Out) override;

  void recordRead(const StoredRecord &Stored, Time Now, Actions &Out) override;
  void appendSettled(const RecordId &Id, bool Appended, Time Now,
                     Actions &Out) override;
  void caughtUp(LogOffset EndOffset, Time Now, Actions &Out) override;
  void recordsMissed(LogOffset StartOffset, Time Now, Actions &Out) override;

  void dispatched(const Request &Req, const Attempt &SentAttempt, Time Now,
                  Actions &Out) override;
  void attemptEnded(const Request &Req, const Attempt &SentAttempt,
                    const AttemptOutcome &Outcome, Time Now,
                    Actions &Out) override;

private:
  /// A claim of this host that a request waits for. The entry is removed when
  /// the request stops waiting; the claim is then released if it is read back
  /// as the owner.
  struct PendingClaim {
    RecordId Claim;
    RequestId Requester;
    Fingerprint Content;
    Time Deadline{};
  };
  /// A claim of this host that was granted to a request.
  struct Grant {
    RecordId Claim;
    RequestId Requester;
    Fingerprint Content;
    bool MayHaveRun = false;
    std::optional<ClaimOutcome> Outcome; ///< The log may not hold it yet.
  };

  std::optional<NotRun> checkKey(const Request &Req, Time Now) const;
  std::optional<FinalAnswer> knownAnswer(const OperationName &Name,
                                         Fingerprint Content, Time Now) const;
  FinalAnswer answerForOwned(const ClaimedOperation &Operation, Time Now) const;
  NotRun logUnavailable() const;
  bool mayHaveMissedClaim(Time CreatedAt) const;
  bool isOwnerDead(const ClaimOwner &Owner, Time Now) const;
  void foldClaim(const RecordId &Id, const ClaimRecord &Claim, Time Now,
                 Actions &Out);
  void handleOwnClaim(const OperationName &Name, const RecordId &Id,
                      ClaimFoldResult FoldResult, Time Now, Actions &Out);
  void denyPending(const OperationName &Name, FinalAnswer Answer, Time Now,
                   Actions &Out);
  void releaseClaim(const OperationName &Name, const RecordId &Claim, Time Now,
                    Actions &Out);
  void denyExpired(Time Now, Actions &Out);
  void decide(const RequestId &Id, const ClaimVerdict &Verdict, Time Now,
              Actions &Out);

  Services *Registry = nullptr;
  LogWriter *Log = nullptr;
  LogTail *Tail = nullptr;
  const MembershipView *Members = nullptr;
  HostId Self;
  Incarnation Life;
  ClaimTable Table;
  std::map<OperationName, PendingClaim> PendingClaims;
  std::map<OperationName, Grant> Grants;
  Duration KeyWindow{};
  Duration ClockSkew{};
  Duration ClaimTimeout{};
  Duration RetryAfter{};
  std::size_t MaxResultBytes = 0;
  bool CaughtUp = false;
  Time StartedAt{};
  /// Keys created up to this time may have been claimed in missed records.
  Time MissedKeysUntil{};
  Time PruneAt{};
  std::uint64_t DuplicateGrants = 0;
};

} // namespace banyanpick
