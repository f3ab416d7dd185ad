#include "skylarkhill/journal/wall_clock.hpp"

#include <chrono>

namespace skylarkhill::journal {

namespace {

class SystemWallClock : public WallClock
{
public:
  std::int64_t NowMs() const override
  {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  }
};

} // namespace

const WallClock&
GetSystemWallClock()
{
  static const SystemWallClock kClock;
  return kClock;
}

} // namespace skylarkhill::journal
