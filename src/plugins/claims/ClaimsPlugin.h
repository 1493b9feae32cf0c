/// \file
/// The plug-in `claims`: non-idempotent operations run at most once.
#pragma once

#include "kernel/Plugin.h"
#include "plugins/claims/ClaimTable.h"
#include "plugins/log/LogTail.h"

#include <map>
#include <optional>

namespace banyanpick {

/// Claims each operation in the log before it may be dispatched. A claim is
/// granted only when it was read back as the operation's owner, after
/// everything before it in the log; it never lapses, so a pause of its owner
/// does no harm. A claim that is not needed any more is given back by a record
/// that names it; one whose owner died is never run by anybody.
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
  /// An own claim that a request waits for. One that nobody waits for any
  /// more is forgotten, and given back should it be read as the owner.
  struct PendingClaim {
    RecordId Claim;
    RequestId Requester;
    Fingerprint Content;
    Time Deadline{};
  };
  /// An own claim that was granted to a request of this host.
  struct Grant {
    RecordId Claim;
    RequestId Requester;
    Fingerprint Content;
    bool MayHaveRun = false;
    std::optional<ClaimOutcome> Outcome; ///< Known here, maybe not in the log.
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

  Services *PluginServices = nullptr;
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
  Duration RetryLater{};
  std::size_t MaxResultBytes = 0;
  bool CaughtUp = false;
  Time StartedAt{};
  Time MissedKeysUntil{}; ///< Older keys may have been claimed in records
                          ///< missed.
  Time PruneAt{};
  std::uint64_t DuplicateGrants = 0;
};

} // namespace banyanpick
