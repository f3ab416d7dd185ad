#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "node_site_test.hpp"

namespace skylarkhill::node {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kStep{ 20 };
constexpr milliseconds kCallTime{ 3000 };
/// Time until an instance leads in place of another one and has started tasks.
constexpr milliseconds kTakeoverTime{ 20'000 };

} // namespace

/// Records of the journal expire before an instance has read them, which then
/// loads the newest record of each key.
class JournalReloadTest : public NodeSiteFixture
{
  CPPUNIT_TEST_SUITE(JournalReloadTest);
  CPPUNIT_TEST(StartsNoJobThatWasRemovedMeanwhile);
  CPPUNIT_TEST(ForgetsAJobThatWasRemovedInItsTerm);
  CPPUNIT_TEST(ForgetsTheCancellationOfARemovedJob);
  CPPUNIT_TEST(KeepsJobsThatItHasAcceptedMeanwhile);
  CPPUNIT_TEST_SUITE_END();

public:
  // A follower misses the end and the removal of a job. Guards against the job
  // being shown as running for ever, and started again once the follower leads.
  void StartsNoJobThatWasRemovedMeanwhile()
  {
    Instance& leader = StartLeader(2);
    Instance& follower =
      &leader == mInstances[0].get() ? *mInstances[1] : *mInstances[0];
    SubmitBatch("a");
    Advance(milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, CountRuns());
    CPPUNIT_ASSERT(StateOf(follower, "a"));
    follower.mLog.mUnreadableTopics.insert("journal");
    EndRuns();
    Advance(milliseconds(1000));
    CPPUNIT_ASSERT(StateOf(leader, "a").value() == jobs::JobState::Completed);
    Remove("a");
    Advance(milliseconds(1000));
    Reload(follower);
    Advance(milliseconds(1000));
    CPPUNIT_ASSERT(IsNotFound(follower, "a"));
    CPPUNIT_ASSERT_EQUAL(
      std::size_t{ 0 },
      follower.mNode.GetJobRouter().CountPending("", Deadline()).value());
    mInstances.erase(mInstances.begin() +
                     (&leader == mInstances[0].get() ? 0 : 1));
    Advance(kTakeoverTime);
    CPPUNIT_ASSERT(mInstances[0]->mNode.IsDispatching());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 },
                         mInstances[0]->mClient.mStarts.size());
  }

  // The leader cannot read for a second. Guards against removed jobs that it
  // shows for ever, and against an effect on its other jobs.
  void ForgetsAJobThatWasRemovedInItsTerm()
  {
    Instance& leader = StartLeader(1);
    SubmitBatch("a");
    Advance(milliseconds(1000));
    EndRuns();
    SubmitService("b");
    Advance(milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, leader.mClient.mStarts.size());
    leader.mLog.mUnreadableTopics.insert("journal");
    Remove("a");
    Advance(milliseconds(1000));
    Reload(leader);
    Advance(milliseconds(5000));
    CPPUNIT_ASSERT(leader.mNode.IsDispatching());
    CPPUNIT_ASSERT(IsNotFound(leader, "a"));
    CPPUNIT_ASSERT(StateOf(leader, "b").value() == jobs::JobState::Running);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, CountRuns());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, leader.mClient.mStarts.size());
  }

  // A job is removed after its cancellation, and its id is submitted again.
  // Guards against an accepted job that is taken for cancelled.
  void ForgetsTheCancellationOfARemovedJob()
  {
    Instance& instance = StartLeader(1);
    SubmitBatch("a");
    Advance(milliseconds(1000));
    Cancel("a");
    Advance(milliseconds(1000));
    instance.mLog.mUnreadableTopics.insert("journal");
    Remove("a");
    SubmitBatch("a");
    Advance(milliseconds(1000));
    Reload(instance);
    Advance(milliseconds(1000));
    CPPUNIT_ASSERT(StateOf(instance, "a").value() != jobs::JobState::Cancelled);
  }

  // Guards against an accepted job that is not found, or not run, because its
  // record was stored after the last one that the instance has read.
  void KeepsJobsThatItHasAcceptedMeanwhile()
  {
    Instance& leader = StartLeader(1);
    SubmitService("a");
    Advance(milliseconds(1000));
    // Calls fail fast after a failed read.
    leader.mLog.mUnreadableTopics.insert("journal");
    jobs::Step step;
    step.mIsService = true;
    step.mCount = 1;
    step.mResources.mMilliProcessors = 1000;
    jobs::JobRequest request;
    request.mSteps = { step };
    CPPUNIT_ASSERT(leader.mNode.GetJobRouter().Submit(
      MakeSubmission("b").mPolicy, "b", request, Deadline()));
    Advance(milliseconds(500));
    Reload(leader);
    for (int n = 0; n < 100; ++n) {
      Advance(kStep);
      CPPUNIT_ASSERT(StateOf(leader, "a"));
      CPPUNIT_ASSERT(StateOf(leader, "b"));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, CountRuns());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, leader.mClient.mStarts.size());
  }

private:
  base::TimePoint Deadline() const { return mClock.Now() + kCallTime; }

  void SubmitBatch(const std::string& aId)
  {
    jobs::Step step;
    step.mCount = 1;
    step.mResources.mMilliProcessors = 1000;
    Submit(aId, { step });
  }

  /// Stores what a leader stores when it removes an old job.
  void Remove(const std::string& aId)
  {
    for (const auto kind : { jobs::RecordKind::Transfer,
                             jobs::RecordKind::Progress,
                             jobs::RecordKind::Cancellation,
                             jobs::RecordKind::Submission }) {
      Store("journal", jobs::FormatRecordKey(kind, aId), "");
    }
  }

  /// What the instance has not read expires, and it reads again.
  void Reload(Instance& aInstance)
  {
    mState.mFirstOffsets["journal"] =
      static_cast<std::int64_t>(mState.mStreams["journal"].size());
    aInstance.mLog.mUnreadableTopics.clear();
  }

  base::Result<jobs::JobState> StateOf(Instance& aInstance,
                                       const std::string& aId) const
  {
    return aInstance.mNode.GetJobRouter().StateOf(aId, Deadline());
  }

  bool IsNotFound(Instance& aInstance, const std::string& aId) const
  {
    const auto state = StateOf(aInstance, aId);
    return !state && state.error().mKind == base::ErrorKind::NotFound;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JournalReloadTest);

} // namespace skylarkhill::node
