#ifndef SKYLARKHILL_TESTING_CHILD_PROCESS_HPP
#define SKYLARKHILL_TESTING_CHILD_PROCESS_HPP

#include "skylarkhill/base/clock.hpp"

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace skylarkhill::testing {

/// A child process of a test. The destructor kills it if it still runs.
class ChildProcess
{
public:
  /// Appends the output to `aLogFile`. Throws std::runtime_error if the program
  /// cannot be started.
  ChildProcess(const std::vector<std::string>& aCommand,
               const std::string& aLogFile);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /// Sends a signal. Does nothing once WaitForExit has returned an exit code.
  void Signal(int aSignal);
  /// The exit code, or 128 plus the number of the signal that ended the
  /// process; empty if it still runs at the deadline.
  std::optional<int> WaitForExit(base::TimePoint aDeadline);

private:
  pid_t mProcess = -1;
  std::optional<int> mExitCode;
};

} // namespace skylarkhill::testing

#endif // SKYLARKHILL_TESTING_CHILD_PROCESS_HPP
