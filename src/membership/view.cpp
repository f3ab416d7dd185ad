#include "skylarkhill/membership/view.hpp"

#include "skylarkhill/base/hash.hpp"

#include <algorithm>

namespace skylarkhill::membership {

View::View(Self aSelf, ViewOptions aOptions)
  : mSelf(std::move(aSelf))
  , mOptions(aOptions)
{
}

void
View::OnList(const std::vector<platform::InstanceInfo>& aList,
             base::TimePoint aNow)
{
  mFirstListAt = mFirstListAt.value_or(aNow);
  for (auto& it : mPeers) {
    it.second.mListed = false;
  }
  for (auto& it : mWorkers) {
    it.second.mListed = false;
  }
  for (const auto& it : aList) {
    if (it.mRole == platform::InstanceRole::Entry) {
      UpdateListedEntry(it, aNow);
    } else {
      UpdateListedWorker(it, aNow);
    }
  }
  for (auto& it : mWorkers) {
    if (!it.second.mListed && !it.second.mAbsentSince) {
      it.second.mAbsentSince = aNow;
    }
  }
}

void
View::UpdateListedEntry(const platform::InstanceInfo& aEntry,
                        base::TimePoint aNow)
{
  const base::InstanceId id{ aEntry.mName };
  const auto inserted = mPeers.emplace(id, Peer{});
  Peer& peer = inserted.first->second;
  if (inserted.second) {
    peer.mListedSince = aNow;
  }
  peer.mDomain = aEntry.mDomain;
  peer.mListed = true;
  // A leaving notice needs an incarnation, which is unknown before the first
  // heartbeat; until then mListedLeaving, once set, stays set.
  const bool isLeaving = aEntry.mState == platform::InstanceState::Leaving;
  peer.mListedLeaving =
    isLeaving || (peer.mListedLeaving && !peer.mLastHeartbeatAt);
  if (peer.mListedLeaving && peer.mLastHeartbeatAt) {
    AddLeavingNotice(aEntry.mName,
                     peer.mHeartbeat.mIncarnation,
                     aNow + mOptions.mLeavingNoticeLifetime);
  }
}

void
View::UpdateListedWorker(const platform::InstanceInfo& aEntry,
                         base::TimePoint aNow)
{
  const base::WorkerId id{ aEntry.mName };
  Worker& worker = mWorkers[id];
  // A worker that returns to the list after an absence is a new incarnation.
  if (worker.mAbsentSince && worker.mWasListed) {
    worker.mReturnedAt = aNow;
    mLeavingNotices.erase({ aEntry.mName, 0 });
  }
  worker.mAbsentSince.reset();
  worker.mWasListed = true;
  worker.mDomain = aEntry.mDomain;
  worker.mListed = true;
  if (aEntry.mState == platform::InstanceState::Leaving) {
    AddLeavingNotice(aEntry.mName, 0, aNow + mOptions.mLeavingNoticeLifetime);
  }
}

void
View::OnHeartbeat(const Heartbeat& aHeartbeat, base::TimePoint aNow)
{
  for (const auto& it : aHeartbeat.mLeaving) {
    if (IsOutdated(it, aNow)) {
      continue;
    }
    AddLeavingNotice(
      it.mName,
      it.mIncarnation,
      aNow + std::min(it.mRemaining, mOptions.mLeavingNoticeLifetime));
  }
  if (aHeartbeat.mInstance == mSelf.mInstance) {
    return;
  }
  Peer& peer = mPeers[aHeartbeat.mInstance];
  // Ignores delayed heartbeats of an earlier incarnation.
  const bool isStale = peer.mLastHeartbeatAt &&
                       aHeartbeat.mIncarnation < peer.mHeartbeat.mIncarnation;
  if (isStale) {
    return;
  }
  peer.mDomain = aHeartbeat.mDomain;
  peer.mLastHeartbeatAt = aNow;
  peer.mHeartbeat = aHeartbeat;
  for (const auto& it : aHeartbeat.mHeldWorkers) {
    Worker& worker = mWorkers[it];
    worker.mDomain = aHeartbeat.mDomain;
    worker.mLastSeenAt = aNow;
  }
}

void
View::OnWorkerPolled(const base::WorkerId& aWorker,
                     const base::DomainId& aDomain,
                     bool aLeaving,
                     base::TimePoint aNow)
{
  Worker& worker = mWorkers[aWorker];
  worker.mDomain = aDomain;
  worker.mLastSeenAt = aNow;
  if (aLeaving) {
    AddLeavingNotice(aWorker.mValue, 0, aNow + mOptions.mLeavingNoticeLifetime);
  }
}

void
View::OnLeavingNotice(const base::InstanceId& aInstance,
                      std::uint64_t aIncarnation,
                      base::TimePoint aNow)
{
  AddLeavingNotice(
    aInstance.mValue, aIncarnation, aNow + mOptions.mLeavingNoticeLifetime);
}

void
View::MarkSelfLeaving(base::TimePoint aNow)
{
  AddLeavingNotice(mSelf.mInstance.mValue,
                   mSelf.mIncarnation,
                   aNow + mOptions.mLeavingNoticeLifetime);
}

void
View::Prune(base::TimePoint aNow)
{
  for (auto it = mLeavingNotices.begin(); it != mLeavingNotices.end();) {
    it = aNow >= it->second ? mLeavingNotices.erase(it) : std::next(it);
  }
  const auto isPastLifetime =
    [&](const std::optional<base::TimePoint>& aSeenAt) {
      return !aSeenAt || aNow >= *aSeenAt + mOptions.mLeavingNoticeLifetime;
    };
  for (auto it = mPeers.begin(); it != mPeers.end();) {
    const bool isExpired =
      !it->second.mListed && isPastLifetime(it->second.mLastHeartbeatAt);
    it = isExpired ? mPeers.erase(it) : std::next(it);
  }
  for (auto it = mWorkers.begin(); it != mWorkers.end();) {
    const bool isExpired = !it->second.mListed &&
                           isPastLifetime(it->second.mLastSeenAt) &&
                           isPastLifetime(it->second.mAbsentSince);
    it = isExpired ? mWorkers.erase(it) : std::next(it);
  }
}

std::vector<base::WorkerId>
View::EligibleWorkers(const base::DomainId& aDomain, base::TimePoint aNow) const
{
  std::vector<base::WorkerId> result;
  for (const auto& it : mWorkers) {
    if (it.second.mDomain == aDomain && IsEligible(it.first, aNow)) {
      result.push_back(it.first);
    }
  }
  return result;
}

bool
View::IsEligible(const base::WorkerId& aWorker, base::TimePoint aNow) const
{
  const auto it = mWorkers.find(aWorker);
  return it != mWorkers.end() && IsPresent(it->second, aNow) &&
         !IsLeaving(aWorker.mValue, 0);
}

std::vector<base::InstanceId>
View::LiveEntryInstances(const base::DomainId& aDomain,
                         base::TimePoint aNow) const
{
  std::vector<base::InstanceId> result;
  if (mSelf.mDomain == aDomain && IsLive(mSelf.mInstance, aNow)) {
    result.push_back(mSelf.mInstance);
  }
  for (const auto& it : mPeers) {
    const bool isSelf = it.first == mSelf.mInstance;
    if (!isSelf && it.second.mDomain == aDomain && IsLive(it.first, aNow)) {
      result.push_back(it.first);
    }
  }
  std::sort(result.begin(), result.end());
  return result;
}

bool
View::IsLive(const base::InstanceId& aInstance, base::TimePoint aNow) const
{
  if (aInstance == mSelf.mInstance) {
    return !IsLeaving(aInstance.mValue, mSelf.mIncarnation);
  }
  const auto it = mPeers.find(aInstance);
  if (it == mPeers.end() || it->second.mListedLeaving) {
    return false;
  }
  const Peer& peer = it->second;
  if (peer.mLastHeartbeatAt) {
    return IsRecent(*peer.mLastHeartbeatAt, aNow) &&
           !IsLeaving(aInstance.mValue, peer.mHeartbeat.mIncarnation);
  }
  // A newly listed peer has mSuspicionIntervals heartbeat intervals to send its
  // first heartbeat.
  return peer.mListed && IsRecent(peer.mListedSince, aNow);
}

std::optional<base::InstanceId>
View::PreferredHolder(const base::WorkerId& aWorker, base::TimePoint aNow) const
{
  const auto found = mWorkers.find(aWorker);
  if (found == mWorkers.end()) {
    return std::nullopt;
  }
  std::vector<std::string> names;
  for (const auto& it : LiveEntryInstances(found->second.mDomain, aNow)) {
    names.push_back(it.mValue);
  }
  const auto ranked = base::RendezvousRank(aWorker.mValue, std::move(names));
  if (ranked.empty()) {
    return std::nullopt;
  }
  return base::InstanceId{ ranked.front() };
}

std::optional<base::InstanceId>
View::ReportedHolder(const base::WorkerId& aWorker, base::TimePoint aNow) const
{
  for (const auto& it : mPeers) {
    const auto& held = it.second.mHeartbeat.mHeldWorkers;
    const bool isHeld =
      std::find(held.begin(), held.end(), aWorker) != held.end();
    if (isHeld && IsLive(it.first, aNow)) {
      return it.first;
    }
  }
  return std::nullopt;
}

const Heartbeat*
View::FindPeer(const base::InstanceId& aInstance) const
{
  const auto it = mPeers.find(aInstance);
  const bool hasHeartbeat = it != mPeers.end() && it->second.mLastHeartbeatAt;
  return hasHeartbeat ? &it->second.mHeartbeat : nullptr;
}

std::optional<base::TimePoint>
View::AbsentSince(const base::WorkerId& aWorker) const
{
  const auto it = mWorkers.find(aWorker);
  return it == mWorkers.end() ? mFirstListAt : it->second.mAbsentSince;
}

std::optional<base::TimePoint>
View::LastSeen(const base::WorkerId& aWorker) const
{
  const auto it = mWorkers.find(aWorker);
  return it == mWorkers.end() ? std::nullopt : it->second.mLastSeenAt;
}

std::vector<LeavingNotice>
View::LeavingNotices(base::TimePoint aNow) const
{
  std::vector<LeavingNotice> result;
  for (const auto& it : mLeavingNotices) {
    if (aNow < it.second) {
      result.push_back({ it.first.first, it.first.second, it.second - aNow });
    }
  }
  return result;
}

bool
View::IsRecent(base::TimePoint aSeenAt, base::TimePoint aNow) const
{
  const auto limit = mOptions.mHeartbeatInterval * mOptions.mSuspicionIntervals;
  return aNow < aSeenAt + limit;
}

bool
View::IsLeaving(const std::string& aName, std::uint64_t aIncarnation) const
{
  return mLeavingNotices.count({ aName, aIncarnation }) != 0;
}

bool
View::IsPresent(const Worker& aWorker, base::TimePoint aNow) const
{
  const bool isRecentlySeen =
    aWorker.mLastSeenAt && IsRecent(*aWorker.mLastSeenAt, aNow);
  return aWorker.mListed || isRecentlySeen;
}

// Peers whose list lags may still send a notice about the earlier incarnation
// of a worker that has returned.
bool
View::IsOutdated(const LeavingNotice& aNotice, base::TimePoint aNow) const
{
  const auto it = mWorkers.find(base::WorkerId{ aNotice.mName });
  if (it == mWorkers.end() || !it->second.mReturnedAt) {
    return false;
  }
  const base::TimePoint createdAt =
    aNow + aNotice.mRemaining - mOptions.mLeavingNoticeLifetime;
  return createdAt < *it->second.mReturnedAt + mOptions.mListLag;
}

void
View::AddLeavingNotice(const std::string& aName,
                       std::uint64_t aIncarnation,
                       base::TimePoint aExpiry)
{
  // Keeps the first expiry: if peers could extend a notice for one another, it
  // would never expire.
  mLeavingNotices.emplace(NoticeKey{ aName, aIncarnation }, aExpiry);
}

} // namespace skylarkhill::membership
