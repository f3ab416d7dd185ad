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

/// Role of an instance.
enum class InstanceRole
{
  Entry,
  Worker,
};

/// State of an instance according to the platform; may be out of date.
enum class InstanceState
{
  Live,
  Leaving,
};

/// One instance in the platform's list.
struct InstanceInfo
{
  std::string mName;
  InstanceRole mRole = InstanceRole::Worker;
  InstanceState mState = InstanceState::Live;
  base::DomainId mDomain;
  std::string mRack;
  /// IP address of the instance.
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

/// The platform's list of instances, which may be out of date. Thread-safe.
class InstanceList
{
public:
  virtual ~InstanceList() = default;
  /// Fetches the current list. LogUnavailable if the platform does not return
  /// it by `aDeadline`.
  virtual base::Result<std::vector<InstanceInfo>> Fetch(
    base::TimePoint aDeadline) = 0;
};

} // namespace skylarkhill::platform

#endif // SKYLARKHILL_PLATFORM_INSTANCE_LIST_HPP
