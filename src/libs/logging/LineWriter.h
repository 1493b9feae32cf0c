/// \file
/// Lines to a descriptor, without ever waiting for its reader.
#pragma once

#include "base/Time.h"

#include <cstdint>
#include <mutex>
#include <string>

namespace banyanpick {

/// Lines beyond a rate, and lines that a pipe has no room for, are left out;
/// the next line that is written tells how many. Safe from any thread.
class LineWriter {
public:
  explicit LineWriter(int Descriptor) : Descriptor(Descriptor) {}

  void write(std::string Line, Time Now);

  std::uint64_t dropped() const { return this->Dropped; }

  /// Lines a second in the long run: some ten for each of 60 requests a
  /// second, far more than a host of a quarter of a core serves.
  static constexpr double LinesPerSecond = 600;
  /// Lines at once, as when many engines change together.
  static constexpr double Burst = 2000;

private:
  bool hasAllowance(Time Now);
  /// False: there is no room now.
  bool tryWrite(const std::string &Text) const;

  const int Descriptor;
  std::mutex Mutex;
  double Allowance = Burst;
  Time LastAt{};
  std::uint64_t Dropped = 0; ///< In all.
  std::uint64_t Unreported = 0;
};

} // namespace banyanpick
