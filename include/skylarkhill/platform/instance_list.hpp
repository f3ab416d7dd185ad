#ifndef SKYLARKHILL_PLATFORM_INSTANCE_LIST_HPP
#define SKYLARKHILL_PLATFORM_INSTANCE_LIST_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/error.hpp"
#include "skylarkhill/base/id.hpp"
#include "skylarkhill/base/resources.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkhill::platform {

/// Role of a listed process: entry instance or worker.
enum class InstanceRole
{
  Entry,
  Worker,
};

/// State of a listed process according to the platform; may be out of date.
enum class InstanceState
{
  Live,
  Leaving,
};

/// One entry instance or worker in the platform's list.
struct InstanceInfo
{
  std::string mName;
  InstanceRole mRole = InstanceRole::Worker;
  InstanceState mState = InstanceState::Live;
  base::DomainId mDomain;
  std::string mRack;
  /// IP address of the process.
  std::string mAddress;
  std::uint16_t mPort = 0;
  /// Port for messages between entry instances; 0 for workers.
  std::uint16_t mPeerPort = 0;
  /// Total resources of a worker; zero for entry instances.
  base::Resources mCapacity;
  std::int64_t mSlots = 0;
  std::int64_t mConnections = 0;
};

/// The name of `aRole` in the platform's HTTP interface.
std::string_view
NameOf(InstanceRole aRole);

/// The name of `aState` in the platform's HTTP interface.
std::string_view
NameOf(InstanceState aState);

/// The platform's list of entry instances and workers, which may be out of
/// date. Thread-safe.
class InstanceList
{
public:
  virtual ~InstanceList() = default;
  /// Fetches the current list. LogUnavailable (the kind for every failed read
  /// from the platform) if there is no valid list by `aDeadline`.
  virtual base::Result<std::vector<InstanceInfo>> Fetch(
    base::TimePoint aDeadline) = 0;
};

} // namespace skylarkhill::platform

#endif // SKYLARKHILL_PLATFORM_INSTANCE_LIST_HPP
