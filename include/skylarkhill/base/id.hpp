#ifndef SKYLARKHILL_BASE_ID_HPP
#define SKYLARKHILL_BASE_ID_HPP

#include <cstddef>
#include <functional>
#include <ostream>
#include <string>

namespace skylarkhill::base {

/// A string identifier. Identifiers with different tags have different types,
/// so that they cannot be mixed up.
template<typename Tag>
struct Id
{
  std::string mValue;

  friend bool operator==(const Id& aLeft, const Id& aRight)
  {
    return aLeft.mValue == aRight.mValue;
  }
  friend bool operator!=(const Id& aLeft, const Id& aRight)
  {
    return !(aLeft == aRight);
  }
  friend bool operator<(const Id& aLeft, const Id& aRight)
  {
    return aLeft.mValue < aRight.mValue;
  }
  friend std::ostream& operator<<(std::ostream& aOut, const Id& aId)
  {
    return aOut << aId.mValue;
  }
};

/// Identifies a worker in the platform's instance list.
using WorkerId = Id<struct WorkerTag>;
/// Identifies an entry instance. A restart keeps the id and increases the
/// incarnation; a replacement has another id.
using InstanceId = Id<struct InstanceTag>;
/// Identifies a failure domain.
using DomainId = Id<struct DomainTag>;
/// Identifies a batch task; derived from the caller's idempotency key.
using TaskId = Id<struct TaskTag>;
/// Identifies a request of a caller; the idempotency key if there is one.
using RequestId = Id<struct RequestTag>;
/// Identifies a job: the set of tasks of one submission.
using JobId = Id<struct JobTag>;

} // namespace skylarkhill::base

template<typename Tag>
struct std::hash<skylarkhill::base::Id<Tag>>
{
  std::size_t operator()(const skylarkhill::base::Id<Tag>& aId) const
  {
    return std::hash<std::string>()(aId.mValue);
  }
};

#endif // SKYLARKHILL_BASE_ID_HPP
