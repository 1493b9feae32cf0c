/// \file
/// An in-memory stand-in for the platform's append-only log, with fault
/// injection.
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

/// The injected faults of the log.
struct LogFaults {
  bool Down = false;
  std::uint64_t LoseAnswers = 0; ///< Next appends left without an answer.
  milliseconds Delay{};
};

/// Records from FirstOffset on, and the range of the kept offsets.
struct LogSlice {
  LogOffset Start = 1;
  LogOffset End = 1;
  LogOffset FirstOffset = 1;
  std::vector<std::string> Records;
};

/// An append-only log. Safe to use from any thread.
class PlatformLog {
public:
  /// Keeps the last \p RetainRecords records, or all when it is 0.
  explicit PlatformLog(std::uint64_t RetainRecords)
      : RetainRecords(RetainRecords) {}

  LogOffset append(std::string Bytes);
  /// Returns records from \p From on. Waits up to \p MaxWait for the first.
  LogSlice read(LogOffset From, milliseconds MaxWait);

  void setFaults(const LogFaults &NewFaults);
  LogFaults faults();
  /// Returns whether the answer to an append must be lost, and counts it.
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
