/// \file
/// A process started by a test, and ended with it.
#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace banyanpick::process {

class ChildProcess {
public:
  /// Starts \p Program; what it prints goes to \p OutputFile.
  ChildProcess(const std::string &Program, std::vector<std::string> Arguments,
               const std::string &OutputFile);
  ~ChildProcess();
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  /// Sends a signal to this very process.
  void signal(int SignalNumber) const;
  /// Kills it at once and waits for its end.
  void kill();
  /// Waits for its end; the exit code, or -1 when a signal ended it.
  int wait();
  bool isAlive();

private:
  pid_t Pid = 0;
  bool HasExited = false;
  int ExitCode = -1;
};

} // namespace banyanpick::process
