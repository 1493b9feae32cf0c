#include "process/ChildProcess.h"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace banyanpick::process {

ChildProcess::ChildProcess(const std::string &Program,
                           std::vector<std::string> Arguments,
                           const std::string &OutputFile) {
  Arguments.insert(Arguments.begin(), Program);
  std::vector<char *> RawArguments;
  RawArguments.reserve(Arguments.size() + 1);
  for (std::string &Argument : Arguments)
    RawArguments.push_back(Argument.data());
  RawArguments.push_back(nullptr);
  posix_spawn_file_actions_t Files;
  posix_spawn_file_actions_init(&Files);
  posix_spawn_file_actions_addopen(&Files, STDOUT_FILENO, OutputFile.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&Files, STDOUT_FILENO, STDERR_FILENO);
  // A connection of the test stays open as long as a child has a copy of it.
  posix_spawn_file_actions_addclosefrom_np(&Files, STDERR_FILENO + 1);
  const int Failure = posix_spawn(&this->Pid, Program.c_str(), &Files, nullptr,
                                  RawArguments.data(), environ);
  posix_spawn_file_actions_destroy(&Files);
  if (Failure != 0)
    throw std::runtime_error("cannot start " + Program);
}

ChildProcess::~ChildProcess() { this->kill(); }

void ChildProcess::signal(int SignalNumber) const {
  if (!this->HasExited)
    ::kill(this->Pid, SignalNumber);
}

void ChildProcess::kill() {
  this->signal(SIGKILL);
  this->wait();
}

int ChildProcess::wait() {
  int Status = 0;
  if (!this->HasExited && waitpid(this->Pid, &Status, 0) == this->Pid) {
    this->HasExited = true;
    this->ExitCode = WIFEXITED(Status) ? WEXITSTATUS(Status) : -1;
  }
  return this->ExitCode;
}

std::uint64_t ChildProcess::peakMemoryBytes() const {
  std::ifstream Status("/proc/" + std::to_string(this->Pid) + "/status");
  constexpr std::uint64_t KB = 1024;
  const std::string Field = "VmHWM:";
  for (std::string Name; Status >> Name;) {
    if (Name != Field)
      continue;
    std::uint64_t Kilobytes = 0;
    Status >> Kilobytes;
    return Kilobytes * KB;
  }
  return 0;
}

std::chrono::milliseconds ChildProcess::processorTime() const {
  std::ifstream Stat("/proc/" + std::to_string(this->Pid) + "/stat");
  std::string Skipped;
  // The name of the program, which has no spaces here, is the second field.
  constexpr int FieldsBeforeTimes = 13;
  for (int Field = 0; Field < FieldsBeforeTimes; ++Field)
    Stat >> Skipped;
  std::int64_t UserTicks = 0;
  std::int64_t SystemTicks = 0;
  Stat >> UserTicks >> SystemTicks;
  constexpr std::int64_t MsPerSecond = 1000;
  return std::chrono::milliseconds((UserTicks + SystemTicks) * MsPerSecond /
                                   sysconf(_SC_CLK_TCK));
}

bool ChildProcess::isAlive() {
  int Status = 0;
  if (!this->HasExited && waitpid(this->Pid, &Status, WNOHANG) == this->Pid) {
    this->HasExited = true;
    this->ExitCode = WIFEXITED(Status) ? WEXITSTATUS(Status) : -1;
  }
  return !this->HasExited;
}

} // namespace banyanpick::process
