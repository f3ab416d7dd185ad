#include "skylarkhill/testing/fake_instance_list.hpp"

#include <utility>

namespace skylarkhill::testing {

using platform::InstanceInfo;

FakeInstanceList::FakeInstanceList(const base::Clock& aClock)
  : mClock(aClock)
{
}

base::Result<std::vector<InstanceInfo>>
FakeInstanceList::Fetch(base::TimePoint aDeadline)
{
  const std::lock_guard lock(mMutex);
  if (mDown) {
    return base::MakeError(base::ErrorKind::LogUnavailable,
                           "the platform is down");
  }
  if (mClock.Now() >= aDeadline) {
    return base::MakeError(base::ErrorKind::LogUnavailable,
                           "the deadline has passed");
  }
  ApplyVisibleChanges();
  std::vector<InstanceInfo> instances;
  for (const auto& it : mInstances) {
    instances.push_back(it.second);
  }
  return instances;
}

void
FakeInstanceList::SetLag(base::Duration aLag)
{
  const std::lock_guard lock(mMutex);
  mLag = aLag;
}

void
FakeInstanceList::SetDown(bool aDown)
{
  const std::lock_guard lock(mMutex);
  mDown = aDown;
}

void
FakeInstanceList::Put(InstanceInfo aInstance)
{
  std::string name = aInstance.mName;
  AddChange(ChangeKind::Put, std::move(name), std::move(aInstance));
}

void
FakeInstanceList::MarkLeaving(const std::string& aName)
{
  AddChange(ChangeKind::MarkLeaving, aName, {});
}

void
FakeInstanceList::Remove(const std::string& aName)
{
  AddChange(ChangeKind::Remove, aName, {});
}

void
FakeInstanceList::AddChange(ChangeKind aKind,
                            std::string aName,
                            InstanceInfo aInstance)
{
  const std::lock_guard lock(mMutex);
  base::TimePoint visibleAt = mClock.Now() + mLag;
  // A shorter lag must not let a change overtake an earlier one.
  if (!mChanges.empty() && mChanges.back().mVisibleAt > visibleAt) {
    visibleAt = mChanges.back().mVisibleAt;
  }
  mChanges.push_back(
    { visibleAt, aKind, std::move(aName), std::move(aInstance) });
}

void
FakeInstanceList::ApplyVisibleChanges()
{
  const base::TimePoint now = mClock.Now();
  while (!mChanges.empty() && mChanges.front().mVisibleAt <= now) {
    Apply(mChanges.front());
    mChanges.pop_front();
  }
}

void
FakeInstanceList::Apply(Change& aChange)
{
  switch (aChange.mKind) {
    case ChangeKind::Put:
      mInstances[aChange.mName] = std::move(aChange.mInstance);
      return;
    case ChangeKind::MarkLeaving: {
      const auto found = mInstances.find(aChange.mName);
      if (found != mInstances.end()) {
        found->second.mState = platform::InstanceState::Leaving;
      }
      return;
    }
    case ChangeKind::Remove:
      mInstances.erase(aChange.mName);
      return;
  }
}

} // namespace skylarkhill::testing
