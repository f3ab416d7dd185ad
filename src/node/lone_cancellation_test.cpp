#include "skylarkhill/jobs/job_codec.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "cell_instance_test.hpp"

namespace skylarkhill::node {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds kStep{ 20 };
constexpr std::int64_t kFiveMinutesMs = 300'000;
/// Longer than a cancellation without a submission is kept.
constexpr seconds kLongTime{ 240 };
constexpr const char* kCancellation = "c/a";

} // namespace

/// How long the cancellation of a job that no cell knows is kept, and what is
/// removed with it.
class LoneCancellationTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LoneCancellationTest);
  CPPUNIT_TEST(OutlastsTheSubmissionIfClocksDiffer);
  CPPUNIT_TEST(IsRemovedAlthoughLeadersChange);
  CPPUNIT_TEST(StaysWithACopyThatComesDuringItsRemoval);
  CPPUNIT_TEST(RemovesNothingButTheCancellation);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    Store("workers", "d0w0", "1");
    for (int n = 0; n < 3; ++n) {
      StartInstance();
    }
    Advance(seconds(8));
  }

  // The clock of the instance that takes the cancellation is five minutes
  // behind that of the leader, and the submission comes late. Guards against a
  // cancellation that is taken for an old one and removed before it (UNASKED).
  void OutlastsTheSubmissionIfClocksDiffer()
  {
    CellInstance& caller = *mInstances.at(Leader() == 0 ? 1 : 0);
    caller.mWallClock.mAheadMs = -kFiveMinutesMs;
    CancelUnknown(caller);
    Advance(seconds(60));
    CPPUNIT_ASSERT(IsStored());
    StoreSubmission();
    Advance(seconds(5));
    CPPUNIT_ASSERT(mWorkers.at("d0w0").mRuns.empty());
  }

  // Guards against leaders that each count the time anew, so that nothing is
  // removed.
  void IsRemovedAlthoughLeadersChange()
  {
    CancelUnknown(*mInstances.at(0));
    for (int n = 0; n < 4; ++n) {
      Advance(seconds(50));
      const std::size_t leader = Leader();
      mInstances.erase(mInstances.begin() +
                       static_cast<std::ptrdiff_t>(leader));
      StartInstance();
      Advance(seconds(8));
      if (n < 2) {
        CPPUNIT_ASSERT(IsStored());
        continue;
      }
      break;
    }
    Advance(seconds(60));
    CPPUNIT_ASSERT(!IsStored());
  }

  // A late copy of tasks of the job is stored with its cancellation while the
  // leader removes the earlier one. Guards against the removal of both, after
  // which the tasks run (UNASKED).
  void StaysWithACopyThatComesDuringItsRemoval()
  {
    CancelUnknown(*mInstances.at(0));
    bool hasCome = false;
    for (const auto& it : mInstances) {
      it->mLog.mOnAppend = [this, &hasCome](const AppendRequest& aRequest) {
        if (!hasCome && IsRemoval(aRequest)) {
          hasCome = true;
          Store(JournalOf(0), kCancellation, "2");
          StoreBorrowedTasks();
        }
      };
    }
    Advance(kLongTime);
    CPPUNIT_ASSERT(hasCome);
    CPPUNIT_ASSERT(IsStored());
    CPPUNIT_ASSERT(mWorkers.at("d0w0").mRuns.empty());
  }

  // A job with the id of a removed cancellation is submitted while that is
  // removed. Guards against the removal of an accepted job (LOST).
  void RemovesNothingButTheCancellation()
  {
    CancelUnknown(*mInstances.at(0));
    bool hasCome = false;
    for (const auto& it : mInstances) {
      it->mLog.mOnAppend = [this, &hasCome](const AppendRequest& aRequest) {
        if (!hasCome && IsRemoval(aRequest)) {
          hasCome = true;
          StoreSubmission();
        }
      };
    }
    Advance(kLongTime);
    CPPUNIT_ASSERT(hasCome);
    for (const auto& it : mInstances) {
      CPPUNIT_ASSERT(it->mNode.GetJobRouter().StateOf("a", Deadline()));
    }
  }

private:
  void StartInstance()
  {
    NodeOptions options =
      MakeCellOptions("node" + std::to_string(++mStartCount), 0);
    options.mCells.mMaxCells = 1;
    mInstances.push_back(
      std::make_unique<CellInstance>(mState, mWorkers, mClock, options));
  }

  /// Index of the instance that leads.
  std::size_t Leader() const
  {
    const auto found = std::find_if(
      mInstances.begin(), mInstances.end(), [](const auto& aEntry) {
        return aEntry->mNode.IsDispatching();
      });
    CPPUNIT_ASSERT(found != mInstances.end());
    return static_cast<std::size_t>(found - mInstances.begin());
  }

  void CancelUnknown(CellInstance& aInstance)
  {
    const auto result = aInstance.mNode.GetJobRouter().Cancel("a", Deadline());
    CPPUNIT_ASSERT(!result &&
                   result.error().mKind == base::ErrorKind::NotFound);
  }

  /// True if the newest record of the cancellation is no deletion.
  bool IsStored() const
  {
    const auto& records = mState.mStreams.at(JournalOf(0));
    const auto newest =
      std::find_if(records.rbegin(), records.rend(), [](const auto& aRecord) {
        return aRecord.mKey == kCancellation;
      });
    return newest != records.rend() && !newest->mValue.empty();
  }

  static bool IsRemoval(const AppendRequest& aRequest)
  {
    const auto& records = aRequest.mRecords;
    return std::any_of(
      records.begin(), records.end(), [](const LogRecord& aRecord) {
        return aRecord.mKey == kCancellation && aRecord.mValue.empty();
      });
  }

  jobs::Submission MakeSubmission() const
  {
    jobs::Step step;
    step.mIsService = true;
    step.mResources.mMilliProcessors = 500;
    jobs::Submission submission;
    submission.mId = "a";
    submission.mPolicy = MakePolicy();
    submission.mRequest.mSteps.push_back(step);
    submission.mAcceptedMs = SimulatedWallClock(mClock).NowMs();
    return submission;
  }

  void StoreSubmission()
  {
    Store(JournalOf(0),
          jobs::FormatRecordKey(jobs::RecordKind::Submission, "a"),
          jobs::EncodeSubmission(MakeSubmission()));
  }

  void StoreBorrowedTasks()
  {
    jobs::StepProgress step;
    step.mTasks.push_back({ 0, false, {}, 0, "" });
    Store(JournalOf(0),
          jobs::FormatPartKey(jobs::RecordKind::Borrowed, "a", "1.1"),
          jobs::EncodeBorrowedTasks({ MakeSubmission(), { step }, { 1 } }));
  }

  base::TimePoint Deadline() const { return mClock.Now() + milliseconds(400); }

  void Advance(base::Duration aTime)
  {
    const base::TimePoint end = mClock.Now() + aTime;
    while (mClock.Now() < end) {
      mClock.Advance(kStep);
      for (auto& it : mInstances) {
        it->mNode.Tick();
        it->mLog.Deliver();
        it->mClients.Deliver();
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
  std::vector<std::unique_ptr<CellInstance>> mInstances;
  int mStartCount = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoneCancellationTest);

} // namespace skylarkhill::node
