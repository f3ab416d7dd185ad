#ifndef SKYLARKHILL_BASE_RESOURCES_HPP
#define SKYLARKHILL_BASE_RESOURCES_HPP

#include <cstdint>

namespace skylarkhill::base {

/// Resources that a worker provides or a task requires.
struct Resources
{
  /// Thousandths of a processor.
  std::int64_t mMilliProcessors = 0;
  std::int64_t mMemoryBytes = 0;
  std::int64_t mAccelerators = 0;

  Resources& operator+=(const Resources& aOther);
  Resources& operator-=(const Resources& aOther);
};

bool
operator==(const Resources& aLeft, const Resources& aRight);

Resources
operator+(Resources aLeft, const Resources& aRight);

Resources
operator-(Resources aLeft, const Resources& aRight);

/// True if `aRequired` is at most `aAvailable` in every dimension.
bool
Fits(const Resources& aRequired, const Resources& aAvailable);

/// The larger of both values in every dimension.
Resources
Max(const Resources& aLeft, const Resources& aRight);

/// True if no dimension is negative.
bool
IsNonNegative(const Resources& aResources);

} // namespace skylarkhill::base

#endif // SKYLARKHILL_BASE_RESOURCES_HPP
