/// \file
/// The platform's append-only log, kept in memory, with the faults that tests
/// ask for.
#pragma once

#include "base/StrongId.h"
#include "base/Time.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace banyanpick::standins {

/// What goes wrong with the log now.
struct LogFaults {
  bool Down = false;
  std::uint64_t LoseAnswers = 0; ///< Appends to take without an answer.
  milliseconds Delay{};
};

/// Records from FirstOffset on, and the ends of what is kept.
struct LogSlice {
  LogOffset Start = 1;
  LogOffset End = 1;
  LogOffset FirstOffset = 1;
  std::vector<std::string> Records;
};

class PlatformLog {
public:
  /// Keeps the last \p RetainRecords; 0 keeps all.
  explicit PlatformLog(std::uint64_t RetainRecords)
      : RetainRecords(RetainRecords) {}

  LogOffset append(std::string Bytes);
  /// Waits up to \p Patience for a record at \p From.
  LogSlice read(LogOffset From, milliseconds MaxWait);

  void setFaults(const LogFaults &NewFaults);
  LogFaults faults();
  /// Whether the answer to an append just taken is to be lost.
  bool consumeAnswerLoss();

private:
  std::uint64_t RetainRecords;
  std::mutex Mutex;
  std::condition_variable Appended;
  std::deque<std::string> Records;
  LogOffset Start = 1;
  LogFaults Faults;
};

} // namespace banyanpick::standins
