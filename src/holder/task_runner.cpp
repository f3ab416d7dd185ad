#include "skylarkhill/holder/task_runner.hpp"

#include <algorithm>
#include <utility>

namespace skylarkhill::holder {

namespace {

bool
IsRunning(const worker::TaskReport& aReport)
{
  return aReport.mPhase == worker::TaskPhase::Running ||
         aReport.mPhase == worker::TaskPhase::Checkpointing;
}

bool
KeepsCheckpoint(tasks::AttemptOutcome aOutcome)
{
  return aOutcome != tasks::AttemptOutcome::Completed &&
         aOutcome != tasks::AttemptOutcome::Cancelled;
}

} // namespace

TaskRunner::TaskRunner(const LeaseMachine& aLease,
                       Ledger& aLedger,
                       TaskRunnerOptions aOptions)
  : mLease(aLease)
  , mLedger(aLedger)
  , mOptions(aOptions)
{
}

void
TaskRunner::OnReport(const PollResult& aPoll)
{
  if (mLastPoll && aPoll.mSentAt <= mLastPoll->mSentAt) {
    return;
  }
  mLastPoll = aPoll;
  mLedger.ApplyReport(aPoll);
  mRenewDue = true;
  for (auto& it : mAttempts) {
    it.second.mReport.reset();
  }
  for (const auto& it : aPoll.mReport.mTasks) {
    Attempt& attempt = mAttempts[{ it.mTask, it.mAttempt }];
    attempt.mReport = it;
    attempt.mWasReported = true;
    attempt.mLeaseExpiresAt =
      std::max(attempt.mLeaseExpiresAt, it.mLeaseExpiresAt);
  }
}

void
TaskRunner::OnResult(std::uint64_t aNumber, CommandOutcome aOutcome)
{
  if (mRenewal && mRenewal->mNumber == aNumber) {
    mRenewal->mAnswered = true;
  }
  for (auto& it : mAttempts) {
    Attempt& attempt = it.second;
    if (attempt.mStart && attempt.mStart->mNumber == aNumber) {
      attempt.mStart->mOutcome = aOutcome;
    }
    if (attempt.mLastCommand && attempt.mLastCommand->mNumber == aNumber) {
      attempt.mLastCommand->mAnswered = true;
    }
  }
}

void
TaskRunner::SetGrants(const std::vector<GrantedAttempt>& aGrants,
                      std::optional<std::int64_t> aInheritedEndOffset)
{
  mInheritedEndOffset =
    mInheritedEndOffset ? mInheritedEndOffset : aInheritedEndOffset;
  for (auto& it : mAttempts) {
    it.second.mGrant.reset();
  }
  for (const auto& it : aGrants) {
    mAttempts[{ it.mTask, it.mAttempt }].mGrant = it;
  }
}

void
TaskRunner::OnEndRecordNotAppended(const worker::AttemptKey& aKey)
{
  const auto it = mAttempts.find(aKey);
  if (it != mAttempts.end()) {
    it->second.mEndRecordReturned = false;
  }
}

void
TaskRunner::Evict(const worker::AttemptKey& aKey, base::TimePoint aDeadline)
{
  const auto it = mAttempts.find(aKey);
  if (it != mAttempts.end() && !it->second.mEviction) {
    it->second.mEviction = Eviction{ aDeadline, std::nullopt, false };
  }
}

void
TaskRunner::Throttle(const worker::AttemptKey& aKey, std::int64_t aPercent)
{
  const auto it = mAttempts.find(aKey);
  if (it != mAttempts.end()) {
    it->second.mThrottlePercent = aPercent;
  }
}

void
TaskRunner::BeginDrain()
{
  mDraining = true;
}

bool
TaskRunner::IsDrained(base::TimePoint aNow) const
{
  const bool renewing =
    mRenewal && !mRenewal->mAnswered && aNow < mRenewal->mDeadline;
  return mDraining && !renewing &&
         std::none_of(
           mAttempts.begin(), mAttempts.end(), [&](const auto& aEntry) {
             return IsInFlight(aEntry.second, aNow);
           });
}

bool
TaskRunner::MaySendCalls(base::TimePoint aNow) const
{
  return mLease.MaySendCommands(aNow) && IsQuietPeriodOver() && !mDraining &&
         !mLastPoll->mReport.mLeaving;
}

RunnerOutput
TaskRunner::Step(base::TimePoint aNow)
{
  if (!mLease.MaySendCommands(aNow) || !mLastPoll) {
    return {};
  }
  Renew(aNow);
  for (auto& it : mAttempts) {
    StepAttempt(it, aNow);
  }
  RemoveFinished();
  return std::exchange(mOutput, {});
}

// Commands of previous holders may take effect until the quiet period ends, so
// only a poll sent after it shows which tasks run.
bool
TaskRunner::IsQuietPeriodOver() const
{
  return mLastPoll && mLastPoll->mSentAt >= mLease.QuietPeriodEnd();
}

bool
TaskRunner::IsReady() const
{
  return mInheritedEndOffset && IsQuietPeriodOver();
}

bool
TaskRunner::ShouldRenew(const Attempt& aAttempt) const
{
  const bool wanted = aAttempt.mGrant || !mInheritedEndOffset;
  return wanted && aAttempt.mReport && IsRunning(*aAttempt.mReport);
}

// A command is repeated only after a later poll has shown that it is still
// necessary.
bool
TaskRunner::MaySend(const Attempt& aAttempt, base::TimePoint aNow) const
{
  if (!aAttempt.mLastCommand) {
    return true;
  }
  const SentCommand& sent = *aAttempt.mLastCommand;
  const bool finished = sent.mAnswered || aNow >= sent.mDeadline;
  return finished && mLastPoll->mSentAt > sent.mSentAt;
}

bool
TaskRunner::IsInFlight(const Attempt& aAttempt, base::TimePoint aNow) const
{
  const bool starting = aAttempt.mStart && !aAttempt.mStart->mOutcome &&
                        aNow < aAttempt.mStart->mDeadline;
  const bool sending = aAttempt.mLastCommand &&
                       !aAttempt.mLastCommand->mAnswered &&
                       aNow < aAttempt.mLastCommand->mDeadline;
  return starting || sending;
}

// True if the attempt has certainly stopped, even if the worker does not
// answer: the worker stops a task whose lease has expired, and since the quiet
// period only this holder could have renewed it.
bool
TaskRunner::IsTaskLeaseExpired(const Attempt& aAttempt,
                               base::TimePoint aNow) const
{
  const base::TimePoint end =
    mLease.Clock().ToLatestLocalTime(aAttempt.mLeaseExpiresAt);
  return IsQuietPeriodOver() && aNow >= end + mLease.Options().mClockMargin;
}

Command
TaskRunner::MakeCommand(CommandBody aBody, base::TimePoint aNow)
{
  ++mLastNumber;
  const base::TimePoint deadline =
    std::min(mLease.Deadline(), aNow + mOptions.mCommandTimeout);
  const worker::WorkerTime notAfter =
    mLease.Clock().ToEarliestWorkerTime(deadline);
  return Command{
    mLastNumber, { mLease.Token(), notAfter }, std::move(aBody), deadline
  };
}

void
TaskRunner::Renew(base::TimePoint aNow)
{
  const bool pending =
    mRenewal && !mRenewal->mAnswered && aNow < mRenewal->mDeadline;
  if (!mRenewDue || pending) {
    return;
  }
  mRenewDue = false;
  RenewTasks renew;
  renew.mLeaseExpiresAt =
    mLease.Clock().ToEarliestWorkerTime(aNow + mOptions.mTaskLease);
  for (auto& it : mAttempts) {
    if (ShouldRenew(it.second)) {
      renew.mTasks.push_back(it.first);
      it.second.mLeaseExpiresAt =
        std::max(it.second.mLeaseExpiresAt, renew.mLeaseExpiresAt);
    }
  }
  if (renew.mTasks.empty()) {
    return;
  }
  const Command command = MakeCommand(std::move(renew), aNow);
  mRenewal = SentCommand{ command.mNumber, aNow, command.mDeadline, false };
  mOutput.mCommands.push_back(command);
}

void
TaskRunner::StepAttempt(Entry& aEntry, base::TimePoint aNow)
{
  const Attempt& attempt = aEntry.second;
  if (!attempt.mReport) {
    StepUnreported(aEntry, aNow);
  } else if (IsRunning(*attempt.mReport)) {
    StepRunning(aEntry, aNow);
  } else {
    StepEnded(aEntry, aNow);
  }
}

void
TaskRunner::StepRunning(Entry& aEntry, base::TimePoint aNow)
{
  Attempt& attempt = aEntry.second;
  if (attempt.mGrant && IsTaskLeaseExpired(attempt, aNow)) {
    AppendEnd(aEntry, tasks::AttemptOutcome::Lost);
    return;
  }
  AppendStarted(aEntry);
  const bool unwanted = attempt.mGrant ? attempt.mGrant->mCancelRequested
                                       : mInheritedEndOffset.has_value();
  if (unwanted) {
    if (MaySend(attempt, aNow)) {
      Send(attempt, StopTask{ aEntry.first }, aNow);
    }
    return;
  }
  if (attempt.mEviction) {
    StepEviction(aEntry, aNow);
    return;
  }
  const std::int64_t throttle =
    attempt.mThrottlePercent.value_or(attempt.mReport->mThrottlePercent);
  if (throttle != attempt.mReport->mThrottlePercent && MaySend(attempt, aNow)) {
    Send(attempt, ThrottleTask{ aEntry.first, throttle }, aNow);
  }
}

void
TaskRunner::StepEviction(Entry& aEntry, base::TimePoint aNow)
{
  Attempt& attempt = aEntry.second;
  Eviction& eviction = *attempt.mEviction;
  const worker::TaskReport& report = *attempt.mReport;
  const bool complete = eviction.mCheckpointBefore &&
                        report.mPhase == worker::TaskPhase::Running &&
                        report.mCheckpoint != *eviction.mCheckpointBefore;
  eviction.mStopping =
    eviction.mStopping || complete || aNow >= eviction.mDeadline;
  if (!MaySend(attempt, aNow)) {
    return;
  }
  if (eviction.mStopping) {
    Send(attempt, StopTask{ aEntry.first }, aNow);
    return;
  }
  if (report.mPhase == worker::TaskPhase::Running) {
    eviction.mCheckpointBefore =
      eviction.mCheckpointBefore.value_or(report.mCheckpoint);
    Send(attempt, CheckpointTask{ aEntry.first }, aNow);
  }
}

void
TaskRunner::StepEnded(Entry& aEntry, base::TimePoint aNow)
{
  Attempt& attempt = aEntry.second;
  if (!attempt.mGrant) {
    // The attempt has an end record or was never granted. The worker must keep
    // it while a copy of the start command may still arrive.
    const bool expired =
      !attempt.mStart || IsPastExpiry(attempt.mStart->mExpiry, *mLastPoll);
    if (IsReady() && expired && MaySend(attempt, aNow)) {
      Send(attempt, AcknowledgeTask{ aEntry.first }, aNow);
    }
    return;
  }
  switch (attempt.mReport->mPhase) {
    case worker::TaskPhase::Completed:
      AppendEnd(aEntry, tasks::AttemptOutcome::Completed);
      return;
    case worker::TaskPhase::Failed:
      AppendEnd(aEntry, tasks::AttemptOutcome::Failed);
      return;
    default:
      break;
  }
  if (attempt.mGrant->mCancelRequested) {
    AppendEnd(aEntry, tasks::AttemptOutcome::Cancelled);
  } else if (attempt.mEviction && attempt.mEviction->mStopping) {
    AppendEnd(aEntry, tasks::AttemptOutcome::Evicted);
  } else {
    AppendEnd(aEntry, tasks::AttemptOutcome::Lost);
  }
}

void
TaskRunner::StepUnreported(Entry& aEntry, base::TimePoint aNow)
{
  Attempt& attempt = aEntry.second;
  if (!attempt.mGrant || attempt.mEndRecordReturned || !IsReady()) {
    return;
  }
  if (!ResolveStart(aEntry, aNow)) {
    return;
  }
  // A worker reports ended attempts until they are acknowledged, so an attempt
  // that ran and is not reported was lost in a restart of the worker.
  if (attempt.mWasReported || attempt.mGrant->mStarted) {
    AppendEndWithoutReport(aEntry, tasks::AttemptOutcome::Lost);
    return;
  }
  if (attempt.mGrant->mCancelRequested) {
    AppendEndWithoutReport(aEntry, tasks::AttemptOutcome::Cancelled);
    return;
  }
  // The previous holder may have submitted an end record for a grant that it
  // did not start, and the log may append it at any later time. Inherited
  // grants are never started, so that this record stays valid.
  const bool inherited = attempt.mGrant->mGrantedOffset < *mInheritedEndOffset;
  if (inherited || attempt.mEviction || mLastPoll->mReport.mLeaving) {
    AppendEndWithoutReport(aEntry, tasks::AttemptOutcome::Released);
    return;
  }
  if (!mDraining) {
    TryStart(aEntry, aNow);
  }
}

// Appends the end record if the start command was refused, or if it succeeded
// and the worker does not report the attempt. Otherwise, returns true once no
// start command can still take effect.
bool
TaskRunner::ResolveStart(Entry& aEntry, base::TimePoint aNow)
{
  Attempt& attempt = aEntry.second;
  if (!attempt.mStart) {
    return true;
  }
  const StartState& start = *attempt.mStart;
  const bool answered = start.mOutcome || aNow >= start.mDeadline;
  if (!answered || !IsPastExpiry(start.mExpiry, *mLastPoll)) {
    return false;
  }
  const CommandOutcome outcome =
    start.mOutcome.value_or(CommandOutcome::Unknown);
  if (outcome == CommandOutcome::Refused && !attempt.mWasReported) {
    AppendEndWithoutReport(aEntry, tasks::AttemptOutcome::Released);
    return false;
  }
  if (outcome == CommandOutcome::Ok) {
    AppendEndWithoutReport(aEntry, tasks::AttemptOutcome::Lost);
    return false;
  }
  attempt.mStart.reset();
  return true;
}

void
TaskRunner::TryStart(Entry& aEntry, base::TimePoint aNow)
{
  Attempt& attempt = aEntry.second;
  const GrantedAttempt& grant = *attempt.mGrant;
  if (!mLedger.FitsStart(aEntry.first, grant.mReserved)) {
    attempt.mNoCapacitySince = attempt.mNoCapacitySince.value_or(aNow);
    if (aNow >= *attempt.mNoCapacitySince + mOptions.mReleaseAfter) {
      AppendEndWithoutReport(aEntry, tasks::AttemptOutcome::Released);
    }
    return;
  }
  attempt.mNoCapacitySince.reset();
  worker::StartTask start;
  start.mTask = grant.mTask;
  start.mAttempt = grant.mAttempt;
  start.mBatchClass = grant.mBatchClass;
  start.mReserved = grant.mReserved;
  start.mLeaseExpiresAt =
    mLease.Clock().ToEarliestWorkerTime(aNow + mOptions.mTaskLease);
  start.mCheckpoint = grant.mCheckpoint;
  start.mPayload = grant.mPayload;
  attempt.mLeaseExpiresAt = start.mLeaseExpiresAt;
  const Command command = MakeCommand(std::move(start), aNow);
  const CommandExpiry expiry{ command.mHeader.mNotAfter,
                              command.mDeadline + mOptions.mMaxMessageDelay };
  if (!mLedger.CommitStart(aEntry.first, grant.mReserved, expiry)) {
    return;
  }
  attempt.mStart =
    StartState{ command.mNumber, command.mDeadline, expiry, std::nullopt };
  mOutput.mCommands.push_back(command);
}

void
TaskRunner::Send(Attempt& aAttempt, CommandBody aBody, base::TimePoint aNow)
{
  const Command command = MakeCommand(std::move(aBody), aNow);
  aAttempt.mLastCommand =
    SentCommand{ command.mNumber, aNow, command.mDeadline, false };
  mOutput.mCommands.push_back(command);
}

void
TaskRunner::AppendStarted(Entry& aEntry)
{
  Attempt& attempt = aEntry.second;
  const bool known = !attempt.mGrant || attempt.mGrant->mStarted;
  if (known || attempt.mStartedRecordReturned) {
    return;
  }
  attempt.mStartedRecordReturned = true;
  mOutput.mRecords.push_back(
    tasks::StartedRecord{ aEntry.first.mTask, aEntry.first.mAttempt });
}

void
TaskRunner::AppendEnd(Entry& aEntry, tasks::AttemptOutcome aOutcome)
{
  Attempt& attempt = aEntry.second;
  if (attempt.mEndRecordReturned) {
    return;
  }
  attempt.mEndRecordReturned = true;
  tasks::EndRecord end;
  end.mTask = aEntry.first.mTask;
  end.mAttempt = aEntry.first.mAttempt;
  end.mOutcome = aOutcome;
  if (KeepsCheckpoint(aOutcome)) {
    const std::string& own = attempt.mReport->mCheckpoint;
    end.mCheckpoint = own.empty() ? attempt.mGrant->mCheckpoint : own;
  }
  end.mDetail = attempt.mReport->mDetail;
  mOutput.mRecords.emplace_back(std::move(end));
}

void
TaskRunner::AppendEndWithoutReport(Entry& aEntry,
                                   tasks::AttemptOutcome aOutcome)
{
  Attempt& attempt = aEntry.second;
  if (attempt.mEndRecordReturned) {
    return;
  }
  attempt.mEndRecordReturned = true;
  mLedger.CancelGrant(aEntry.first);
  tasks::EndRecord end;
  end.mTask = aEntry.first.mTask;
  end.mAttempt = aEntry.first.mAttempt;
  end.mOutcome = aOutcome;
  if (KeepsCheckpoint(aOutcome)) {
    end.mCheckpoint = attempt.mGrant->mCheckpoint;
  }
  mOutput.mRecords.emplace_back(std::move(end));
}

void
TaskRunner::RemoveFinished()
{
  for (auto it = mAttempts.begin(); it != mAttempts.end();) {
    const Attempt& attempt = it->second;
    const bool known = attempt.mGrant || attempt.mReport;
    const bool starting =
      attempt.mStart && !IsPastExpiry(attempt.mStart->mExpiry, *mLastPoll);
    it = known || starting ? std::next(it) : mAttempts.erase(it);
  }
}

} // namespace skylarkhill::holder
