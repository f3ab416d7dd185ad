#include "skylarkhill/base/resources.hpp"

#include <algorithm>

namespace skylarkhill::base {

Resources&
Resources::operator+=(const Resources& aOther)
{
  mMilliProcessors += aOther.mMilliProcessors;
  mMemoryBytes += aOther.mMemoryBytes;
  mAccelerators += aOther.mAccelerators;
  return *this;
}

Resources&
Resources::operator-=(const Resources& aOther)
{
  mMilliProcessors -= aOther.mMilliProcessors;
  mMemoryBytes -= aOther.mMemoryBytes;
  mAccelerators -= aOther.mAccelerators;
  return *this;
}

bool
operator==(const Resources& aLeft, const Resources& aRight)
{
  return Fits(aLeft, aRight) && Fits(aRight, aLeft);
}

Resources
operator+(Resources aLeft, const Resources& aRight)
{
  aLeft += aRight;
  return aLeft;
}

Resources
operator-(Resources aLeft, const Resources& aRight)
{
  aLeft -= aRight;
  return aLeft;
}

bool
Fits(const Resources& aRequired, const Resources& aAvailable)
{
  return aRequired.mMilliProcessors <= aAvailable.mMilliProcessors &&
         aRequired.mMemoryBytes <= aAvailable.mMemoryBytes &&
         aRequired.mAccelerators <= aAvailable.mAccelerators;
}

Resources
Max(const Resources& aLeft, const Resources& aRight)
{
  return { std::max(aLeft.mMilliProcessors, aRight.mMilliProcessors),
           std::max(aLeft.mMemoryBytes, aRight.mMemoryBytes),
           std::max(aLeft.mAccelerators, aRight.mAccelerators) };
}

bool
IsNonNegative(const Resources& aResources)
{
  return Fits(Resources{}, aResources);
}

} // namespace skylarkhill::base
