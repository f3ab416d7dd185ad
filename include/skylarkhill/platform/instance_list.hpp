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

/// What an instance is for.
enum class InstanceRole
{
  Entry,
  Worker,
};

/// What the platform believes of an instance; it lags.
enum class InstanceState
{
  Live,
  Leaving,
};

/// One row of the platform's list.
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
  /// What a worker has in total; zero for entry instances.
  base::Resources mCapacity;
  std::int64_t mSlots = 0;
  std::int64_t mConnections = 0;
};

/// The stable name of `aRole`.
std::string_view
NameOf(InstanceRole aRole);

/// The stable name of `aState`.
std::string_view
NameOf(InstanceState aState);

/// The platform's lagging list of instances. Thread-safe.
class InstanceList
{
public:
  virtual ~InstanceList() = default;
  /// The list as the platform has it now. LogUnavailable if the platform does
  /// not answer by `aDeadline`.
  virtual base::Result<std::vector<InstanceInfo>> Fetch(
    base::TimePoint aDeadline) = 0;
};

} // namespace skylarkhill::platform

#endif // SKYLARKHILL_PLATFORM_INSTANCE_LIST_HPP
