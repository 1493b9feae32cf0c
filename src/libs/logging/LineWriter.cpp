#include "logging/LineWriter.h"

#include "base/EventNumbers.h"
#include "logging/LineLog.h"

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace banyanpick {

void LineWriter::write(std::string Line, Time Now) {
  const std::lock_guard Lock(this->Mutex);
  // A writable pipe accepts this many bytes without blocking; see pipe(7).
  if (Line.size() > PIPE_BUF) {
    Line.resize(PIPE_BUF - 1);
    Line += '\n';
  }
  if (this->Unreported > 0 && this->hasAllowance(Now)) {
    const LogEvent Notice =
        logEvent(events::LinesDropped).with("lines", this->Unreported).build();
    if (this->tryWrite(formatLogLine(Notice, Now) + "\n"))
      this->Unreported = 0;
  }
  if (this->hasAllowance(Now) && this->tryWrite(Line)) {
    this->Allowance -= 1;
    return;
  }
  ++this->Dropped;
  ++this->Unreported;
}

bool LineWriter::hasAllowance(Time Now) {
  const Duration Elapsed =
      this->LastAt == Time{} ? Duration(0) : Now - this->LastAt;
  this->LastAt = std::max(this->LastAt, Now);
  this->Allowance =
      std::min(Burst, this->Allowance +
                          std::max(inSeconds(Elapsed), 0.0) * LinesPerSecond);
  return this->Allowance >= 1;
}

bool LineWriter::tryWrite(const std::string &Text) const {
  pollfd PollEntry{this->Descriptor, POLLOUT, 0};
  if (poll(&PollEntry, 1, 0) != 1 || (PollEntry.revents & POLLOUT) == 0)
    return false;
  return ::write(this->Descriptor, Text.data(), Text.size()) ==
         static_cast<ssize_t>(Text.size());
}

} // namespace banyanpick
