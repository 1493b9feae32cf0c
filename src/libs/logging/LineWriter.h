/// \file
/// Writes lines to a file descriptor without blocking on its reader.
#pragma once

#include "base/Time.h"

#include <cstdint>
#include <mutex>
#include <string>

namespace banyanpick {

/// Drops lines beyond a maximum rate and lines that do not fit into the pipe.
/// The next line that can be written reports how many were dropped.
/// Thread-safe.
class LineWriter {
public:
  explicit LineWriter(int Descriptor) : Descriptor(Descriptor) {}

  void write(std::string Line, Time Now);

  std::uint64_t dropped() const { return this->Dropped; }

  /// Sustained rate, in lines a second: about ten lines for each of 60 requests
  /// a second, far more requests than a host with a quarter of a core serves.
  static constexpr double LinesPerSecond = 600;
  /// Maximum number of lines in a burst, for example when many engines change
  /// state together.
  static constexpr double Burst = 2000;

private:
  bool hasAllowance(Time Now);
  /// Returns false if the descriptor does not accept the text now.
  bool tryWrite(const std::string &Text) const;

  const int Descriptor;
  std::mutex Mutex;
  double Allowance = Burst;
  Time LastAt{};
  std::uint64_t Dropped = 0;    ///< Since the start.
  std::uint64_t Unreported = 0; ///< Dropped lines not reported yet.
};

} // namespace banyanpick
