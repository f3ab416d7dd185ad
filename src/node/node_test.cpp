#include "skylarkhill/jobs/job_codec.hpp"
#include "skylarkhill/node/job_service.hpp"
#include "skylarkhill/node/leadership.hpp"
#include "skylarkhill/node/route_table.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include "fake_shared_log_test.hpp"

namespace skylarkhill::node {

using std::chrono::milliseconds;

namespace {

const LogStream kLeaders{ "leaders", 0 };
const LogStream kJournal{ "journal", 0 };

/// One candidate with its own access to the log.
struct Candidate
{
  Candidate(FakeLogState& aState,
            const base::Clock& aClock,
            const std::string& aName)
    : mLog(aState)
    , mLeadership(mLog, aClock, kLeaders, aName)
  {
  }

  FakeSharedLog mLog;
  Leadership mLeadership;
};

Route
MakeRoute(const std::string& aHost,
          const std::string& aPrefix,
          const std::string& aQueue)
{
  Route route;
  route.mHost = aHost;
  route.mPathPrefix = aPrefix;
  route.mPolicy.mQueue = aQueue;
  return route;
}

} // namespace

class NodeTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(NodeTest);
  CPPUNIT_TEST(elects_one_leader);
  CPPUNIT_TEST(replaces_a_silent_leader);
  CPPUNIT_TEST(replaces_nobody_while_the_log_is_away);
  CPPUNIT_TEST(keeps_the_leader_whose_renewals_are_not_answered);
  CPPUNIT_TEST(replaces_a_leader_that_resigned_at_once);
  CPPUNIT_TEST(waits_for_the_leases_of_a_leader_that_resigned);
  CPPUNIT_TEST(takes_the_longest_prefix);
  CPPUNIT_TEST(accepts_a_job_once_it_is_stored);
  CPPUNIT_TEST(refuses_a_job_while_the_log_refuses_calls);
  CPPUNIT_TEST(tells_that_the_outcome_is_unknown);
  CPPUNIT_TEST(knows_no_job_before_the_journal_is_loaded);
  CPPUNIT_TEST(finds_a_job_that_another_node_has_just_accepted);
  CPPUNIT_TEST_SUITE_END();

public:
  void elects_one_leader()
  {
    AddCandidates(3);
    Advance(milliseconds(2000));
    CPPUNIT_ASSERT_EQUAL(1, CountLeaders());
  }

  void replaces_a_silent_leader()
  {
    AddCandidates(3);
    Advance(milliseconds(2000));
    Candidate& first = Leader();
    first.mLog.mIsCutOff = true;
    Advance(milliseconds(1500));
    CPPUNIT_ASSERT_EQUAL(1, CountLeaders());
    Advance(milliseconds(2500));
    CPPUNIT_ASSERT_EQUAL(2, CountLeaders());
    first.mLog.mIsCutOff = false;
    Advance(milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(1, CountLeaders());
    CPPUNIT_ASSERT(!first.mLeadership.IsLeader());
  }

  // Guards against a change of the leader after each outage of the log.
  void replaces_nobody_while_the_log_is_away()
  {
    AddCandidates(3);
    Advance(milliseconds(2000));
    Candidate& first = Leader();
    for (auto& it : mCandidates) {
      it->mLog.mIsCutOff = true;
    }
    Advance(milliseconds(8000));
    for (auto& it : mCandidates) {
      it->mLog.mIsCutOff = false;
    }
    Advance(milliseconds(6000));
    CPPUNIT_ASSERT(first.mLeadership.IsLeader());
    CPPUNIT_ASSERT_EQUAL(1, CountLeaders());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1 }, first.mLeadership.Epoch());
  }

  void keeps_the_leader_whose_renewals_are_not_answered()
  {
    AddCandidates(2);
    Advance(milliseconds(2000));
    Candidate& first = Leader();
    first.mLog.mLosesAnswers = true;
    Advance(milliseconds(6000));
    first.mLog.mLosesAnswers = false;
    Advance(milliseconds(2000));
    CPPUNIT_ASSERT_EQUAL(1, CountLeaders());
    CPPUNIT_ASSERT(first.mLeadership.IsLeader());
  }

  void replaces_a_leader_that_resigned_at_once()
  {
    AddCandidates(3);
    Advance(milliseconds(2000));
    Candidate& first = Leader();
    first.mLeadership.Resign();
    Advance(milliseconds(900));
    CPPUNIT_ASSERT_EQUAL(1, CountLeaders());
    CPPUNIT_ASSERT(!first.mLeadership.IsLeader());
  }

  // Guards against tasks that are started again while they still run under the
  // lease of a leader of which only the resignation has been read.
  void waits_for_the_leases_of_a_leader_that_resigned()
  {
    AddCandidates(1);
    Advance(milliseconds(2000));
    mCandidates.front()->mLeadership.Resign();
    Advance(milliseconds(50));
    mCandidates.clear();
    AddCandidates(1, "new");
    const base::TimePoint restartedAt = mClock.Now();
    Advance(milliseconds(2000));
    CPPUNIT_ASSERT(Leader().mLeadership.EarlierAuthorityEnd() >=
                   restartedAt + kAuthority);
  }

  void takes_the_longest_prefix()
  {
    const RouteTable table(3,
                           { MakeRoute("h", "/a/", "short"),
                             MakeRoute("h", "/a/b/", "long"),
                             MakeRoute("i", "/a/", "other") });
    const auto match = table.Find("h:8080", "/a/b/0123");
    CPPUNIT_ASSERT(match);
    CPPUNIT_ASSERT_EQUAL(std::string("long"), match->mRoute->mPolicy.mQueue);
    CPPUNIT_ASSERT_EQUAL(std::string("0123"), match->mRest);
    CPPUNIT_ASSERT(!table.Find("h", "/b"));
    CPPUNIT_ASSERT(!table.Find("none", "/a/"));
  }

  void accepts_a_job_once_it_is_stored()
  {
    CPPUNIT_ASSERT(Submit("a"));
    CPPUNIT_ASSERT(Submit("a"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mState.mStreams["journal"].size());
    CPPUNIT_ASSERT(mService.StateOf("a", Soon()).value() ==
                   jobs::JobState::Pending);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mService.CountPending("queue"));
    CPPUNIT_ASSERT(mService.Cancel("a", Soon()));
    CPPUNIT_ASSERT(mService.StateOf("a", Soon()).value() ==
                   jobs::JobState::Cancelled);
  }

  void refuses_a_job_while_the_log_refuses_calls()
  {
    mService.Health().SetUnreachable(mClock.Now());
    const auto result = Submit("a");
    CPPUNIT_ASSERT(result.error().mKind == base::ErrorKind::LogUnavailable);
    CPPUNIT_ASSERT(mState.mStreams["journal"].empty());
    mClock.Advance(milliseconds(800));
    CPPUNIT_ASSERT(Submit("a"));
  }

  // Guards against "not run" for a job that is stored.
  void tells_that_the_outcome_is_unknown()
  {
    mLog.mLosesAnswers = true;
    const auto result =
      mService.Submit({ "queue" }, "a", {}, mClock.Now() + milliseconds(500));
    CPPUNIT_ASSERT(result.error().mKind == base::ErrorKind::OutcomeUnknown);
  }

  // Guards against 410 for the cancellation of an accepted job at a node that
  // has just started.
  void knows_no_job_before_the_journal_is_loaded()
  {
    mNext = kNotLoaded;
    CPPUNIT_ASSERT(mService.Cancel("a", Soon()).error().mKind ==
                   base::ErrorKind::LogUnavailable);
    CPPUNIT_ASSERT(mService.StateOf("a", Soon()).error().mKind ==
                   base::ErrorKind::LogUnavailable);
    mNext = 0;
    CPPUNIT_ASSERT(mService.Cancel("a", Soon()).error().mKind ==
                   base::ErrorKind::NotFound);
  }

  void finds_a_job_that_another_node_has_just_accepted()
  {
    jobs::Submission submission;
    submission.mId = "b";
    AppendRequest request;
    request.mStream = kJournal;
    request.mRecords.push_back(
      { jobs::FormatRecordKey(jobs::RecordKind::Submission, "b"),
        jobs::EncodeSubmission(submission),
        0 });
    mLog.Append(request, Soon());
    CPPUNIT_ASSERT(mService.StateOf("b", Soon()));
  }

private:
  void AddCandidates(int aCount, const std::string& aPrefix = "node")
  {
    for (int n = 0; n < aCount; ++n) {
      mCandidates.push_back(std::make_unique<Candidate>(
        mState, mClock, aPrefix + std::to_string(n)));
    }
  }

  void Advance(milliseconds aTime)
  {
    const base::TimePoint end = mClock.Now() + aTime;
    while (mClock.Now() < end) {
      mClock.Advance(milliseconds(20));
      for (auto& it : mCandidates) {
        it->mLeadership.Poll();
        it->mLog.Deliver();
      }
    }
  }

  int CountLeaders() const
  {
    int n = 0;
    for (const auto& it : mCandidates) {
      n += it->mLeadership.IsLeader() ? 1 : 0;
    }
    return n;
  }

  Candidate& Leader()
  {
    for (auto& it : mCandidates) {
      if (it->mLeadership.IsLeader()) {
        return *it;
      }
    }
    CPPUNIT_FAIL("no leader");
    return *mCandidates.front();
  }

  base::Result<void> Submit(const std::string& aId)
  {
    jobs::QueuePolicy policy;
    policy.mQueue = "queue";
    return mService.Submit(policy, aId, {}, Soon());
  }

  base::TimePoint Soon() const { return mClock.Now() + milliseconds(2000); }

  base::ManualClock mClock;
  FakeLogState mState;
  std::vector<std::unique_ptr<Candidate>> mCandidates;
  FakeSharedLog mLog{ mState };
  jobs::JobTable mJobs;
  std::atomic<std::int64_t> mNext{ 0 };
  metrics::Registry mMetrics;
  JobService mService{ mJobs,   mLog,   kJournal,
                       mNext,   mClock, journal::GetSystemWallClock(),
                       mMetrics };
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeTest);

} // namespace skylarkhill::node
