#ifndef SKYLARKHILL_JOURNAL_WALL_CLOCK_HPP
#define SKYLARKHILL_JOURNAL_WALL_CLOCK_HPP

#include <cstdint>

namespace skylarkhill::journal {

/// Source of wall clock time. The clocks of different instances agree only
/// approximately. Thread-safe.
class WallClock
{
public:
  virtual ~WallClock() = default;
  /// Milliseconds since the Unix epoch.
  virtual std::int64_t NowMs() const = 0;
};

/// The clock of the operating system.
const WallClock&
GetSystemWallClock();

} // namespace skylarkhill::journal

#endif // SKYLARKHILL_JOURNAL_WALL_CLOCK_HPP
