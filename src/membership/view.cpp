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
      ListEntry(it, aNow);
    } else {
      ListWorker(it, aNow);
    }
  }
  for (auto& it : mWorkers) {
    if (!it.second.mListed && !it.second.mAbsentSince) {
      it.second.mAbsentSince = aNow;
    }
  }
}

void
View::ListEntry(const platform::InstanceInfo& aEntry, base::TimePoint aNow)
{
  const base::InstanceId id{ aEntry.mName };
  const auto inserted = mPeers.emplace(id, Peer{});
  Peer& peer = inserted.first->second;
  if (inserted.second) {
    peer.mListedSince = aNow;
  }
  peer.mDomain = aEntry.mDomain;
  peer.mListed = true;
  // Before the first heartbeat there is no incarnation to mark, so the list's
  // own statement is kept.
  const bool leaving = aEntry.mState == platform::InstanceState::Leaving;
  peer.mListedLeaving = leaving || (peer.mListedLeaving && !peer.mHeardAt);
  if (peer.mListedLeaving && peer.mHeardAt) {
    Mark(aEntry.mName,
         peer.mHeartbeat.mIncarnation,
         aNow + mOptions.mMarkLifetime);
  }
}

void
View::ListWorker(const platform::InstanceInfo& aEntry, base::TimePoint aNow)
{
  const base::WorkerId id{ aEntry.mName };
  Worker& worker = mWorkers[id];
  // A worker that returns to the list after an absence is a new incarnation.
  if (worker.mAbsentSince && worker.mListedBefore) {
    worker.mReturnedAt = aNow;
    mMarks.erase({ aEntry.mName, 0 });
  }
  worker.mAbsentSince.reset();
  worker.mListedBefore = true;
  worker.mDomain = aEntry.mDomain;
  worker.mListed = true;
  if (aEntry.mState == platform::InstanceState::Leaving) {
    Mark(aEntry.mName, 0, aNow + mOptions.mMarkLifetime);
  }
}

void
View::OnHeartbeat(const Heartbeat& aHeartbeat, base::TimePoint aNow)
{
  for (const auto& it : aHeartbeat.mLeaving) {
    if (IsOutdated(it, aNow)) {
      continue;
    }
    Mark(it.mName,
         it.mIncarnation,
         aNow + std::min(it.mRemaining, mOptions.mMarkLifetime));
  }
  if (aHeartbeat.mInstance == mSelf.mInstance) {
    return;
  }
  Peer& peer = mPeers[aHeartbeat.mInstance];
  // Delayed messages of an earlier incarnation say nothing about this one.
  const bool stale =
    peer.mHeardAt && aHeartbeat.mIncarnation < peer.mHeartbeat.mIncarnation;
  if (stale) {
    return;
  }
  peer.mDomain = aHeartbeat.mDomain;
  peer.mHeardAt = aNow;
  peer.mHeartbeat = aHeartbeat;
  for (const auto& it : aHeartbeat.mHeldWorkers) {
    Worker& worker = mWorkers[it];
    worker.mDomain = aHeartbeat.mDomain;
    worker.mEvidenceAt = aNow;
  }
}

void
View::OnWorkerEvidence(const base::WorkerId& aWorker,
                       const base::DomainId& aDomain,
                       bool aLeaving,
                       base::TimePoint aNow)
{
  Worker& worker = mWorkers[aWorker];
  worker.mDomain = aDomain;
  worker.mEvidenceAt = aNow;
  if (aLeaving) {
    Mark(aWorker.mValue, 0, aNow + mOptions.mMarkLifetime);
  }
}

void
View::OnLeavingNotice(const base::InstanceId& aInstance,
                      std::uint64_t aIncarnation,
                      base::TimePoint aNow)
{
  Mark(aInstance.mValue, aIncarnation, aNow + mOptions.mMarkLifetime);
}

void
View::LeaveSelf(base::TimePoint aNow)
{
  Mark(
    mSelf.mInstance.mValue, mSelf.mIncarnation, aNow + mOptions.mMarkLifetime);
}

void
View::Prune(base::TimePoint aNow)
{
  for (auto it = mMarks.begin(); it != mMarks.end();) {
    it = aNow >= it->second ? mMarks.erase(it) : std::next(it);
  }
  const auto isOld = [&](const std::optional<base::TimePoint>& aEvidence) {
    return !aEvidence || aNow >= *aEvidence + mOptions.mMarkLifetime;
  };
  for (auto it = mPeers.begin(); it != mPeers.end();) {
    const bool over = !it->second.mListed && isOld(it->second.mHeardAt);
    it = over ? mPeers.erase(it) : std::next(it);
  }
  for (auto it = mWorkers.begin(); it != mWorkers.end();) {
    const bool over = !it->second.mListed && isOld(it->second.mEvidenceAt) &&
                      isOld(it->second.mAbsentSince);
    it = over ? mWorkers.erase(it) : std::next(it);
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
  return it != mWorkers.end() && IsUsable(it->second, aNow) &&
         !IsMarked(aWorker.mValue, 0);
}

std::vector<base::InstanceId>
View::LiveEntries(const base::DomainId& aDomain, base::TimePoint aNow) const
{
  std::vector<base::InstanceId> result;
  if (mSelf.mDomain == aDomain && IsLive(mSelf.mInstance, aNow)) {
    result.push_back(mSelf.mInstance);
  }
  for (const auto& it : mPeers) {
    const bool self = it.first == mSelf.mInstance;
    if (!self && it.second.mDomain == aDomain && IsLive(it.first, aNow)) {
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
    return !IsMarked(aInstance.mValue, mSelf.mIncarnation);
  }
  const auto it = mPeers.find(aInstance);
  if (it == mPeers.end() || it->second.mListedLeaving) {
    return false;
  }
  const Peer& peer = it->second;
  if (peer.mHeardAt) {
    return IsFresh(*peer.mHeardAt, aNow) &&
           !IsMarked(aInstance.mValue, peer.mHeartbeat.mIncarnation);
  }
  // A listed peer gets the usual time to send its first heartbeat.
  return peer.mListed && IsFresh(peer.mListedSince, aNow);
}

std::optional<base::InstanceId>
View::PreferredHolder(const base::WorkerId& aWorker, base::TimePoint aNow) const
{
  const auto found = mWorkers.find(aWorker);
  if (found == mWorkers.end()) {
    return std::nullopt;
  }
  std::vector<std::string> names;
  for (const auto& it : LiveEntries(found->second.mDomain, aNow)) {
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
    const bool holds =
      std::find(held.begin(), held.end(), aWorker) != held.end();
    if (holds && IsLive(it.first, aNow)) {
      return it.first;
    }
  }
  return std::nullopt;
}

const Heartbeat*
View::FindPeer(const base::InstanceId& aInstance) const
{
  const auto it = mPeers.find(aInstance);
  const bool heard = it != mPeers.end() && it->second.mHeardAt;
  return heard ? &it->second.mHeartbeat : nullptr;
}

std::optional<base::TimePoint>
View::AbsentSince(const base::WorkerId& aWorker) const
{
  const auto it = mWorkers.find(aWorker);
  return it == mWorkers.end() ? mFirstListAt : it->second.mAbsentSince;
}

std::optional<base::TimePoint>
View::LastEvidence(const base::WorkerId& aWorker) const
{
  const auto it = mWorkers.find(aWorker);
  return it == mWorkers.end() ? std::nullopt : it->second.mEvidenceAt;
}

std::vector<LeavingMark>
View::LeavingMarks(base::TimePoint aNow) const
{
  std::vector<LeavingMark> result;
  for (const auto& it : mMarks) {
    if (aNow < it.second) {
      result.push_back({ it.first.first, it.first.second, it.second - aNow });
    }
  }
  return result;
}

bool
View::IsFresh(base::TimePoint aEvidence, base::TimePoint aNow) const
{
  const auto limit = mOptions.mHeartbeatInterval * mOptions.mSuspicionIntervals;
  return aNow < aEvidence + limit;
}

bool
View::IsMarked(const std::string& aName, std::uint64_t aIncarnation) const
{
  return mMarks.count({ aName, aIncarnation }) != 0;
}

bool
View::IsUsable(const Worker& aWorker, base::TimePoint aNow) const
{
  const bool evident =
    aWorker.mEvidenceAt && IsFresh(*aWorker.mEvidenceAt, aNow);
  return aWorker.mListed || evident;
}

// Peers whose list lags still pass on the mark of a worker's earlier
// incarnation after the worker has returned.
bool
View::IsOutdated(const LeavingMark& aMark, base::TimePoint aNow) const
{
  const auto it = mWorkers.find(base::WorkerId{ aMark.mName });
  if (it == mWorkers.end() || !it->second.mReturnedAt) {
    return false;
  }
  const base::TimePoint made = aNow + aMark.mRemaining - mOptions.mMarkLifetime;
  return made < *it->second.mReturnedAt + mOptions.mListLag;
}

void
View::Mark(const std::string& aName,
           std::uint64_t aIncarnation,
           base::TimePoint aExpiry)
{
  // The first expiry stays: a mark that peers extended for one another would
  // never be forgotten.
  mMarks.emplace(MarkKey{ aName, aIncarnation }, aExpiry);
}

} // namespace skylarkhill::membership
