#include "process/ChildProcess.h"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace banyanpick::process {

ChildProcess::ChildProcess(const std::string &Program,
                           std::vector<std::string> Arguments,
                           const std::string &OutputFile) {
  Arguments.insert(Arguments.begin(), Program);
  std::vector<char *> Raw;
  Raw.reserve(Arguments.size() + 1);
  for (std::string &Each : Arguments)
    Raw.push_back(Each.data());
  Raw.push_back(nullptr);
  posix_spawn_file_actions_t Files;
  posix_spawn_file_actions_init(&Files);
  posix_spawn_file_actions_addopen(&Files, STDOUT_FILENO, OutputFile.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&Files, STDOUT_FILENO, STDERR_FILENO);
  const int Failure = posix_spawn(&this->Id, Program.c_str(), &Files, nullptr,
                                  Raw.data(), environ);
  posix_spawn_file_actions_destroy(&Files);
  if (Failure != 0)
    throw std::runtime_error("can't start " + Program);
}

ChildProcess::~ChildProcess() { this->kill(); }

void ChildProcess::signal(int Number) const {
  if (!this->Ended)
    ::kill(this->Id, Number);
}

void ChildProcess::kill() {
  this->signal(SIGKILL);
  this->wait();
}

int ChildProcess::wait() {
  int Status = 0;
  if (!this->Ended && waitpid(this->Id, &Status, 0) == this->Id) {
    this->Ended = true;
    this->ExitCode = WIFEXITED(Status) ? WEXITSTATUS(Status) : -1;
  }
  return this->ExitCode;
}

bool ChildProcess::isAlive() {
  int Status = 0;
  if (!this->Ended && waitpid(this->Id, &Status, WNOHANG) == this->Id) {
    this->Ended = true;
    this->ExitCode = WIFEXITED(Status) ? WEXITSTATUS(Status) : -1;
  }
  return !this->Ended;
}

} // namespace banyanpick::process
