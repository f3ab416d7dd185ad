#include "fake_site_test.hpp"

#include <algorithm>

namespace skylarkhill::dispatch {

namespace {

constexpr auto kStep = std::chrono::milliseconds(5);
constexpr auto kLatency = std::chrono::milliseconds(2);
constexpr auto kCallTimeout = std::chrono::milliseconds(600);

std::int64_t
ToMs(base::TimePoint aTime)
{
  return base::ToMicros(aTime) / 1000;
}

} // namespace

FakeWorker::FakeWorker(std::string aId, std::int64_t aMilliProcessors)
  : mId(std::move(aId))
  , mMilliProcessors(aMilliProcessors)
{
}

WorkerEntry
FakeWorker::Entry() const
{
  WorkerEntry entry;
  entry.mId = mId;
  entry.mService = "pool";
  entry.mAddress = mId + ":1";
  entry.mCapacity = { mMilliProcessors, std::int64_t{ 1 } << 36, 0 };
  entry.mLabels = { "a", "rack-1" };
  entry.mIsDraining = mIsDraining;
  entry.mBornMs = mBornMs;
  return entry;
}

void
FakeWorker::Restart()
{
  ++mBornMs;
  mToken = 0;
  mRuns.clear();
  mEnds.clear();
  mNextEnd = 1;
  mAcknowledged = 0;
  mHighestEnded.clear();
}

FakeSite::Leader::Leader(FakeSite& aSite, const Term& aTerm)
  : mSite(aSite)
  , mEpoch(aTerm.mEpoch)
  , mDispatcher(CreateDispatcher({}, aTerm, *this, mMetrics))
{
}

void
FakeSite::Leader::Poll(const PollOrder& aOrder)
{
  const base::TimePoint sentAt = mSite.Now();
  if (mCutOff.count(aOrder.mWorkerId) != 0) {
    mAnswers.emplace_back(sentAt + kCallTimeout, [this, aOrder] {
      mDispatcher->OnPollFailed(aOrder.mWorkerId, mSite.Now());
    });
    return;
  }
  FakeWorker& worker = mSite.Worker(aOrder.mWorkerId);
  if (mEpoch < worker.mToken) {
    mDispatcher->OnFenced(aOrder.mWorkerId);
    return;
  }
  worker.mToken = mEpoch;
  if (aOrder.mLeaseUntilMs > 0) {
    worker.mLeaseUntil = std::max(
      worker.mLeaseUntil, base::FromMicros(aOrder.mLeaseUntilMs * 1000));
  }
  for (const auto& it : worker.mEnds) {
    if (it.mNumber <= aOrder.mAcknowledged && it.mEnd == RunEnd::Done) {
      mSite.mNoted.insert(ToText(it.mTask));
    }
  }
  worker.mEnds.erase(std::remove_if(worker.mEnds.begin(),
                                    worker.mEnds.end(),
                                    [&](const EndedRun& aEnd) {
                                      return aEnd.mNumber <=
                                             aOrder.mAcknowledged;
                                    }),
                     worker.mEnds.end());
  WorkerReport report;
  report.mClockMs = ToMs(sentAt);
  report.mBornMs = worker.mBornMs;
  report.mEnds = worker.mEnds;
  for (const auto& it : worker.mRuns) {
    report.mRunning.push_back({ it.mTask, it.mNumber, "", 50, worker.mTailMs });
  }
  const base::TimePoint answeredAt =
    sentAt + kLatency + mDelays[aOrder.mWorkerId];
  mAnswers.emplace_back(answeredAt, [this, aOrder, report, sentAt] {
    mDispatcher->OnReport(aOrder.mWorkerId, report, sentAt, mSite.Now());
  });
}

void
FakeSite::Leader::Start(const StartOrder& aOrder)
{
  mStarts.push_back(aOrder);
  StartOutcome outcome = StartOutcome::Started;
  base::TimePoint answeredAt = mSite.Now() + kLatency;
  if (mCutOff.count(aOrder.mWorkerId) != 0) {
    outcome = StartOutcome::Unknown;
    answeredAt = mSite.Now() + kCallTimeout;
  } else {
    FakeWorker& worker = mSite.Worker(aOrder.mWorkerId);
    const bool isThere = std::any_of(
      worker.mRuns.begin(), worker.mRuns.end(), [&](const auto& aEntry) {
        return aEntry.mTask == aOrder.mTask && aEntry.mNumber == aOrder.mRun;
      });
    const auto ended = worker.mHighestEnded.find(ToText(aOrder.mTask));
    if (mEpoch < worker.mToken) {
      outcome = StartOutcome::Fenced;
    } else if (isThere) {
      outcome = StartOutcome::Started;
    } else if (ended != worker.mHighestEnded.end() &&
               aOrder.mRun <= ended->second) {
      outcome = StartOutcome::OldRun;
    } else {
      worker.mToken = mEpoch;
      worker.mLeaseUntil = std::max(
        worker.mLeaseUntil, base::FromMicros(aOrder.mLeaseUntilMs * 1000));
      mSite.NoteStart(worker, aOrder.mTask);
      const base::Duration time = mSite.mRunTime
                                    ? mSite.mRunTime(aOrder.mTask)
                                    : std::chrono::milliseconds(300);
      worker.mRuns.push_back(
        { aOrder.mTask,
          aOrder.mRun,
          mSite.Now() + time,
          mSite.mFails && mSite.mFails(aOrder.mTask, aOrder.mRun) });
    }
  }
  mAnswers.emplace_back(answeredAt, [this, aOrder, outcome] {
    mDispatcher->OnStart(aOrder, outcome, mSite.Now());
  });
}

void
FakeSite::Leader::Stop(const StopOrder& aOrder)
{
  OrderOutcome outcome = OrderOutcome::Accepted;
  base::TimePoint answeredAt = mSite.Now() + kLatency;
  if (mCutOff.count(aOrder.mWorkerId) != 0) {
    outcome = OrderOutcome::Unknown;
    answeredAt = mSite.Now() + kCallTimeout;
  } else {
    FakeWorker& worker = mSite.Worker(aOrder.mWorkerId);
    if (mEpoch < worker.mToken) {
      outcome = OrderOutcome::Fenced;
    } else {
      auto& highest = worker.mHighestEnded[ToText(aOrder.mTask)];
      highest = std::max(highest, aOrder.mRun);
      for (auto it = worker.mRuns.begin(); it != worker.mRuns.end(); ++it) {
        if (it->mTask == aOrder.mTask && it->mNumber == aOrder.mRun) {
          worker.mEnds.push_back({ worker.mNextEnd++,
                                   aOrder.mTask,
                                   aOrder.mRun,
                                   RunEnd::Stopped,
                                   "" });
          worker.mRuns.erase(it);
          break;
        }
      }
    }
  }
  mAnswers.emplace_back(answeredAt, [this, aOrder, outcome] {
    mDispatcher->OnStop(aOrder, outcome, mSite.Now());
  });
}

void
FakeSite::Leader::Pace(const PaceOrder& aOrder)
{
  mPaces.push_back(aOrder);
  mAnswers.emplace_back(mSite.Now() + kLatency, [this, aOrder] {
    mDispatcher->OnPace(aOrder, OrderOutcome::Accepted, mSite.Now());
  });
}

void
FakeSite::Leader::Advise(const AdviceOrder& aOrder)
{
  ++mAdviceCalls;
  Advice advice;
  advice.mValidMs = 3000;
  for (const auto& id : aOrder.mWorkerIds) {
    if (mPermitted.count(id) != 0) {
      advice.mPermissions.push_back({ id, "ticket-" + id });
    }
  }
  mAnswers.emplace_back(mSite.Now() + kLatency, [this, aOrder, advice] {
    mDispatcher->OnAdvice(aOrder, advice, mSite.Now());
  });
}

void
FakeSite::Leader::Step()
{
  const base::TimePoint now = mSite.Now();
  if (mIsConfirmed) {
    mConfirmedAt = now;
  }
  mDispatcher->SetAuthority(mConfirmedAt,
                            mConfirmedAt + std::chrono::seconds(12));
  auto answers = std::move(mAnswers);
  mAnswers.clear();
  for (auto& it : answers) {
    if (it.first <= now) {
      it.second();
    } else {
      mAnswers.push_back(std::move(it));
    }
  }
  mDispatcher->Tick(now, ToMs(now));
  if (mHasNoAnswer) {
    mDispatcher->TakeDirty();
    return;
  }
  if (mCanStore) {
    auto [batch, dirty] = mDispatcher->TakeDirty();
    for (auto& [id, progress] : dirty) {
      mStored[id] = std::move(progress);
    }
    mDispatcher->OnDurable(batch, now);
  }
}

FakeWorker&
FakeSite::AddWorker(const std::string& aId, std::int64_t aMilliProcessors)
{
  auto& worker = mWorkers[aId];
  worker = std::make_unique<FakeWorker>(aId, aMilliProcessors);
  return *worker;
}

FakeSite::Leader&
FakeSite::AddLeader(std::int64_t aEpoch, base::TimePoint aEarlierLeasesEnd)
{
  mLeaders.push_back(
    std::make_unique<Leader>(*this, Term{ aEpoch, aEarlierLeasesEnd }));
  for (const auto& [id, worker] : mWorkers) {
    mLeaders.back()->Get().SetWorker(worker->Entry(), Now());
  }
  return *mLeaders.back();
}

void
FakeSite::Kill(Leader& aLeader)
{
  mLeaders.erase(std::remove_if(mLeaders.begin(),
                                mLeaders.end(),
                                [&](const auto& aEntry) {
                                  return aEntry.get() == &aLeader;
                                }),
                 mLeaders.end());
}

void
FakeSite::Advance(std::chrono::milliseconds aTime)
{
  const base::TimePoint end = Now() + aTime;
  while (Now() < end) {
    mClock.Advance(kStep);
    for (auto& [id, worker] : mWorkers) {
      StepWorker(*worker);
    }
    for (auto& it : mLeaders) {
      it->Step();
    }
  }
}

void
FakeSite::StepWorker(FakeWorker& aWorker)
{
  const bool hasLapsed = aWorker.mLeaseUntil < Now();
  for (auto it = aWorker.mRuns.begin(); it != aWorker.mRuns.end();) {
    if (it->mEndsAt > Now() && !hasLapsed) {
      ++it;
      continue;
    }
    const RunEnd end = hasLapsed    ? RunEnd::LeaseExpired
                       : it->mFails ? RunEnd::Failed
                                    : RunEnd::Done;
    aWorker.mEnds.push_back(
      { aWorker.mNextEnd++, it->mTask, it->mNumber, end, "" });
    auto& highest = aWorker.mHighestEnded[ToText(it->mTask)];
    highest = std::max(highest, it->mNumber);
    it = aWorker.mRuns.erase(it);
  }
}

void
FakeSite::NoteStart(const FakeWorker&, const TaskId& aTask)
{
  const std::string task = ToText(aTask);
  ++mStartCounts[task];
  if (mNoted.count(task) != 0) {
    mViolations.push_back(task + " started after a noted success");
  }
  for (const auto& [id, worker] : mWorkers) {
    for (const auto& it : worker->mRuns) {
      if (it.mTask == aTask) {
        mViolations.push_back(task + " runs twice");
      }
    }
  }
}

jobs::JobRecord
MakeJob(const std::string& aId,
        const std::vector<int>& aCounts,
        std::int64_t aMilliProcessors)
{
  jobs::JobRecord job;
  job.mSubmission.emplace();
  job.mSubmission->mId = aId;
  job.mSubmission->mPolicy.mQueue = "queue";
  job.mSubmission->mPolicy.mService = "pool";
  job.mSubmission->mPolicy.mMaxAttempts = 3;
  job.mSubmission->mPolicy.mTargetLatencyMs = 1000;
  for (const int count : aCounts) {
    jobs::Step step;
    step.mCount = count;
    step.mNeed = { aMilliProcessors, 1 << 20, 0 };
    step.mEstimateMs = 300;
    if (!job.mSubmission->mRequest.mSteps.empty()) {
      step.mDependsOn = {
        static_cast<int>(job.mSubmission->mRequest.mSteps.size()) - 1
      };
    }
    job.mSubmission->mRequest.mSteps.push_back(step);
  }
  return job;
}

} // namespace skylarkhill::dispatch
