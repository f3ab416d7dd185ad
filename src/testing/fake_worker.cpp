#include "skylarkhill/testing/fake_worker.hpp"

#include "skylarkhill/base/json.hpp"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace skylarkhill::testing {

using base::ErrorKind;
using base::MakeError;
using std::chrono::milliseconds;
using worker::AttemptKey;
using worker::CommandHeader;
using worker::HolderToken;
using worker::ServiceAnswer;
using worker::ServiceCall;
using worker::StartTask;
using worker::TaskPhase;
using worker::TaskReport;
using worker::WorkerReport;
using worker::WorkerTime;

namespace {

constexpr std::int64_t kDefaultRunMs = 100;
constexpr std::int64_t kPercent = 100;

base::Result<void>
Success()
{
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

/// The name of a checkpoint of `aTask` after `aWorkDone` of its work.
std::string
FormatCheckpointName(const base::TaskId& aTask, base::Duration aWorkDone)
{
  return aTask.mValue + "@" + std::to_string(aWorkDone.count());
}

/// The work done at a checkpoint of `aTask`, or nothing if FormatCheckpointName
/// does not produce such a name.
std::optional<base::Duration>
ParseCheckpointName(const base::TaskId& aTask, const std::string& aName)
{
  if (aName.empty()) {
    return base::Duration(0);
  }
  const std::string prefix = aTask.mValue + "@";
  if (aName.compare(0, prefix.size(), prefix) != 0) {
    return std::nullopt;
  }
  const std::string digits = aName.substr(prefix.size());
  if (digits.empty() ||
      digits.find_first_not_of("0123456789") != std::string::npos) {
    return std::nullopt;
  }
  return base::Duration(std::strtoll(digits.c_str(), nullptr, 10));
}

/// The "work_ms" of a service request's body, or nothing if the body is not a
/// JSON object.
std::optional<base::Duration>
ParseRequestWork(const std::string& aBody)
{
  if (aBody.empty()) {
    return base::Duration(0);
  }
  const auto json = base::ParseJson(aBody);
  if (!json) {
    return std::nullopt;
  }
  base::JsonReader reader(json.value());
  const base::Duration work = milliseconds(reader.GetInt("work_ms", 0));
  return reader.Check() ? std::make_optional(work) : std::nullopt;
}

} // namespace

FakeWorker::FakeWorker(const base::Clock& aClock, FakeWorkerConfig aConfig)
  : mClock(aClock)
  , mConfig(std::move(aConfig))
{
}

base::Result<WorkerReport>
FakeWorker::Poll(base::TimePoint aDeadline)
{
  const std::lock_guard lock(mMutex);
  BOOST_OUTCOME_TRYV(CheckReachable(aDeadline));
  AdvanceToNow();
  BOOST_OUTCOME_TRYV(FinishCommand());
  return MakeReport();
}

base::Result<WorkerReport>
FakeWorker::SetHolderLease(const HolderToken& aToken,
                           base::Duration aLeaseDuration,
                           base::TimePoint aDeadline)
{
  const std::lock_guard lock(mMutex);
  BOOST_OUTCOME_TRYV(CheckReachable(aDeadline));
  AdvanceToNow();
  const WorkerTime expiresAt = ToWorkerTime(mClock.Now() + aLeaseDuration);
  const auto found =
    std::find_if(mHolders.begin(), mHolders.end(), [&](const auto& aLease) {
      return aLease.mToken == aToken;
    });
  if (found == mHolders.end()) {
    mHolders.push_back({ aToken, expiresAt });
  } else {
    found->mExpiresAt = std::max(found->mExpiresAt, expiresAt);
  }
  BOOST_OUTCOME_TRYV(FinishCommand());
  return MakeReport();
}

base::Result<void>
FakeWorker::RemoveHolderLease(const HolderToken& aToken,
                              base::TimePoint aDeadline)
{
  const std::lock_guard lock(mMutex);
  BOOST_OUTCOME_TRYV(CheckReachable(aDeadline));
  AdvanceToNow();
  mHolders.erase(
    std::remove_if(mHolders.begin(),
                   mHolders.end(),
                   [&](const auto& aLease) { return aLease.mToken == aToken; }),
    mHolders.end());
  return FinishCommand();
}

base::Result<void>
FakeWorker::Start(const CommandHeader& aHeader,
                  const StartTask& aStart,
                  base::TimePoint aDeadline)
{
  const std::lock_guard lock(mMutex);
  BOOST_OUTCOME_TRYV(CheckCommand(aHeader, aDeadline));
  BOOST_OUTCOME_TRYV(CheckStart(aStart));
  AddTask(aStart);
  return FinishCommand();
}

base::Result<void>
FakeWorker::Renew(const CommandHeader& aHeader,
                  const std::vector<AttemptKey>& aTasks,
                  WorkerTime aLeaseExpiresAt,
                  base::TimePoint aDeadline)
{
  const std::lock_guard lock(mMutex);
  BOOST_OUTCOME_TRYV(CheckCommand(aHeader, aDeadline));
  const base::TimePoint expiresAt = FromWorkerTime(aLeaseExpiresAt);
  for (const auto& it : aTasks) {
    Task* task = FindTask(it);
    if (task != nullptr && IsLive(*task)) {
      task->mLeaseExpiresAt = std::max(task->mLeaseExpiresAt, expiresAt);
    }
  }
  return FinishCommand();
}

base::Result<void>
FakeWorker::Checkpoint(const CommandHeader& aHeader,
                       const AttemptKey& aTask,
                       base::TimePoint aDeadline)
{
  const std::lock_guard lock(mMutex);
  BOOST_OUTCOME_TRYV(CheckCommand(aHeader, aDeadline));
  Task* task = FindTask(aTask);
  if (task == nullptr || !IsLive(*task)) {
    return MakeError(ErrorKind::WorkerRefused, "the attempt does not run");
  }
  if (task->mPhase == TaskPhase::Running) {
    task->mPhase = TaskPhase::Checkpointing;
    task->mCheckpointEndsAt =
      task->mAdvancedAt + task->mWorkload.mCheckpointTime;
    AdvanceToNow();
  }
  return FinishCommand();
}

base::Result<void>
FakeWorker::Throttle(const CommandHeader& aHeader,
                     const AttemptKey& aTask,
                     std::int64_t aPercent,
                     base::TimePoint aDeadline)
{
  const std::lock_guard lock(mMutex);
  BOOST_OUTCOME_TRYV(CheckCommand(aHeader, aDeadline));
  if (aPercent < 0 || aPercent > kPercent) {
    return MakeError(ErrorKind::WorkerRefused, "percent is out of range");
  }
  Task* task = FindTask(aTask);
  if (task == nullptr || !IsLive(*task)) {
    return MakeError(ErrorKind::WorkerRefused, "the attempt does not run");
  }
  task->mThrottlePercent = aPercent;
  return FinishCommand();
}

base::Result<void>
FakeWorker::Stop(const CommandHeader& aHeader,
                 const AttemptKey& aTask,
                 base::TimePoint aDeadline)
{
  const std::lock_guard lock(mMutex);
  BOOST_OUTCOME_TRYV(CheckCommand(aHeader, aDeadline));
  mUnstartableKeys.insert(aTask);
  Task* task = FindTask(aTask);
  if (task == nullptr) {
    return MakeError(ErrorKind::NotFound, "the attempt is unknown");
  }
  if (task->mPhase == TaskPhase::Completed ||
      task->mPhase == TaskPhase::Failed) {
    return MakeError(ErrorKind::WorkerRefused, "the attempt has already ended");
  }
  if (IsLive(*task)) {
    EndTask(*task, TaskPhase::Stopped, "stopped on command", mClock.Now());
  }
  return FinishCommand();
}

base::Result<void>
FakeWorker::Acknowledge(const CommandHeader& aHeader,
                        const AttemptKey& aTask,
                        base::TimePoint aDeadline)
{
  const std::lock_guard lock(mMutex);
  BOOST_OUTCOME_TRYV(CheckCommand(aHeader, aDeadline));
  const Task* task = FindTask(aTask);
  if (task != nullptr && IsLive(*task)) {
    return MakeError(ErrorKind::WorkerRefused, "the attempt is still running");
  }
  mTasks.erase(aTask);
  return FinishCommand();
}

base::Result<ServiceAnswer>
FakeWorker::Call(const CommandHeader& aHeader,
                 const ServiceCall& aCall,
                 base::TimePoint aDeadline)
{
  const std::lock_guard lock(mMutex);
  BOOST_OUTCOME_TRYV(CheckReachable(aDeadline));
  BOOST_OUTCOME_TRY(admitted, AdmitLocked(aHeader, aCall));
  if (admitted.mIsAnswerLost) {
    return MakeError(ErrorKind::ConnectionLost, "the answer was lost");
  }
  if (admitted.mEndsAt >= aDeadline) {
    return MakeError(ErrorKind::DeadlineExceeded,
                     "the answer missed the deadline");
  }
  if (admitted.mAnswer.mRequest != aCall.mRequest ||
      admitted.mAnswer.mAttempt != aCall.mAttempt) {
    return MakeError(ErrorKind::ConnectionLost,
                     "the answer has another request id or attempt number");
  }
  return admitted.mAnswer;
}

base::Result<AdmittedCall>
FakeWorker::Admit(const CommandHeader& aHeader, const ServiceCall& aCall)
{
  const std::lock_guard lock(mMutex);
  return AdmitLocked(aHeader, aCall);
}

base::Result<AdmittedCall>
FakeWorker::AdmitLocked(const CommandHeader& aHeader, const ServiceCall& aCall)
{
  AdvanceToNow();
  BOOST_OUTCOME_TRYV(CheckHeader(aHeader));
  if (mLeaving) {
    return MakeError(ErrorKind::WorkerRefused, "the worker is leaving");
  }
  const std::optional<base::Duration> work = ParseRequestWork(aCall.mBody);
  if (!work) {
    return MakeError(ErrorKind::WorkerRefused, "the request body is invalid");
  }
  if (static_cast<std::int64_t>(mCallEnds.size()) >= mConfig.mConnections) {
    return MakeError(ErrorKind::WorkerRefused, "all connections are in use");
  }
  const base::TimePoint now = mClock.Now();
  const base::TimePoint startsAt = FindStartTime(now);
  if (mConfig.mHasGuards && ToWorkerTime(startsAt) > aHeader.mNotAfter) {
    ++mGuardRefusals;
    return MakeError(ErrorKind::StaleCommand,
                     "no slot becomes free before not_after");
  }
  AdmittedCall admitted;
  admitted.mEndsAt =
    startsAt + *work * SlowdownAt(now, aCall.mService) / kPercent;
  mCallEnds.push_back(admitted.mEndsAt);
  ++mCallCounts[{ aCall.mRequest, aCall.mAttempt }];
  admitted.mAnswer = { aCall.mRequest, aCall.mAttempt, aCall.mBody };
  if (mAnswersToMismatch > 0) {
    --mAnswersToMismatch;
    --admitted.mAnswer.mAttempt;
  }
  admitted.mIsAnswerLost = ConsumeLostAnswer();
  return admitted;
}

base::TimePoint
FakeWorker::FindStartTime(base::TimePoint aNow) const
{
  const auto slots = static_cast<std::size_t>(mConfig.mSlots);
  if (mCallEnds.size() < slots) {
    return aNow;
  }
  std::vector<base::TimePoint> ends = mCallEnds;
  std::sort(ends.begin(), ends.end());
  return ends[ends.size() - slots];
}

base::Result<void>
FakeWorker::CheckReachable(base::TimePoint aDeadline) const
{
  if (mUnreachable) {
    return MakeError(ErrorKind::WorkerUnavailable, "connection refused");
  }
  if (mClock.Now() >= aDeadline) {
    return MakeError(ErrorKind::WorkerUnavailable, "the deadline has passed");
  }
  if (mSilent) {
    return MakeError(ErrorKind::DeadlineExceeded, "no answer by the deadline");
  }
  return Success();
}

base::Result<void>
FakeWorker::CheckCommand(const CommandHeader& aHeader,
                         base::TimePoint aDeadline)
{
  BOOST_OUTCOME_TRYV(CheckReachable(aDeadline));
  AdvanceToNow();
  return CheckHeader(aHeader);
}

base::Result<void>
FakeWorker::FinishCommand()
{
  if (ConsumeLostAnswer()) {
    return MakeError(ErrorKind::ConnectionLost, "the answer was lost");
  }
  return Success();
}

bool
FakeWorker::ConsumeLostAnswer()
{
  if (mAnswersToLose == 0) {
    return false;
  }
  --mAnswersToLose;
  return true;
}

base::Result<void>
FakeWorker::RefuseByGuard(ErrorKind aKind, std::string aDetail)
{
  ++mGuardRefusals;
  return MakeError(aKind, std::move(aDetail));
}

// Only the oldest live holder lease is valid, so that two instances never pass
// this guard at the same time.
base::Result<void>
FakeWorker::CheckHeader(const CommandHeader& aHeader)
{
  if (!mConfig.mHasGuards) {
    return Success();
  }
  if (ToWorkerTime(mClock.Now()) > aHeader.mNotAfter) {
    return RefuseByGuard(ErrorKind::StaleCommand, "not_after has passed");
  }
  if (mHolders.empty() || mHolders.front().mToken != aHeader.mToken) {
    return RefuseByGuard(
      ErrorKind::WorkerRefused,
      "the sender does not hold the oldest live holder lease");
  }
  return Success();
}

base::Result<void>
FakeWorker::CheckStart(const StartTask& aStart)
{
  if (mLeaving) {
    return MakeError(ErrorKind::WorkerRefused, "the worker is leaving");
  }
  if (!mConfig.mHasGuards) {
    return Success();
  }
  if (FromWorkerTime(aStart.mLeaseExpiresAt) <= mClock.Now()) {
    return RefuseByGuard(ErrorKind::StaleCommand, "the task lease has expired");
  }
  if (mUnstartableKeys.count({ aStart.mTask, aStart.mAttempt }) != 0) {
    return RefuseByGuard(ErrorKind::WorkerRefused,
                         "the attempt was already started or stopped");
  }
  base::Resources reserved = aStart.mReserved;
  for (const auto& it : mTasks) {
    if (!IsLive(it.second)) {
      continue;
    }
    if (it.first.mTask == aStart.mTask) {
      return RefuseByGuard(ErrorKind::WorkerRefused,
                           "another attempt of the task is running");
    }
    reserved += it.second.mReserved;
  }
  if (!base::Fits(reserved, mConfig.mCapacity)) {
    return RefuseByGuard(ErrorKind::WorkerRefused,
                         "the task exceeds the free capacity");
  }
  return Success();
}

FakeWorker::Workload
FakeWorker::ParseWorkload(const StartTask& aStart)
{
  Workload invalid;
  invalid.mFailure = "the payload or the checkpoint is invalid";
  const auto json =
    base::ParseJson(aStart.mPayload.empty() ? "{}" : aStart.mPayload);
  if (!json || !ParseCheckpointName(aStart.mTask, aStart.mCheckpoint)) {
    return invalid;
  }
  base::JsonReader reader(json.value());
  Workload workload;
  workload.mRunTime = milliseconds(reader.GetInt("run_ms", kDefaultRunMs));
  workload.mCheckpointTime = milliseconds(reader.GetInt("checkpoint_ms", 0));
  workload.mResult = reader.GetString("result", "");
  workload.mFailure = reader.GetString("fail", "");
  workload.mUsed.mMilliProcessors =
    reader.GetInt("use_milli_processors", aStart.mReserved.mMilliProcessors);
  workload.mUsed.mMemoryBytes =
    reader.GetInt("use_memory_bytes", aStart.mReserved.mMemoryBytes);
  workload.mUsed.mAccelerators =
    reader.GetInt("use_accelerators", aStart.mReserved.mAccelerators);
  return reader.Check() ? workload : invalid;
}

void
FakeWorker::AddTask(const StartTask& aStart)
{
  const base::TimePoint now = mClock.Now();
  const AttemptKey key{ aStart.mTask, aStart.mAttempt };
  Task* previous = FindTask(key);
  if (previous != nullptr && IsLive(*previous)) {
    EndTask(*previous, TaskPhase::Stopped, "started again", now);
  }
  Task task;
  task.mKey = key;
  task.mReserved = aStart.mReserved;
  task.mWorkload = ParseWorkload(aStart);
  task.mLeaseExpiresAt = FromWorkerTime(aStart.mLeaseExpiresAt);
  task.mAdvancedAt = now;
  task.mWorkDone = ParseCheckpointName(aStart.mTask, aStart.mCheckpoint)
                     .value_or(base::Duration(0));
  task.mCheckpoint = aStart.mCheckpoint;
  task.mExecutionIndex = mExecutions.size();
  mExecutions.push_back(
    { key, now, std::nullopt, task.mWorkDone, aStart.mBatchClass });
  mUnstartableKeys.insert(key);
  if (mFailNewTasks) {
    EndTask(task, TaskPhase::Failed, "the worker fails every new task", now);
  }
  mTasks[key] = std::move(task);
  AdvanceToNow();
}

bool
FakeWorker::IsLive(const Task& aTask)
{
  return aTask.mPhase == TaskPhase::Running ||
         aTask.mPhase == TaskPhase::Checkpointing;
}

void
FakeWorker::EndTask(Task& aTask,
                    TaskPhase aPhase,
                    std::string aDetail,
                    base::TimePoint aWhen)
{
  aTask.mPhase = aPhase;
  aTask.mDetail = std::move(aDetail);
  aTask.mAdvancedAt = aWhen;
  mExecutions[aTask.mExecutionIndex].mEndedAt = aWhen;
}

void
FakeWorker::AdvanceToNow()
{
  const base::TimePoint now = mClock.Now();
  for (auto& it : mTasks) {
    AdvanceTask(it.second, now);
  }
  mHolders.erase(std::remove_if(mHolders.begin(),
                                mHolders.end(),
                                [&](const auto& aLease) {
                                  return aLease.mExpiresAt <= ToWorkerTime(now);
                                }),
                 mHolders.end());
  mCallEnds.erase(std::remove_if(mCallEnds.begin(),
                                 mCallEnds.end(),
                                 [&](const auto& aEnd) { return aEnd <= now; }),
                  mCallEnds.end());
}

// Simulates lease expiry, checkpoints and completion in time order, since the
// lease may have expired before the work was done or after it.
void
FakeWorker::AdvanceTask(Task& aTask, base::TimePoint aNow)
{
  while (IsLive(aTask)) {
    const bool isCheckpointing = aTask.mPhase == TaskPhase::Checkpointing;
    const base::Duration remainingWork =
      aTask.mWorkload.mRunTime - aTask.mWorkDone;
    base::TimePoint nextEventAt = base::kNoDeadline;
    if (isCheckpointing) {
      nextEventAt = aTask.mCheckpointEndsAt;
    } else if (aTask.mThrottlePercent > 0) {
      nextEventAt =
        aTask.mAdvancedAt + std::max(remainingWork, base::Duration(0)) *
                              kPercent / aTask.mThrottlePercent;
    }
    const base::TimePoint until =
      std::max(aTask.mAdvancedAt,
               std::min({ nextEventAt, aTask.mLeaseExpiresAt, aNow }));
    if (!isCheckpointing) {
      aTask.mWorkDone +=
        (until - aTask.mAdvancedAt) * aTask.mThrottlePercent / kPercent;
    }
    aTask.mAdvancedAt = until;
    if (aTask.mLeaseExpiresAt <= aNow && aTask.mLeaseExpiresAt <= nextEventAt) {
      EndTask(aTask, TaskPhase::Stopped, "the task lease expired", until);
    } else if (nextEventAt > aNow) {
      return;
    } else if (isCheckpointing) {
      aTask.mCheckpoint =
        FormatCheckpointName(aTask.mKey.mTask, aTask.mWorkDone);
      aTask.mPhase = TaskPhase::Running;
    } else if (!aTask.mWorkload.mFailure.empty()) {
      EndTask(aTask, TaskPhase::Failed, aTask.mWorkload.mFailure, nextEventAt);
    } else {
      EndTask(
        aTask, TaskPhase::Completed, aTask.mWorkload.mResult, nextEventAt);
    }
  }
}

WorkerReport
FakeWorker::MakeReport() const
{
  WorkerReport report;
  report.mWorker = mConfig.mWorker;
  report.mNow = ToWorkerTime(mClock.Now());
  report.mLeaving = mLeaving;
  report.mCapacity = mConfig.mCapacity;
  report.mSlots = mConfig.mSlots;
  report.mConnections = mConfig.mConnections;
  report.mSlotsBusy =
    std::min(mConfig.mSlots, static_cast<std::int64_t>(mCallEnds.size()));
  report.mHolders = mHolders;
  for (const auto& it : mTasks) {
    report.mTasks.push_back(MakeTaskReport(it.second));
  }
  const base::TimePoint measuredAt = mClock.Now() - mConfig.mUsageLag;
  for (const auto& it : mInterference) {
    report.mServiceTimePercent = std::max(
      report.mServiceTimePercent, SlowdownAt(measuredAt, it.first.first));
  }
  return report;
}

TaskReport
FakeWorker::MakeTaskReport(const Task& aTask) const
{
  const base::TimePoint measuredAt = mClock.Now() - mConfig.mUsageLag;
  TaskReport report;
  report.mTask = aTask.mKey.mTask;
  report.mAttempt = aTask.mKey.mAttempt;
  report.mPhase = aTask.mPhase;
  report.mReserved = aTask.mReserved;
  if (IsLive(aTask) &&
      mExecutions[aTask.mExecutionIndex].mStartedAt <= measuredAt) {
    report.mUsed = aTask.mWorkload.mUsed;
    report.mUsed.mMilliProcessors =
      report.mUsed.mMilliProcessors * aTask.mThrottlePercent / kPercent;
  }
  report.mLeaseExpiresAt = ToWorkerTime(aTask.mLeaseExpiresAt);
  report.mCheckpoint = aTask.mCheckpoint;
  base::Duration done = aTask.mWorkDone;
  if (IsLive(aTask)) {
    const base::Duration atStart =
      mExecutions[aTask.mExecutionIndex].mResumedFrom;
    done = std::max(atStart, done - mConfig.mUsageLag);
  }
  const base::Duration total = aTask.mWorkload.mRunTime;
  report.mProgressPercent =
    total.count() > 0 ? std::min(kPercent, kPercent * done / total) : kPercent;
  report.mThrottlePercent = aTask.mThrottlePercent;
  report.mDetail = aTask.mDetail;
  return report;
}

std::int64_t
FakeWorker::SlowdownAt(base::TimePoint aTime, std::string_view aService) const
{
  std::int64_t percent = kPercent;
  for (const auto& it : mInterference) {
    if (it.first.first != aService) {
      continue;
    }
    for (const auto& execution : mExecutions) {
      const bool isRunning =
        execution.mStartedAt <= aTime &&
        (!execution.mEndedAt || *execution.mEndedAt > aTime);
      if (isRunning && execution.mBatchClass == it.first.second) {
        percent += it.second;
      }
    }
  }
  return percent;
}

FakeWorker::Task*
FakeWorker::FindTask(const AttemptKey& aKey)
{
  const auto found = mTasks.find(aKey);
  return found == mTasks.end() ? nullptr : &found->second;
}

WorkerTime
FakeWorker::ToWorkerTime(base::TimePoint aTime) const
{
  return base::ToMicros(aTime) + mConfig.mClockOffset.count();
}

base::TimePoint
FakeWorker::FromWorkerTime(WorkerTime aTime) const
{
  return base::FromMicros(aTime - mConfig.mClockOffset.count());
}

void
FakeWorker::SetFailNewTasks(bool aFailNewTasks)
{
  const std::lock_guard lock(mMutex);
  mFailNewTasks = aFailNewTasks;
}

void
FakeWorker::SetLeaving(bool aLeaving)
{
  const std::lock_guard lock(mMutex);
  mLeaving = aLeaving;
}

void
FakeWorker::SetSilent(bool aSilent)
{
  const std::lock_guard lock(mMutex);
  mSilent = aSilent;
}

void
FakeWorker::SetUnreachable(bool aUnreachable)
{
  const std::lock_guard lock(mMutex);
  mUnreachable = aUnreachable;
}

void
FakeWorker::LoseNextAnswers(std::int64_t aCount)
{
  const std::lock_guard lock(mMutex);
  mAnswersToLose = aCount;
}

void
FakeWorker::MismatchNextAnswers(std::int64_t aCount)
{
  const std::lock_guard lock(mMutex);
  mAnswersToMismatch = aCount;
}

void
FakeWorker::SetInterference(const std::string& aService,
                            const std::string& aBatchClass,
                            std::int64_t aPercent)
{
  const std::lock_guard lock(mMutex);
  mInterference[{ aService, aBatchClass }] = aPercent;
}

void
FakeWorker::Crash()
{
  const std::lock_guard lock(mMutex);
  AdvanceToNow();
  for (auto& it : mTasks) {
    if (IsLive(it.second)) {
      EndTask(it.second, TaskPhase::Stopped, "crashed", mClock.Now());
    }
  }
  mTasks.clear();
  mHolders.clear();
  mCallEnds.clear();
  mUnreachable = true;
}

void
FakeWorker::Restart()
{
  const std::lock_guard lock(mMutex);
  mUnstartableKeys.clear();
  mUnreachable = false;
}

std::vector<TaskExecution>
FakeWorker::Executions()
{
  const std::lock_guard lock(mMutex);
  AdvanceToNow();
  return mExecutions;
}

std::map<std::pair<base::RequestId, std::int64_t>, std::int64_t>
FakeWorker::CallCounts() const
{
  const std::lock_guard lock(mMutex);
  return mCallCounts;
}

std::int64_t
FakeWorker::GuardRefusals() const
{
  const std::lock_guard lock(mMutex);
  return mGuardRefusals;
}

WorkerTime
FakeWorker::Now() const
{
  return ToWorkerTime(mClock.Now());
}

} // namespace skylarkhill::testing
