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
  /// A peer or worker without evidence for this many intervals is suspected.
  int mSuspicionIntervals = 3;
  /// How long a leaving mark is kept. Longer than the platform's list lags.
  base::Duration mMarkLifetime = std::chrono::hours(1);
  /// How far the platform's lists of two instances may be apart.
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

/// Which instances and workers are live, leaving or suspected, from the
/// platform's list, heartbeats and direct evidence. Not thread-safe.
class View
{
public:
  View(Self aSelf, ViewOptions aOptions);

  void OnList(const std::vector<platform::InstanceInfo>& aList,
              base::TimePoint aNow);
  void OnHeartbeat(const Heartbeat& aHeartbeat, base::TimePoint aNow);
  /// An answered poll of a worker.
  void OnWorkerEvidence(const base::WorkerId& aWorker,
                        const base::DomainId& aDomain,
                        bool aLeaving,
                        base::TimePoint aNow);
  /// A notice that a peer is leaving.
  void OnLeavingNotice(const base::InstanceId& aInstance,
                       std::uint64_t aIncarnation,
                       base::TimePoint aNow);
  /// This instance begins a planned stop.
  void LeaveSelf(base::TimePoint aNow);
  /// Forgets marks past their lifetime and entries without any evidence.
  void Prune(base::TimePoint aNow);

  /// Workers of the domain that may receive new work, sorted.
  std::vector<base::WorkerId> EligibleWorkers(const base::DomainId& aDomain,
                                              base::TimePoint aNow) const;
  bool IsEligible(const base::WorkerId& aWorker, base::TimePoint aNow) const;

  /// Entry instances of the domain that can hold workers, sorted.
  std::vector<base::InstanceId> LiveEntries(const base::DomainId& aDomain,
                                            base::TimePoint aNow) const;
  bool IsLive(const base::InstanceId& aInstance, base::TimePoint aNow) const;

  /// The instance that should hold the worker, if its domain has a live one.
  std::optional<base::InstanceId> PreferredHolder(const base::WorkerId& aWorker,
                                                  base::TimePoint aNow) const;
  /// The live peer whose last heartbeat names the worker as held.
  std::optional<base::InstanceId> ReportedHolder(const base::WorkerId& aWorker,
                                                 base::TimePoint aNow) const;
  /// The last heartbeat of a peer, or null.
  const Heartbeat* FindPeer(const base::InstanceId& aInstance) const;

  /// Since when the platform's list has not shown the worker; nothing while it
  /// is listed, or before the first list. At most as old as this process.
  std::optional<base::TimePoint> AbsentSince(
    const base::WorkerId& aWorker) const;
  /// When the worker was last reached by this instance or named in a
  /// heartbeat.
  std::optional<base::TimePoint> LastEvidence(
    const base::WorkerId& aWorker) const;

  /// The marks to be sent in the next heartbeat.
  std::vector<LeavingMark> LeavingMarks(base::TimePoint aNow) const;

private:
  struct Peer
  {
    base::DomainId mDomain;
    bool mListed = false;
    bool mListedLeaving = false;
    base::TimePoint mListedSince;
    std::optional<base::TimePoint> mHeardAt;
    Heartbeat mHeartbeat;
  };
  struct Worker
  {
    base::DomainId mDomain;
    bool mListed = false;
    bool mListedLeaving = false;
    bool mListedBefore = false;
    std::optional<base::TimePoint> mAbsentSince;
    std::optional<base::TimePoint> mReturnedAt;
    std::optional<base::TimePoint> mEvidenceAt;
  };
  /// Name and incarnation.
  using MarkKey = std::pair<std::string, std::uint64_t>;

  bool IsFresh(base::TimePoint aEvidence, base::TimePoint aNow) const;
  bool IsMarked(const std::string& aName, std::uint64_t aIncarnation) const;
  bool IsUsable(const Worker& aWorker, base::TimePoint aNow) const;
  bool IsOutdated(const LeavingMark& aMark, base::TimePoint aNow) const;
  void Mark(const std::string& aName,
            std::uint64_t aIncarnation,
            base::TimePoint aExpiry);
  void ListEntry(const platform::InstanceInfo& aEntry, base::TimePoint aNow);
  void ListWorker(const platform::InstanceInfo& aEntry, base::TimePoint aNow);

  Self mSelf;
  ViewOptions mOptions;
  std::optional<base::TimePoint> mFirstListAt;
  std::map<base::InstanceId, Peer> mPeers;
  std::map<base::WorkerId, Worker> mWorkers;
  /// Value: when the mark is forgotten.
  std::map<MarkKey, base::TimePoint> mMarks;
};

} // namespace skylarkhill::membership

#endif // SKYLARKHILL_MEMBERSHIP_VIEW_HPP
