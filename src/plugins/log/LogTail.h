/// \file
/// Interface to the position up to which this host has read the log.
#pragma once

#include "base/StrongId.h"
#include "base/Time.h"

namespace banyanpick {

class Actions;

/// Provided by the plug-in `log`.
class LogTail {
public:
  virtual ~LogTail() = default;

  /// The next offset to read; 0 before the first read.
  virtual LogOffset nextOffset() const = 0;

  /// The oldest offset that can be relayed to peers; 0 when there is none.
  virtual LogOffset firstRetained() const = 0;

  /// When the last read that reached the end of the log was sent. The host has
  /// every record that the log held at that time.
  virtual Time endReadAt() const = 0;

  /// Whether every record that the log held since the first read was read.
  /// False after records were skipped.
  virtual bool isComplete() const = 0;

  /// Continues reading at \p Offset, because the records before it are known
  /// from another source. Does nothing when reading is already there.
  virtual void skipTo(LogOffset Offset, Time Now, Actions &Out) = 0;
};

} // namespace banyanpick
