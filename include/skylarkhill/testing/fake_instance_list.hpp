#ifndef SKYLARKHILL_TESTING_FAKE_INSTANCE_LIST_HPP
#define SKYLARKHILL_TESTING_FAKE_INSTANCE_LIST_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/platform/instance_list.hpp"

#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace skylarkhill::testing {

/// An in-memory instance list. A change becomes visible after the lag in effect
/// when the change was made.
class FakeInstanceList : public platform::InstanceList
{
public:
  explicit FakeInstanceList(const base::Clock& aClock);

  base::Result<std::vector<platform::InstanceInfo>> Fetch(
    base::TimePoint aDeadline) override;

  void SetLag(base::Duration aLag);
  /// While down, Fetch fails with LogUnavailable, the error for any failure of
  /// the platform.
  void SetDown(bool aDown);
  /// Adds the instance, or replaces the one with the same name.
  void Put(platform::InstanceInfo aInstance);
  void MarkLeaving(const std::string& aName);
  void Remove(const std::string& aName);

private:
  enum class ChangeKind
  {
    Put,
    MarkLeaving,
    Remove,
  };
  struct Change
  {
    base::TimePoint mVisibleAt;
    ChangeKind mKind = ChangeKind::Put;
    std::string mName;
    platform::InstanceInfo mInstance;
  };

  void AddChange(ChangeKind aKind,
                 std::string aName,
                 platform::InstanceInfo aInstance);
  void ApplyVisibleChanges();
  void Apply(Change& aChange);

  const base::Clock& mClock;
  std::mutex mMutex;
  std::map<std::string, platform::InstanceInfo> mInstances;
  std::deque<Change> mChanges;
  base::Duration mLag{ 0 };
  bool mDown = false;
};

} // namespace skylarkhill::testing

#endif // SKYLARKHILL_TESTING_FAKE_INSTANCE_LIST_HPP
