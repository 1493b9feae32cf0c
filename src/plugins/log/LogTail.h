/// \file
/// How far the log has been read here, for plug-ins that must know it.
#pragma once

#include "base/StrongId.h"
#include "base/Time.h"

namespace banyanpick {

class Actions;

/// Provided by the plug-in `log`.
class LogTail {
public:
  virtual ~LogTail() = default;

  /// The next offset to be read; 0 while nothing was read.
  virtual LogOffset nextOffset() const = 0;

  /// The oldest offset that can be passed on to peers; 0 when there is none.
  virtual LogOffset firstRetained() const = 0;

  /// When the read was asked that last showed the end of the log; the host
  /// knew everything in the log at that moment.
  virtual Time endReadAt() const = 0;

  /// Whether every record that the log kept since the first read was read.
  /// False once records were skipped.
  virtual bool isComplete() const = 0;

  /// Goes on reading at \p Offset, the records before it being known from
  /// elsewhere. Nothing happens when reading is already there.
  virtual void skipTo(LogOffset Offset, Time Now, Actions &Out) = 0;
};

} // namespace banyanpick
