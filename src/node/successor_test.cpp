#include "skylarkhill/base/msgpack.hpp"
#include "skylarkhill/jobs/job_codec.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "cell_instance_test.hpp"

namespace skylarkhill::node {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds kStep{ 10 };
constexpr int kInstances = 8;
constexpr int kChanges = 5;
/// Small instances, which claim late if nobody names them.
constexpr double kProcessors = 0.12;
/// Time from a resignation to the starts of the successor.
constexpr milliseconds kMaxChangeTime{ 200 };
constexpr milliseconds kTermTime{ 700 };

} // namespace

/// Planned changes of the leader on a site whose instances know each other.
class SuccessorTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SuccessorTest);
  CPPUNIT_TEST(LeadsNoCellThatIsCreatedAfterTheResignation);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    for (const char* it : { "d0w0", "d0w1" }) {
      Store("workers", it, "1");
    }
  }

  // An instance gets SIGTERM before the division of the site is known. Guards
  // against a leader that stops while the others take it for alive (LOST).
  void LeadsNoCellThatIsCreatedAfterTheResignation()
  {
    Start("stopping");
    mInstances.front()->mInstance->mNode.Resign();
    Advance(seconds(15));
    CPPUNIT_ASSERT(!mState.mStreams["cells"].empty());
    CPPUNIT_ASSERT(mState.mStreams["leaders"].empty());
  }

private:
  struct NamedInstance
  {
    std::string mName;
    std::unique_ptr<CellInstance> mInstance;
  };

  void Start(const std::string& aName)
  {
    NodeOptions options = MakeCellOptions(aName + "/1", 0);
    options.mName = aName;
    options.mQueryAddress = aName + ":1";
    options.mProcessors = kProcessors;
    options.mStreams.mInstances.mTopic = "instances";
    mInstances.push_back(std::make_unique<NamedInstance>());
    mInstances.back()->mName = aName;
    mInstances.back()->mInstance =
      std::make_unique<CellInstance>(mState, mWorkers, mClock, options);
  }

  /// All instances know each other, and one leads.
  void StartSite()
  {
    mState = {};
    mWorkers.clear();
    mInstances.clear();
    setUp();
    for (int n = 0; n < kInstances; ++n) {
      Start("node" + std::to_string(n));
    }
    Advance(seconds(20));
  }

  /// Who leads after the first leader of a site without faults.
  std::string NextLeader()
  {
    StartSite();
    StopLeader();
    AdvanceToClaim();
    return Leader().mName;
  }

  NamedInstance& Leader()
  {
    const auto found = std::find_if(
      mInstances.begin(), mInstances.end(), [](const auto& aEntry) {
        return !aEntry->mInstance->mNode.LedCells().empty();
      });
    CPPUNIT_ASSERT(found != mInstances.end());
    return **found;
  }

  bool HasLeader() const
  {
    return std::any_of(
      mInstances.begin(), mInstances.end(), [](const auto& aEntry) {
        return !aEntry->mInstance->mNode.LedCells().empty();
      });
  }

  /// The leader resigns and ends once the resignation is stored.
  void StopLeader()
  {
    NamedInstance& leader = Leader();
    leader.mInstance->mNode.Resign();
    while (!leader.mInstance->mNode.LedCells().empty()) {
      Advance(kStep);
    }
    Remove(leader.mName);
  }

  /// The instance, which leads nothing, stops as planned.
  void Stop(const std::string& aName)
  {
    for (auto& it : mInstances) {
      if (it->mName == aName) {
        it->mInstance->mNode.Resign();
      }
    }
    Advance(milliseconds(100));
    Remove(aName);
  }

  void AdvanceToClaim()
  {
    const base::TimePoint end = mClock.Now() + seconds(5);
    while (!HasLeader() && mClock.Now() < end) {
      Advance(kStep);
    }
    CPPUNIT_ASSERT(HasLeader());
  }

  void AssertStartsAfterResignation(const std::string& aJobId)
  {
    StopLeader();
    const base::TimePoint stoppedAt = mClock.Now();
    Submit(aJobId);
    Advance(kMaxChangeTime);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(aJobId, 1, CountRuns(aJobId));
    CPPUNIT_ASSERT(mClock.Now() - stoppedAt <= kMaxChangeTime);
  }

  void Remove(const std::string& aName)
  {
    mInstances.erase(std::remove_if(mInstances.begin(),
                                    mInstances.end(),
                                    [&](const auto& aEntry) {
                                      return aEntry->mName == aName;
                                    }),
                     mInstances.end());
  }

  void Submit(const std::string& aJobId)
  {
    jobs::Step step;
    step.mIsService = true;
    step.mResources.mMilliProcessors = 100;
    jobs::JobRequest request;
    request.mSteps.push_back(step);
    CPPUNIT_ASSERT(mInstances.front()->mInstance->mNode.GetJobRouter().Submit(
      MakePolicy(), aJobId, request, mClock.Now() + milliseconds(400)));
  }

  int CountRuns(const std::string& aJobId) const
  {
    int n = 0;
    for (const auto& [id, worker] : mWorkers) {
      n += static_cast<int>(std::count_if(
        worker.mRuns.begin(), worker.mRuns.end(), [&](const auto& aRun) {
          return aRun.mTask.mJobId == aJobId;
        }));
    }
    return n;
  }

  void Advance(base::Duration aTime)
  {
    const base::TimePoint end = mClock.Now() + aTime;
    while (mClock.Now() < end) {
      mClock.Advance(kStep);
      for (auto& it : mInstances) {
        it->mInstance->mNode.Tick();
        it->mInstance->mLog.Deliver();
        it->mInstance->mClients.Deliver();
      }
    }
  }

  void Store(const std::string& aTopic, std::string aKey, std::string aValue)
  {
    auto& records = mState.mStreams[aTopic];
    const auto offset = static_cast<std::int64_t>(records.size());
    records.push_back({ std::move(aKey), std::move(aValue), offset });
  }

  base::ManualClock mClock;
  FakeLogState mState;
  FakeWorkers mWorkers;
  std::vector<std::unique_ptr<NamedInstance>> mInstances;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SuccessorTest);

} // namespace skylarkhill::node
