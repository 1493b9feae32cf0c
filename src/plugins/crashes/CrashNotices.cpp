#include "plugins/crashes/CrashNotices.h"

namespace banyanpick {

QuarantineNotice makeNotice(const ConfirmedCrash &Found, Time Now, Time Until) {
  QuarantineNotice Result;
  Result.Content = Found.Observed.Content;
  Result.Crashes = 1;
  Result.Until = Until;
  Result.Upstream = Found.Observed.Engine;
  Result.CrashedAgo = Now - Found.Evidence.CrashedAt;
  Result.SentAgo = Now - Found.Evidence.SentAt;
  Result.Probe = Found.Evidence.Probe;
  return Result;
}

ConfirmedCrash readNotice(const QuarantineNotice &Notice, Time Now) {
  return {
      {Notice.Content, Notice.Upstream},
      {Now - Notice.SentAgo, Now - Notice.CrashedAgo, Notice.Probe},
  };
}

QuarantineNotice makeStoredNotice(const StoredQuarantine &Stored, Time Until) {
  QuarantineNotice Result;
  Result.Content = Stored.Content;
  Result.Until = Until;
  Result.IsProven = Stored.IsProven;
  return Result;
}

bool isStoredNotice(const QuarantineNotice &Notice) {
  return Notice.Upstream.Value.empty();
}

} // namespace banyanpick
