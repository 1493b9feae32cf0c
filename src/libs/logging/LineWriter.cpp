#include "logging/LineWriter.h"

#include "base/EventNumbers.h"
#include "logging/LineLog.h"

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace banyanpick {

void LineWriter::write(std::string Line, Time Now) {
  const std::lock_guard Lock(this->Guard);
  // A pipe that is ready takes so much without waiting; see pipe(7).
  if (Line.size() > PIPE_BUF) {
    Line.resize(PIPE_BUF - 1);
    Line += '\n';
  }
  if (this->Unreported > 0 && this->allows(Now)) {
    const LogEvent Notice =
        logEvent(events::LinesDropped).with("lines", this->Unreported).build();
    if (this->put(formatLogLine(Notice, Now) + "\n"))
      this->Unreported = 0;
  }
  if (this->allows(Now) && this->put(Line)) {
    this->Allowance -= 1;
    return;
  }
  ++this->Dropped;
  ++this->Unreported;
}

bool LineWriter::allows(Time Now) {
  const Duration Passed =
      this->LastAt == Time{} ? Duration(0) : Now - this->LastAt;
  this->LastAt = std::max(this->LastAt, Now);
  this->Allowance =
      std::min(Burst, this->Allowance +
                          std::max(inSeconds(Passed), 0.0) * LinesPerSecond);
  return this->Allowance >= 1;
}

bool LineWriter::put(const std::string &Text) const {
  pollfd Room{this->Descriptor, POLLOUT, 0};
  if (poll(&Room, 1, 0) != 1 || (Room.revents & POLLOUT) == 0)
    return false;
  return ::write(this->Descriptor, Text.data(), Text.size()) ==
         static_cast<ssize_t>(Text.size());
}

} // namespace banyanpick
