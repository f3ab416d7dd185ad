#ifndef SKYLARKHILL_MEMBERSHIP_HEARTBEAT_HPP
#define SKYLARKHILL_MEMBERSHIP_HEARTBEAT_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/id.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace skylarkhill::membership {

/// Announces that one incarnation of an instance or worker is leaving.
struct LeavingNotice
{
  /// Name in the platform's list.
  std::string mName;
  /// 0 for workers, which report none.
  std::uint64_t mIncarnation = 0;
  /// Remaining lifetime, counted from the send time of the message. Receivers
  /// never extend it, so that notices that are passed on expire.
  base::Duration mRemaining{};
};

/// Sent by every entry instance to all its peers once per heartbeat interval.
struct Heartbeat
{
  base::InstanceId mInstance;
  /// Increases with every restart of the process.
  std::uint64_t mIncarnation = 0;
  base::DomainId mDomain;
  /// IP address and port for messages between entry instances.
  std::string mAddress;
  std::uint16_t mPeerPort = 0;
  std::int64_t mConfigVersion = 0;
  std::vector<LeavingNotice> mLeaving;
  /// Free slots on the sender's workers, per service.
  std::map<std::string, std::int64_t> mFreeSlots;
  /// Workers that the sender holds.
  std::vector<base::WorkerId> mHeldWorkers;
};

} // namespace skylarkhill::membership

#endif // SKYLARKHILL_MEMBERSHIP_HEARTBEAT_HPP
