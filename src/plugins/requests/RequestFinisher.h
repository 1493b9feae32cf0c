/// \file
/// The end of a request: its one final answer, and everything let go.
#pragma once

#include "plugins/requests/RequestServices.h"
#include "plugins/requests/RunningRequests.h"

namespace banyanpick {

class RequestFinisher {
public:
  RequestFinisher(RequestServices &Dependencies, RunningRequests &Table)
      : Dependencies(Dependencies), Table(Table) {}

  /// Answers a request that was never admitted.
  void refuse(const RequestId &Id, const ClassId &Class, const NotRun &Refusal,
              Actions &Out) const;

  /// Gives the final answer at once, cancels what still runs and forgets the
  /// request.
  void conclude(const RequestId &Id, const FinalAnswer &Answer, Time Now,
                Actions &Out);

  /// Ends a request whose time is over, or whose caller is gone for good.
  /// \p Reason is told when it surely did not run.
  void giveUp(const RequestId &Id, std::string_view Why, Time Now, Actions &Out,
              RefusalReason Reason = RefusalReason::Overloaded);

  /// Forgets a request that a peer serves from here on; nothing is cancelled.
  void release(const RequestId &Id, Time Now, Actions &Out);

private:
  void notifyEnded(const Request &Original, const FinalAnswer &Answer, Time Now,
                   Actions &Out);
  void cancelRunning(const RunningRequest &Entry, Time Now, Actions &Out);

  RequestServices &Dependencies;
  RunningRequests &Table;
};

/// The name of a final answer's kind, as in docs/PROTOCOLS.md.
std::string_view kindName(const FinalAnswer &Answer);

} // namespace banyanpick
