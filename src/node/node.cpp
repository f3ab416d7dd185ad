#include "skylarkhill/node/node.hpp"

#include "skylarkhill/jobs/job_codec.hpp"
#include "skylarkhill/logging/logging.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace skylarkhill::node {

using base::Duration;
using base::TimePoint;

namespace {

constexpr std::string_view kWriterName = "leader";

/// Pauses after reads that delivered records, to limit the calls to the log. A
/// follower shows a new job state to its callers up to this much later.
constexpr Duration kFollowerJournalPause = std::chrono::milliseconds(200);
constexpr Duration kLeaderJournalPause = std::chrono::milliseconds(5);
/// Shorter than that of a follower, so that one lost read of a leader does not
/// delay cancellations beyond their bound.
constexpr Duration kLeaderReadWait = std::chrono::milliseconds(500);
constexpr Duration kFollowerWorkerPause = std::chrono::milliseconds(1200);
constexpr Duration kLeaderWorkerPause = std::chrono::milliseconds(250);

/// Minimum time between two batches of progress records.
constexpr Duration kFlushInterval = std::chrono::milliseconds(20);
/// Interval between two records of the interference estimates.
constexpr Duration kModelInterval = std::chrono::seconds(2);
constexpr std::string_view kModelId = "images";
constexpr Duration kFlushTimeout = std::chrono::milliseconds(1200);
constexpr Duration kFlushRetryPause = std::chrono::milliseconds(150);

/// Maximum age of the last journal read of an instance that reports ready.
constexpr Duration kMaxReadAge = std::chrono::milliseconds(4000);

/// A leader starts no tasks if its journal or its worker registry is older than
/// this share of NodeOptions::mMaxCancellationDelay or mMaxDrainDelay. The rest
/// is for the start call.
constexpr int kMaxAgePercent = 75;
/// One lost read takes longer than the maximum age of the registry, but does
/// not justify a change of the leader.
constexpr int kMinFailedRegistryReads = 2;
/// In an outage of the log, the last confirmed renewal was sent at most this
/// long after the last read of a stream. A later one shows that the log
/// answers.
constexpr Duration kMaxRenewalLead =
  kLeaderReadWait + std::chrono::milliseconds(500);

/// A longer gap between two ticks means that the process was paused. Its state
/// may then be outdated, so it starts and stops no tasks until its leadership
/// is confirmed again.
constexpr Duration kMaxTickGap = std::chrono::milliseconds(900);

/// Workers that left the registry are kept while a previous leader may have
/// extended their leases.
constexpr Duration kUnregisteredRetention =
  kLeaderLease + std::chrono::seconds(1);

/// Final jobs are removed this long after their acceptance. Keeps the state for
/// the required 120 s after the end of jobs that take up to 280 s.
constexpr std::int64_t kFinalJobRetentionMs = 400'000;
/// Maximum time between two ticks.
constexpr Duration kMaxTickInterval = std::chrono::milliseconds(100);

/// Pause between two summary lines of the call loop in the log.
constexpr Duration kSummaryInterval = std::chrono::seconds(2);

/// Maximum number of jobs passed to the dispatcher of a new term in one tick.
constexpr std::size_t kMaxJobsPerTick = 200;

constexpr Duration kCleanupInterval = std::chrono::seconds(20);
constexpr std::size_t kMaxJobsPerCleanup = 500;

std::int64_t
ToMs(Duration aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
}

} // namespace

Node::Node(NodeOptions aOptions,
           AsyncLog& aLog,
           BlockingLog& aBlockingLog,
           WorkerClient& aWorkerClient,
           const RecordDecoder& aDecoder,
           const base::Clock& aClock,
           const journal::WallClock& aWallClock,
           LoopProfile& aProfile,
           metrics::Registry& aMetrics)
  : mOptions(std::move(aOptions))
  , mLog(aLog)
  , mWorkerClient(aWorkerClient)
  , mDecoder(aDecoder)
  , mClock(aClock)
  , mWallClock(aWallClock)
  , mProfile(aProfile)
  , mMetrics(aMetrics)
  , mLeading(aMetrics.GetGauge("skylarkhill_leading",
                               "1 while this node dispatches tasks."))
  , mJobCount(aMetrics.GetGauge("skylarkhill_jobs", "Jobs known here."))
  , mFlushSeconds(
      aMetrics.GetDistribution("skylarkhill_flush_seconds",
                               "Time until progress records are stored."))
  , mConfigurationReader(
      aLog,
      aClock,
      mOptions.mStreams.mConfiguration,
      { [this](const LogRecord& aRecord) { OnConfiguration(aRecord); }, {} })
  , mWorkerReader(
      aLog,
      aClock,
      mOptions.mStreams.mWorkers,
      { [this](const LogRecord& aRecord) { OnWorkerRecord(aRecord); },
        [this](const std::vector<LogRecord>& aRecords) {
          OnWorkerSnapshot(aRecords);
        } })
  , mJournalReader(
      aLog,
      aClock,
      mOptions.mStreams.mJournal,
      { [this](const LogRecord& aRecord) { OnJournalRecord(aRecord); }, {} })
  , mJobService(mJobs,
                aBlockingLog,
                mOptions.mStreams.mJournal,
                mNextJournalOffset,
                aClock,
                aWallClock,
                aMetrics)
  , mLeadership(aLog,
                aClock,
                mOptions.mStreams.mLeader,
                mOptions.mInstanceId,
                mOptions.mProcessors)
  , mRequiredStreams{ { { mJournalReader,
                          mOptions.mStreams.mJournal.mTopic,
                          mOptions.mMaxCancellationDelay * kMaxAgePercent / 100,
                          1,
                          {} },
                        { mWorkerReader,
                          mOptions.mStreams.mWorkers.mTopic,
                          mOptions.mMaxDrainDelay * kMaxAgePercent / 100,
                          kMinFailedRegistryReads,
                          {} } } }
{
  mWorkerReader.SetPause(kFollowerWorkerPause);
  mJournalReader.SetPause(kFollowerJournalPause);
  mLastTickAt = aClock.Now();
}

Node::~Node()
{
  mWorkerClient.ClearDispatcher();
}

void
Node::Tick()
{
  const TimePoint now = mClock.Now();
  if (now - mLastTickAt > kMaxTickGap) {
    logging::Write(logging::Level::Warning,
                   "process_was_paused",
                   { { "ms",
                       std::chrono::duration_cast<std::chrono::milliseconds>(
                         now - mLastTickAt)
                         .count() } });
    mResumedAt = now;
  }
  mLastTickAt = now;
  mProfile.CountTurn(now - std::min(now, mTickDueAt));
  if (now >= mNextSummaryAt) {
    mNextSummaryAt = now + kSummaryInterval;
    if (mDispatcher != nullptr) {
      mProfile.LogSummary();
    }
  }
  {
    const LoopProfile::Timer timer(mProfile, LoopPhase::Leadership);
    // An instance that cannot read these streams could not dispatch.
    mLeadership.SetMayClaim(
      std::all_of(mRequiredStreams.begin(),
                  mRequiredStreams.end(),
                  [](const RequiredStream& aStream) {
                    return aStream.mReader.IsLoaded() &&
                           aStream.mReader.ConsecutiveFailures() == 0;
                  }));
    mLeadership.Tick();
    UpdateFailedReads();
    UpdateTerm();
  }
  mConfigurationReader.Tick();
  mWorkerReader.Tick();
  mJournalReader.Tick();
  mNextJournalOffset =
    mJournalReader.IsLoaded() ? mJournalReader.NextOffset() : kJournalNotLoaded;
  if (!mJobsToAdd.empty()) {
    const LoopProfile::Timer timer(mProfile, LoopPhase::Dispatch);
    AddOpenJobs();
  } else if (mDispatcher != nullptr) {
    TickDispatcher(now);
  }
  UpdateReadiness();
  // Readers whose pause is skipped are due since the beginning of time.
  mTickDueAt = std::max(now, NextTickAt());
}

void
Node::TickDispatcher(TimePoint aNow)
{
  const TimePoint confirmedAt = mLeadership.ConfirmedAt();
  mDispatcher->SetLeaderLease(
    confirmedAt, confirmedAt >= mResumedAt ? confirmedAt + kLeaderLease : aNow);
  UpdateStarts();
  if (aNow >= mDispatcher->NextTickAt()) {
    const LoopProfile::Timer timer(mProfile, LoopPhase::Dispatch);
    mDispatcher->Tick(aNow, mWallClock.NowMs());
  }
  const LoopProfile::Timer timer(mProfile, LoopPhase::Flush);
  Flush();
  RemoveOldJobs();
}

TimePoint
Node::NextTickAt() const
{
  // The wait is bounded, because none of the values below tells when a claim
  // becomes due.
  TimePoint next = mClock.Now() + kMaxTickInterval;
  for (const TimePoint it : { mConfigurationReader.NextTickAt(),
                              mWorkerReader.NextTickAt(),
                              mJournalReader.NextTickAt(),
                              mLeadership.NextTickAt() }) {
    next = std::min(next, it);
  }
  if (mDispatcher != nullptr) {
    next = std::min(next, mDispatcher->NextTickAt());
    if (!mIsFlushInFlight && (mIsBatchPending || mDispatcher->IsDirty())) {
      next = std::min(next, mNextFlushAt);
    }
  } else if (mEpoch != 0 && !mAreEarlierWritersFenced && !mIsFlushInFlight) {
    next = std::min(next, mNextFlushAt);
  }
  return next;
}

void
Node::Resign()
{
  if (mDispatcher != nullptr) {
    EndTerm();
  }
  mLeadership.Resign();
}

void
Node::OnConfiguration(const LogRecord& aRecord)
{
  auto routes = mDecoder.DecodeRoutes(aRecord);
  const auto current = mJobService.Routes();
  if (routes == nullptr ||
      (current != nullptr && current->Version() >= routes->Version())) {
    return;
  }
  logging::Write(logging::Level::Info,
                 "configuration_applied",
                 { { "version", routes->Version() },
                   { "routes", static_cast<std::int64_t>(routes->Size()) },
                   { "offset", aRecord.mOffset } });
  mJobService.SetRoutes(std::move(routes));
}

void
Node::OnWorkerSnapshot(const std::vector<LogRecord>& aRecords)
{
  std::set<std::string> registered;
  for (const auto& it : aRecords) {
    OnWorkerRecord(it);
    registered.insert(it.mKey);
  }
  for (const auto& [id, worker] : mWorkers) {
    if (registered.count(id) == 0 && worker.mIsRegistered) {
      UnregisterWorker(id);
    }
  }
}

void
Node::OnWorkerRecord(const LogRecord& aRecord)
{
  const LoopProfile::Timer timer(mProfile, LoopPhase::Streams);
  if (aRecord.mValue.empty()) {
    UnregisterWorker(aRecord.mKey);
    return;
  }
  auto entry = mDecoder.DecodeWorker(aRecord);
  if (!entry) {
    UnregisterWorker(aRecord.mKey);
    return;
  }
  KnownWorker& worker = mWorkers[entry->mId];
  worker.mEntry = std::move(*entry);
  worker.mRecord = aRecord.mValue;
  worker.mIsRegistered = true;
  if (mDispatcher != nullptr) {
    mDispatcher->SetWorker(worker.mEntry, mClock.Now());
  }
}

void
Node::UnregisterWorker(const std::string& aWorkerId)
{
  const auto found = mWorkers.find(aWorkerId);
  if (found == mWorkers.end() || !found->second.mIsRegistered) {
    return;
  }
  found->second.mIsRegistered = false;
  found->second.mUnregisteredAt = mClock.Now();
  if (mDispatcher != nullptr) {
    mDispatcher->OnWorkerUnregistered(aWorkerId, mClock.Now());
  }
}

void
Node::OnJournalRecord(const LogRecord& aRecord)
{
  const LoopProfile::Timer timer(mProfile, LoopPhase::Streams);
  mJobs.Apply(aRecord.mKey, aRecord.mValue, aRecord.mOffset);
  const auto key = jobs::ParseRecordKey(aRecord.mKey);
  if (key && key->mKind == jobs::RecordKind::Model) {
    mModelRecord = aRecord.mValue;
  }
  if (key && key->mKind == jobs::RecordKind::Worker) {
    OnJournaledWorker(key->mId, aRecord.mValue);
  }
  if (mDispatcher == nullptr) {
    return;
  }
  if (!key || aRecord.mValue.empty()) {
    return;
  }
  const TimePoint now = mClock.Now();
  switch (key->mKind) {
    case jobs::RecordKind::Submission: {
      const auto job = mJobs.Find(key->mId);
      if (job) {
        mDispatcher->AddJob(*job, mJobsToAdd.count(key->mId) != 0, now);
      }
      break;
    }
    case jobs::RecordKind::Cancellation:
      logging::Write(logging::Level::Info,
                     "job_cancelled_seen",
                     { { "job", key->mId },
                       { "offset", aRecord.mOffset },
                       { "max_delay_ms", ToMs(JournalAge()) } });
      mDispatcher->CancelJob(key->mId, now);
      break;
    case jobs::RecordKind::Progress:
    case jobs::RecordKind::Model:
    case jobs::RecordKind::Worker:
      break;
  }
}

void
Node::OnJournaledWorker(const std::string& aWorkerId,
                        const std::string& aRecord)
{
  if (aRecord.empty()) {
    mJournaledWorkers.erase(aWorkerId);
    return;
  }
  mJournaledWorkers.insert(aWorkerId);
  if (mWorkers.count(aWorkerId) != 0) {
    return;
  }
  auto entry = mDecoder.DecodeWorker({ aWorkerId, aRecord, 0 });
  if (!entry) {
    return;
  }
  KnownWorker& worker = mWorkers[aWorkerId];
  worker.mEntry = std::move(*entry);
  worker.mRecord = aRecord;
  worker.mIsRegistered = false;
  worker.mUnregisteredAt = mClock.Now();
}

void
Node::AddWorkerRecords()
{
  const TimePoint now = mClock.Now();
  const auto add = [this](const std::string& aWorkerId, std::string aRecord) {
    mBatchRequest.mRecords.push_back(
      { jobs::FormatRecordKey(jobs::RecordKind::Worker, aWorkerId),
        std::move(aRecord),
        0 });
  };
  for (auto it = mWorkers.begin(); it != mWorkers.end();) {
    const KnownWorker& worker = it->second;
    const bool isJournaled = mJournaledWorkers.count(it->first) != 0;
    if (worker.mIsRegistered && !isJournaled) {
      add(it->first, worker.mRecord);
      mJournaledWorkers.insert(it->first);
    }
    if (!worker.mIsRegistered &&
        worker.mUnregisteredAt + kUnregisteredRetention < now) {
      if (isJournaled) {
        add(it->first, "");
        mJournaledWorkers.erase(it->first);
      }
      it = mWorkers.erase(it);
      continue;
    }
    ++it;
  }
}

void
Node::UpdateTerm()
{
  if (mDispatcher != nullptr && mDispatcher->IsFenced()) {
    EndTerm();
    mLeadership.StepDown();
    return;
  }
  if (mEpoch != 0 && HandOverIfOutdated()) {
    return;
  }
  const std::int64_t epoch = mLeadership.Epoch();
  if (epoch != mEpoch) {
    if (mEpoch != 0) {
      EndTerm();
    }
    if (epoch != 0) {
      PrepareTerm();
    }
    return;
  }
  if (epoch == 0 || mDispatcher != nullptr) {
    return;
  }
  if (!mAreEarlierWritersFenced) {
    FenceEarlierWriters();
    return;
  }
  // No previous leader can append after the fence, so a read that was sent
  // later returns everything that it has stored.
  const bool isCurrent =
    mJournalReader.IsLoaded() &&
    mJournalReader.UpToDateAt() > mEarlierWritersFencedAt &&
    mWorkerReader.IsLoaded();
  if (isCurrent) {
    StartDispatcher();
  }
}

void
Node::UpdateFailedReads()
{
  for (auto& it : mRequiredStreams) {
    const TimePoint earliest =
      std::max(it.mReader.UpToDateAt(), mLeadership.AnsweredSince());
    if (it.mFailedReadSentAt && *it.mFailedReadSentAt <= earliest) {
      it.mFailedReadSentAt.reset();
    }
    const TimePoint sentAt = it.mReader.FailedReadSentAt();
    if (!it.mFailedReadSentAt && sentAt > earliest) {
      it.mFailedReadSentAt = sentAt;
    }
  }
}

base::Duration
Node::JournalAge() const
{
  return mClock.Now() - mJournalReader.UpToDateAt();
}

bool
Node::IsOutdated(const RequiredStream& aStream) const
{
  const TimePoint readAt = aStream.mReader.UpToDateAt();
  return mLeadership.ConfirmedAt() > readAt + kMaxRenewalLead &&
         mClock.Now() - readAt > aStream.mMaxAge;
}

void
Node::UpdateStarts()
{
  const auto outdated = std::find_if(
    mRequiredStreams.begin(),
    mRequiredStreams.end(),
    [this](const RequiredStream& aStream) { return IsOutdated(aStream); });
  const bool isOutdated = outdated != mRequiredStreams.end();
  if (isOutdated == mStartsHeldAt.has_value()) {
    return;
  }
  const TimePoint now = mClock.Now();
  if (isOutdated) {
    logging::Write(logging::Level::Warning,
                   "starts_held",
                   { { "stream", outdated->mTopic },
                     { "age_ms", ToMs(now - outdated->mReader.UpToDateAt()) },
                     { "limit_ms", ToMs(outdated->mMaxAge) },
                     { "offset", outdated->mReader.NextOffset() } });
    mStartsHeldAt = now;
  } else {
    logging::Write(logging::Level::Info,
                   "starts_resumed",
                   { { "held_ms", ToMs(now - *mStartsHeldAt) },
                     { "journal", mJournalReader.NextOffset() } });
    mStartsHeldAt.reset();
  }
  mDispatcher->SetMayStart(!isOutdated);
}

bool
Node::HandOverIfOutdated()
{
  if (mLeadership.IsAppending()) {
    return false;
  }
  // The log must have answered all renewals from before to after the time when
  // the failed read was sent. Otherwise an outage of the log could be the
  // cause.
  const auto unreadable = std::find_if(
    mRequiredStreams.begin(),
    mRequiredStreams.end(),
    [this](const RequiredStream& aStream) {
      return IsOutdated(aStream) && aStream.mFailedReadSentAt &&
             *aStream.mFailedReadSentAt <= mLeadership.ConfirmedAt() &&
             aStream.mReader.ConsecutiveFailures() >= aStream.mMinFailedReads;
    });
  if (unreadable == mRequiredStreams.end()) {
    return false;
  }
  logging::Write(
    logging::Level::Warning,
    "required_stream_unreadable",
    { { "epoch", mEpoch },
      { "stream", unreadable->mTopic },
      { "age_ms", ToMs(mClock.Now() - unreadable->mReader.UpToDateAt()) },
      { "failed_reads", unreadable->mReader.ConsecutiveFailures() } });
  EndTerm();
  mLeadership.HandOver();
  return true;
}

void
Node::PrepareTerm()
{
  mEpoch = mLeadership.Epoch();
  mAreEarlierWritersFenced = false;
  mIsFlushInFlight = false;
  mIsBatchPending = false;
  mSequence = 0;
  mNextFlushAt = mClock.Now();
  mJournalReader.SetPause(kLeaderJournalPause);
  mJournalReader.SetWait(kLeaderReadWait);
  mWorkerReader.SetPause(kLeaderWorkerPause);
  mWorkerReader.SetWait(kLeaderReadWait);
  mJournalReader.SkipPause();
  mWorkerReader.SkipPause();
  FenceEarlierWriters();
}

void
Node::EndTerm()
{
  logging::Write(logging::Level::Info, "term_ended", { { "epoch", mEpoch } });
  mWorkerClient.ClearDispatcher();
  mDispatcher.reset();
  mJobsToAdd.clear();
  mEpoch = 0;
  mLeading.Set(0);
  mStartsHeldAt.reset();
  mJournalReader.SetPause(kFollowerJournalPause);
  mJournalReader.SetWait(kReadWait);
  mWorkerReader.SetPause(kFollowerWorkerPause);
  mWorkerReader.SetWait(kReadWait);
}

void
Node::FenceEarlierWriters()
{
  const TimePoint now = mClock.Now();
  if (mIsFlushInFlight || now < mNextFlushAt) {
    return;
  }
  mIsFlushInFlight = true;
  AppendRequest request;
  request.mStream = mOptions.mStreams.mJournal;
  request.mStamp = WriterStamp{ std::string(kWriterName), mEpoch, 0 };
  mLog.Append(request,
              now + kFlushTimeout,
              [this, epoch = mEpoch](const AppendResult& aResult) {
                if (epoch != mEpoch) {
                  return;
                }
                mIsFlushInFlight = false;
                mNextFlushAt = mClock.Now() + kFlushRetryPause;
                if (aResult.mOutcome == LogOutcome::Done) {
                  mAreEarlierWritersFenced = true;
                  mEarlierWritersFencedAt = mClock.Now();
                  mNextFlushAt = mEarlierWritersFencedAt;
                  mJournalReader.SkipPause();
                } else if (aResult.mOutcome == LogOutcome::Fenced) {
                  EndTerm();
                  mLeadership.StepDown();
                }
              });
}

void
Node::StartDispatcher()
{
  const TimePoint now = mClock.Now();
  dispatch::Term term;
  term.mEpoch = mEpoch;
  // A worker lease may outlast the leader lease a little: worker clocks may run
  // slow and are read with a delay.
  term.mPreviousLeasesEndAt =
    mLeadership.PreviousLeaderLeaseEnd() + std::chrono::milliseconds(700);
  mDispatcher =
    dispatch::CreateDispatcher(mOptions.mLimits, term, mWorkerClient, mMetrics);
  mWorkerClient.SetDispatcher(mEpoch, *mDispatcher);
  mDispatcher->SetLeaderLease(mLeadership.ConfirmedAt(),
                              mLeadership.ConfirmedAt() + kLeaderLease);
  if (!mModelRecord.empty()) {
    mDispatcher->ImportModel(mModelRecord);
  }
  for (const auto& [id, worker] : mWorkers) {
    mDispatcher->SetWorker(worker.mEntry, now);
    if (!worker.mIsRegistered) {
      mDispatcher->OnWorkerUnregistered(id, worker.mUnregisteredAt);
    }
  }
  const auto openJobs = mJobs.ListOpen();
  logging::Write(logging::Level::Info,
                 "term_begun",
                 { { "epoch", mEpoch },
                   { "open_jobs", static_cast<std::int64_t>(openJobs.size()) },
                   { "workers", static_cast<std::int64_t>(mWorkers.size()) },
                   { "journal", mJournalReader.NextOffset() } });
  mJobsToAdd.insert(openJobs.begin(), openJobs.end());
  mLeading.Set(1);
  mProfile.Reset();
  mNextSummaryAt = now + kSummaryInterval;
}

void
Node::AddOpenJobs()
{
  // The dispatcher stops reported runs of jobs that it does not know, so its
  // first tick, which polls the workers, comes after the last job.
  const TimePoint now = mClock.Now();
  for (std::size_t n = 0; n < kMaxJobsPerTick && !mJobsToAdd.empty(); ++n) {
    const auto job = mJobs.Find(*mJobsToAdd.begin());
    if (job) {
      mDispatcher->AddJob(*job, true, now);
    }
    mJobsToAdd.erase(mJobsToAdd.begin());
  }
}

void
Node::Flush()
{
  const TimePoint now = mClock.Now();
  if (mIsFlushInFlight || now < mNextFlushAt) {
    return;
  }
  if (mIsBatchPending) {
    SendBatch();
    return;
  }
  auto [batch, dirty] = mDispatcher->TakeDirty();
  if (dirty.empty()) {
    mDispatcher->OnDurable(batch, now);
    return;
  }
  mBatchNumber = batch;
  mBatchRequest = AppendRequest{};
  mBatchRequest.mStream = mOptions.mStreams.mJournal;
  for (const auto& [id, progress] : dirty) {
    mBatchRequest.mRecords.push_back(
      { jobs::FormatRecordKey(jobs::RecordKind::Progress, id),
        jobs::EncodeProgress(progress),
        0 });
  }
  AddWorkerRecords();
  if (now >= mNextModelAt) {
    mNextModelAt = now + kModelInterval;
    mBatchRequest.mRecords.push_back(
      { jobs::FormatRecordKey(jobs::RecordKind::Model, kModelId),
        mDispatcher->ExportModel(),
        0 });
  }
  mBatchRequest.mStamp =
    WriterStamp{ std::string(kWriterName), mEpoch, ++mSequence };
  mBatchSentAt = now;
  mIsBatchPending = true;
  SendBatch();
}

void
Node::SendBatch()
{
  mIsFlushInFlight = true;
  mLog.Append(
    mBatchRequest,
    mClock.Now() + kFlushTimeout,
    [this, epoch = mEpoch](const AppendResult& aResult) {
      if (epoch != mEpoch || mDispatcher == nullptr) {
        return;
      }
      const TimePoint now = mClock.Now();
      mIsFlushInFlight = false;
      switch (aResult.mOutcome) {
        case LogOutcome::Done:
          mIsBatchPending = false;
          mNextFlushAt = std::max(now, mBatchSentAt + kFlushInterval);
          mFlushSeconds.Record(
            std::chrono::duration<double>(now - mBatchSentAt).count());
          ApplyBatch(aResult.mOffset);
          mDispatcher->OnDurable(mBatchNumber, now);
          break;
        case LogOutcome::Fenced:
        case LogOutcome::OutOfSequence:
          logging::Write(
            logging::Level::Warning,
            "journal_append_refused",
            { { "epoch", mEpoch }, { "outcome", NameOf(aResult.mOutcome) } });
          EndTerm();
          mLeadership.StepDown();
          break;
        case LogOutcome::EndMoved:
        case LogOutcome::Expired:
        case LogOutcome::Refused:
        case LogOutcome::Unknown:
          // The retry has the same sequence number, so the log ignores it if
          // the batch has been stored.
          mNextFlushAt = now + kFlushRetryPause;
          break;
      }
    });
}

void
Node::ApplyBatch(std::int64_t aFirstOffset)
{
  std::int64_t offset = aFirstOffset;
  for (const auto& it : mBatchRequest.mRecords) {
    mJobs.Apply(it.mKey, it.mValue, offset++);
  }
}

void
Node::RemoveOldJobs()
{
  const TimePoint now = mClock.Now();
  if (now < mNextCleanupAt) {
    return;
  }
  mNextCleanupAt = now + kCleanupInterval;
  mJobCount.Set(static_cast<std::int64_t>(mJobs.Size()));
  auto oldJobs = mJobs.ListFinal(mWallClock.NowMs() - kFinalJobRetentionMs);
  if (oldJobs.empty()) {
    return;
  }
  oldJobs.resize(std::min(oldJobs.size(), kMaxJobsPerCleanup));
  AppendRequest request;
  request.mStream = mOptions.mStreams.mJournal;
  for (const auto& id : oldJobs) {
    for (const auto kind : { jobs::RecordKind::Progress,
                             jobs::RecordKind::Cancellation,
                             jobs::RecordKind::Submission }) {
      request.mRecords.push_back({ jobs::FormatRecordKey(kind, id), "", 0 });
    }
  }
  mLog.Append(request, now + kFlushTimeout, [](const AppendResult& aResult) {
    if (aResult.mOutcome != LogOutcome::Done) {
      logging::Write(logging::Level::Warning,
                     "cleanup_failed",
                     { { "outcome", NameOf(aResult.mOutcome) } });
    }
  });
}

void
Node::UpdateReadiness()
{
  const TimePoint now = mClock.Now();
  const bool isUpToDate = mJournalReader.IsLoaded() &&
                          mJournalReader.UpToDateAt() + kMaxReadAge > now &&
                          mJournalReader.ConsecutiveFailures() < 2;
  if (mJournalReader.ConsecutiveFailures() > 0) {
    mJobService.Health().SetUnreachable(now);
  }
  const bool isReady = isUpToDate && mJobService.Routes() != nullptr;
  if (isReady != mIsReady) {
    logging::Write(logging::Level::Info,
                   "readiness_changed",
                   { { "ready", isReady ? "yes" : "no" } });
    mIsReady = isReady;
  }
}

} // namespace skylarkhill::node
