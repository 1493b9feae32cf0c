/// \file
/// Ends requests: sends the final answer and releases all resources.
#pragma once

#include "plugins/requests/RequestServices.h"
#include "plugins/requests/RunningRequests.h"

namespace banyanpick {

/// Gives every request exactly one final answer.
class RequestFinisher {
public:
  RequestFinisher(RequestServices &Dependencies, RunningRequests &Table)
      : Dependencies(Dependencies), Table(Table) {}

  /// Answers a request that was never admitted.
  void refuse(const RequestId &Id, const ClassId &Class, const NotRun &Refusal,
              Actions &Out) const;

  /// Sends the final answer, cancels the running attempt and removes the
  /// request.
  void conclude(const RequestId &Id, const FinalAnswer &Answer, Time Now,
                Actions &Out);

  /// Ends a request whose deadline has passed, or whose caller does not return.
  /// \p NotRunReason is sent if the request certainly did not run.
  void giveUp(const RequestId &Id, std::string_view Reason, Time Now,
              Actions &Out,
              RefusalReason NotRunReason = RefusalReason::Overloaded);

  /// Removes a request that a peer now serves. Nothing is cancelled.
  void release(const RequestId &Id, Time Now, Actions &Out);

private:
  void notifyEnded(const Request &Original, const FinalAnswer &Answer, Time Now,
                   Actions &Out);
  void cancelRunning(const RunningRequest &Entry, Time Now, Actions &Out);

  RequestServices &Dependencies;
  RunningRequests &Table;
};

/// Returns the name of a final answer's kind, as in docs/PROTOCOLS.md.
std::string_view kindName(const FinalAnswer &Answer);

} // namespace banyanpick
