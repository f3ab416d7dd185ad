#include "skylarkhill/testing/child_process.hpp"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace skylarkhill::testing {

namespace {

constexpr int kLogFileMode = 0644;
constexpr int kSignalExitCodeBase = 128;
constexpr auto kPollInterval = std::chrono::milliseconds(5);

} // namespace

ChildProcess::ChildProcess(const std::vector<std::string>& aCommand,
                           const std::string& aLogFile)
{
  std::vector<char*> arguments;
  arguments.reserve(aCommand.size() + 1);
  for (const auto& it : aCommand) {
    arguments.push_back(const_cast<char*>(it.c_str()));
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions{};
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions,
                                   STDOUT_FILENO,
                                   aLogFile.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND,
                                   kLogFileMode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int ec = posix_spawn(
    &mProcess, arguments[0], &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (ec != 0) {
    throw std::runtime_error("cannot start " + aCommand.front());
  }
}

ChildProcess::~ChildProcess()
{
  if (!mExitCode) {
    Signal(SIGKILL);
    WaitForExit(base::kNoDeadline);
  }
}

void
ChildProcess::Signal(int aSignal)
{
  if (!mExitCode) {
    kill(mProcess, aSignal);
  }
}

std::optional<int>
ChildProcess::WaitForExit(base::TimePoint aDeadline)
{
  while (!mExitCode) {
    int status = 0;
    if (waitpid(mProcess, &status, WNOHANG) == mProcess) {
      mExitCode = WIFEXITED(status) ? WEXITSTATUS(status)
                                    : kSignalExitCodeBase + WTERMSIG(status);
    } else if (base::GetBootClock().Now() >= aDeadline) {
      return std::nullopt;
    } else {
      std::this_thread::sleep_for(kPollInterval);
    }
  }
  return mExitCode;
}

} // namespace skylarkhill::testing
