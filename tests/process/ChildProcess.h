/// \file
/// A child process of a test.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <sys/types.h>
#include <vector>

namespace banyanpick::process {

/// Starts a process and kills it in the destructor. Not thread-safe.
class ChildProcess {
public:
  /// Starts \p Program. Its output is appended to \p OutputFile. Throws
  /// std::runtime_error if the process cannot be started.
  ChildProcess(const std::string &Program, std::vector<std::string> Arguments,
               const std::string &OutputFile);
  ~ChildProcess();
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  /// Sends a signal to the process unless it has exited.
  void signal(int SignalNumber) const;
  /// Sends SIGKILL and waits until the process has exited.
  void kill();
  /// Waits until the process has exited. Returns the exit code, or -1 if a
  /// signal ended the process.
  int wait();
  bool isAlive();
  /// Returns the largest resident memory since the start in bytes, or 0 if the
  /// process has exited.
  std::uint64_t peakMemoryBytes() const;
  /// Returns the processor time that the process has used.
  std::chrono::milliseconds processorTime() const;

private:
  pid_t Pid = 0;
  bool HasExited = false;
  int ExitCode = -1;
};

} // namespace banyanpick::process
