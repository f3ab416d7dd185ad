#ifndef SKYLARKHILL_MEMBERSHIP_VIEW_HPP
#define SKYLARKHILL_MEMBERSHIP_VIEW_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/id.hpp"
#include "skylarkhill/membership/heartbeat.hpp"
#include "skylarkhill/platform/instance_list.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace skylarkhill::membership {

struct ViewOptions
{
  base::Duration mHeartbeatInterval = std::chrono::milliseconds(500);
  /// A peer or worker that was not seen for this many intervals is suspected to
  /// have failed.
  int mSuspicionIntervals = 3;
  /// How long a leaving notice is kept. Must exceed the lag of the platform's
  /// list.
  base::Duration mLeavingNoticeLifetime = std::chrono::hours(1);
  /// Maximum lag between the platform's lists that two instances hold.
  base::Duration mListLag = std::chrono::seconds(30);
};

/// This instance, as it appears in its own heartbeats.
struct Self
{
  base::InstanceId mInstance;
  std::uint64_t mIncarnation = 0;
  base::DomainId mDomain;
  std::string mAddress;
  std::uint16_t mPeerPort = 0;
};

/// Which instances and workers are live, leaving or suspected, according to
/// the platform's list, heartbeats and polls. Not thread-safe.
class View
{
public:
  View(Self aSelf, ViewOptions aOptions);

  void OnList(const std::vector<platform::InstanceInfo>& aList,
              base::TimePoint aNow);
  void OnHeartbeat(const Heartbeat& aHeartbeat, base::TimePoint aNow);
  /// The worker answered a poll.
  void OnWorkerPolled(const base::WorkerId& aWorker,
                      const base::DomainId& aDomain,
                      bool aLeaving,
                      base::TimePoint aNow);
  /// A peer announced that it is leaving.
  void OnLeavingNotice(const base::InstanceId& aInstance,
                       std::uint64_t aIncarnation,
                       base::TimePoint aNow);
  /// This instance begins a planned stop.
  void MarkSelfLeaving(base::TimePoint aNow);
  /// Removes expired leaving notices, and unlisted peers and workers that were
  /// not seen for the lifetime of a notice.
  void Prune(base::TimePoint aNow);

  /// Workers of the domain that may receive new work, sorted.
  std::vector<base::WorkerId> EligibleWorkers(const base::DomainId& aDomain,
                                              base::TimePoint aNow) const;
  bool IsEligible(const base::WorkerId& aWorker, base::TimePoint aNow) const;

  /// Entry instances of the domain that can hold workers, sorted.
  std::vector<base::InstanceId> LiveEntryInstances(
    const base::DomainId& aDomain,
    base::TimePoint aNow) const;
  bool IsLive(const base::InstanceId& aInstance, base::TimePoint aNow) const;

  /// The live entry instance of the worker's domain that should hold the
  /// worker; nullopt if there is none.
  std::optional<base::InstanceId> PreferredHolder(const base::WorkerId& aWorker,
                                                  base::TimePoint aNow) const;
  /// The live peer whose last heartbeat names the worker as held.
  std::optional<base::InstanceId> ReportedHolder(const base::WorkerId& aWorker,
                                                 base::TimePoint aNow) const;
  /// The last heartbeat of a peer, or null.
  const Heartbeat* FindPeer(const base::InstanceId& aInstance) const;

  /// When the worker was first missing from the platform's list; nullopt while
  /// it is listed or before the first list. Never earlier than the first list
  /// that this process received.
  std::optional<base::TimePoint> AbsentSince(
    const base::WorkerId& aWorker) const;
  /// When the worker last answered a poll of this instance or was named in a
  /// heartbeat.
  std::optional<base::TimePoint> LastSeen(const base::WorkerId& aWorker) const;

  /// The leaving notices to send in the next heartbeat.
  std::vector<LeavingNotice> LeavingNotices(base::TimePoint aNow) const;

private:
  struct Peer
  {
    base::DomainId mDomain;
    bool mListed = false;
    bool mListedLeaving = false;
    base::TimePoint mListedSince;
    std::optional<base::TimePoint> mLastHeartbeatAt;
    Heartbeat mHeartbeat;
  };
  struct Worker
  {
    base::DomainId mDomain;
    bool mListed = false;
    bool mListedLeaving = false;
    bool mWasListed = false;
    std::optional<base::TimePoint> mAbsentSince;
    std::optional<base::TimePoint> mReturnedAt;
    std::optional<base::TimePoint> mLastSeenAt;
  };
  /// Name and incarnation.
  using NoticeKey = std::pair<std::string, std::uint64_t>;

  bool IsRecent(base::TimePoint aSeenAt, base::TimePoint aNow) const;
  bool IsLeaving(const std::string& aName, std::uint64_t aIncarnation) const;
  bool IsPresent(const Worker& aWorker, base::TimePoint aNow) const;
  bool IsOutdated(const LeavingNotice& aNotice, base::TimePoint aNow) const;
  void AddLeavingNotice(const std::string& aName,
                        std::uint64_t aIncarnation,
                        base::TimePoint aExpiry);
  void UpdateListedEntry(const platform::InstanceInfo& aEntry,
                         base::TimePoint aNow);
  void UpdateListedWorker(const platform::InstanceInfo& aEntry,
                          base::TimePoint aNow);

  Self mSelf;
  ViewOptions mOptions;
  std::optional<base::TimePoint> mFirstListAt;
  std::map<base::InstanceId, Peer> mPeers;
  std::map<base::WorkerId, Worker> mWorkers;
  /// Value: when the notice expires.
  std::map<NoticeKey, base::TimePoint> mLeavingNotices;
};

} // namespace skylarkhill::membership

#endif // SKYLARKHILL_MEMBERSHIP_VIEW_HPP
