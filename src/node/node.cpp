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

constexpr std::string_view kWriter = "leader";

/// Pauses between reads that delivered records. They bound the calls to the
/// log; a caller sees the end of a job at most this late at another node.
constexpr Duration kFollowerJournalPause = std::chrono::milliseconds(200);
constexpr Duration kLeaderJournalPause = std::chrono::milliseconds(5);
constexpr Duration kFollowerWorkerPause = std::chrono::milliseconds(1200);
constexpr Duration kLeaderWorkerPause = std::chrono::milliseconds(250);

/// Least time between two batches of progress records.
constexpr Duration kFlushInterval = std::chrono::milliseconds(20);
/// Pause between two records of what has been learned about images.
constexpr Duration kModelInterval = std::chrono::seconds(2);
constexpr std::string_view kModelId = "images";
constexpr Duration kFlushTimeout = std::chrono::milliseconds(1200);
constexpr Duration kFlushRetryPause = std::chrono::milliseconds(150);

/// A node whose last complete read is older sends callers elsewhere.
constexpr Duration kReadyAge = std::chrono::milliseconds(4000);

/// After a pause of the process its view may be outdated; orders wait until
/// the leadership is confirmed again.
constexpr Duration kMaxPause = std::chrono::milliseconds(900);

/// Workers that left the registry are remembered while an earlier leader could
/// have extended their leases.
constexpr Duration kUnlistedMemory = kAuthority + std::chrono::seconds(1);

/// States are answered for 120 s after the end of a job at least; the longest
/// jobs of the sites take about as long again.
constexpr std::int64_t kKeepFinalMs = 400'000;
/// Longest time between two polls.
constexpr Duration kIdlePause = std::chrono::milliseconds(100);

constexpr Duration kCleanupInterval = std::chrono::seconds(20);
constexpr std::size_t kMaxCleanup = 500;

} // namespace

Node::Node(NodeOptions aOptions,
           SharedLog& aLog,
           BlockingLog& aBlockingLog,
           WorkerCalls& aCalls,
           const RecordDecoder& aDecoder,
           const base::Clock& aClock,
           const journal::WallClock& aWallClock,
           metrics::Registry& aMetrics)
  : mOptions(std::move(aOptions))
  , mLog(aLog)
  , mCalls(aCalls)
  , mDecoder(aDecoder)
  , mClock(aClock)
  , mWallClock(aWallClock)
  , mMetrics(aMetrics)
  , mLeading(aMetrics.GetGauge("skylarkhill_leading",
                               "1 while this node dispatches tasks."))
  , mJobCount(aMetrics.GetGauge("skylarkhill_jobs", "Jobs known here."))
  , mFlushSeconds(
      aMetrics.GetDistribution("skylarkhill_flush_seconds",
                               "Time until progress records are stored."))
  , mConfigurationTail(
      aLog,
      aClock,
      mOptions.mStreams.mConfiguration,
      { [this](const LogRecord& aRecord) { OnConfiguration(aRecord); }, {} })
  , mWorkerTail(aLog,
                aClock,
                mOptions.mStreams.mWorkers,
                { [this](const LogRecord& aRecord) { OnWorker(aRecord); },
                  [this](const std::vector<LogRecord>& aRecords) {
                    OnWorkers(aRecords);
                  } })
  , mJournalTail(
      aLog,
      aClock,
      mOptions.mStreams.mJournal,
      { [this](const LogRecord& aRecord) { OnJournal(aRecord); }, {} })
  , mService(mJobs,
             aBlockingLog,
             mOptions.mStreams.mJournal,
             mJournalNext,
             aClock,
             aWallClock,
             aMetrics)
  , mLeadership(aLog,
                aClock,
                mOptions.mStreams.mLeader,
                mOptions.mHolder,
                mOptions.mProcessorShare)
{
  mWorkerTail.SetPause(kFollowerWorkerPause);
  mJournalTail.SetPause(kFollowerJournalPause);
  mPolledAt = aClock.Now();
}

Node::~Node()
{
  mCalls.Detach();
}

void
Node::Poll()
{
  const TimePoint now = mClock.Now();
  if (now - mPolledAt > kMaxPause) {
    logging::Write(
      logging::Level::Warning,
      "process_was_paused",
      { { "ms",
          std::chrono::duration_cast<std::chrono::milliseconds>(now - mPolledAt)
            .count() } });
    mResumedAt = now;
  }
  mPolledAt = now;
  mConfigurationTail.Poll();
  mWorkerTail.Poll();
  mJournalTail.Poll();
  mJournalNext = mJournalTail.IsLoaded() ? mJournalTail.Next() : kNotLoaded;
  mLeadership.Poll();
  FollowLeadership();
  if (mDispatcher != nullptr) {
    const TimePoint confirmedAt = mLeadership.ConfirmedAt();
    mDispatcher->SetLeadershipLease(
      confirmedAt, confirmedAt >= mResumedAt ? confirmedAt + kAuthority : now);
    if (now >= mDispatcher->NextTick()) {
      mDispatcher->Tick(now, mWallClock.NowMs());
    }
    Flush();
    RemoveOldJobs();
  }
  UpdateReadiness();
}

TimePoint
Node::NextPollAt() const
{
  // Claims are due by the passing of time, without an event.
  TimePoint next = mClock.Now() + kIdlePause;
  for (const TimePoint it : { mConfigurationTail.NextPollAt(),
                              mWorkerTail.NextPollAt(),
                              mJournalTail.NextPollAt(),
                              mLeadership.NextPollAt() }) {
    next = std::min(next, it);
  }
  if (mDispatcher != nullptr) {
    next = std::min(next, mDispatcher->NextTick());
    if (!mIsFlushInFlight && (mIsBatchUnsaved || mDispatcher->IsDirty())) {
      next = std::min(next, mNextFlushAt);
    }
  } else if (mEpoch != 0 && !mIsFlushInFlight) {
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
  const auto current = mService.Routes();
  if (routes == nullptr ||
      (current != nullptr && current->Version() >= routes->Version())) {
    return;
  }
  logging::Write(logging::Level::Info,
                 "configuration_applied",
                 { { "version", routes->Version() },
                   { "routes", static_cast<std::int64_t>(routes->Size()) },
                   { "offset", aRecord.mOffset } });
  mService.SetRoutes(std::move(routes));
}

void
Node::OnWorkers(const std::vector<LogRecord>& aRecords)
{
  std::set<std::string> listed;
  for (const auto& it : aRecords) {
    OnWorker(it);
    listed.insert(it.mKey);
  }
  for (const auto& [id, worker] : mWorkers) {
    if (listed.count(id) == 0 && worker.mIsListed) {
      UnlistWorker(id);
    }
  }
}

void
Node::OnWorker(const LogRecord& aRecord)
{
  if (aRecord.mValue.empty()) {
    UnlistWorker(aRecord.mKey);
    return;
  }
  auto entry = mDecoder.DecodeWorker(aRecord);
  if (!entry) {
    UnlistWorker(aRecord.mKey);
    return;
  }
  KnownWorker& worker = mWorkers[entry->mId];
  worker.mEntry = std::move(*entry);
  worker.mRecord = aRecord.mValue;
  worker.mIsListed = true;
  if (mDispatcher != nullptr) {
    mDispatcher->SetWorker(worker.mEntry, mClock.Now());
  }
}

void
Node::UnlistWorker(const std::string& aWorkerId)
{
  const auto found = mWorkers.find(aWorkerId);
  if (found == mWorkers.end() || !found->second.mIsListed) {
    return;
  }
  found->second.mIsListed = false;
  found->second.mUnlistedAt = mClock.Now();
  if (mDispatcher != nullptr) {
    mDispatcher->RemoveWorker(aWorkerId, mClock.Now());
  }
}

void
Node::OnJournal(const LogRecord& aRecord)
{
  mJobs.Apply(aRecord.mKey, aRecord.mValue, aRecord.mOffset);
  const auto key = jobs::ParseRecordKey(aRecord.mKey);
  if (key && key->mKind == jobs::RecordKind::Model) {
    mModelRecord = aRecord.mValue;
  }
  if (key && key->mKind == jobs::RecordKind::Worker) {
    OnJournaledWorker(key->mJobId, aRecord.mValue);
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
      const auto job = mJobs.Find(key->mJobId);
      if (job) {
        mDispatcher->AddJob(*job, false, now);
      }
      break;
    }
    case jobs::RecordKind::Cancellation:
      mDispatcher->CancelJob(key->mJobId, now);
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
  worker.mIsListed = false;
  worker.mUnlistedAt = mClock.Now();
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
    if (worker.mIsListed && !isJournaled) {
      add(it->first, worker.mRecord);
      mJournaledWorkers.insert(it->first);
    }
    if (!worker.mIsListed && worker.mUnlistedAt + kUnlistedMemory < now) {
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
Node::FollowLeadership()
{
  if (mDispatcher != nullptr && mDispatcher->IsFenced()) {
    EndTerm();
    mLeadership.StepDown();
    return;
  }
  const std::int64_t epoch = mLeadership.Epoch();
  if (epoch != mEpoch) {
    if (mEpoch != 0) {
      EndTerm();
    }
    if (epoch != 0) {
      BeginTerm();
    }
    return;
  }
  if (epoch == 0 || mDispatcher != nullptr) {
    return;
  }
  if (!mIsJournalFenced) {
    FenceJournal();
    return;
  }
  // Everything that an earlier leader stored was stored before the fence.
  const bool isCurrent = mJournalTail.IsLoaded() &&
                         mJournalTail.FreshAt() > mJournalFencedAt &&
                         mWorkerTail.IsLoaded();
  if (isCurrent) {
    StartDispatcher();
  } else {
    mJournalTail.Hurry();
    mWorkerTail.Hurry();
  }
}

void
Node::BeginTerm()
{
  mEpoch = mLeadership.Epoch();
  mIsJournalFenced = false;
  mIsFlushInFlight = false;
  mIsBatchUnsaved = false;
  mSequence = 0;
  mNextFlushAt = mClock.Now();
  mJournalTail.SetPause(kLeaderJournalPause);
  mWorkerTail.SetPause(kLeaderWorkerPause);
  FenceJournal();
}

void
Node::EndTerm()
{
  logging::Write(logging::Level::Info, "term_ended", { { "epoch", mEpoch } });
  mCalls.Detach();
  mDispatcher.reset();
  mEpoch = 0;
  mLeading.Set(0);
  mJournalTail.SetPause(kFollowerJournalPause);
  mWorkerTail.SetPause(kFollowerWorkerPause);
}

void
Node::FenceJournal()
{
  const TimePoint now = mClock.Now();
  if (mIsFlushInFlight || now < mNextFlushAt) {
    return;
  }
  mIsFlushInFlight = true;
  AppendRequest request;
  request.mStream = mOptions.mStreams.mJournal;
  request.mStamp = WriterStamp{ std::string(kWriter), mEpoch, 0 };
  mLog.Append(request,
              now + kFlushTimeout,
              [this, epoch = mEpoch](const AppendResult& aResult) {
                if (epoch != mEpoch) {
                  return;
                }
                mIsFlushInFlight = false;
                mNextFlushAt = mClock.Now() + kFlushRetryPause;
                if (aResult.mOutcome == LogOutcome::Done) {
                  mIsJournalFenced = true;
                  mJournalFencedAt = mClock.Now();
                  mNextFlushAt = mJournalFencedAt;
                  mJournalTail.Hurry();
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
  term.mPreviousLeasesEndAt =
    mLeadership.EarlierAuthorityEnd() + std::chrono::milliseconds(700);
  mDispatcher =
    dispatch::CreateDispatcher(mOptions.mLimits, term, mCalls, mMetrics);
  mCalls.Attach(mEpoch, *mDispatcher);
  mDispatcher->SetLeadershipLease(mLeadership.ConfirmedAt(),
                                  mLeadership.ConfirmedAt() + kAuthority);
  if (!mModelRecord.empty()) {
    mDispatcher->ImportModel(mModelRecord);
  }
  for (const auto& [id, worker] : mWorkers) {
    mDispatcher->SetWorker(worker.mEntry, now);
    if (!worker.mIsListed) {
      mDispatcher->RemoveWorker(id, worker.mUnlistedAt);
    }
  }
  std::int64_t open = 0;
  for (const auto& it : mJobs.List()) {
    if (!jobs::IsFinal(it.State())) {
      mDispatcher->AddJob(it, true, now);
      ++open;
    }
  }
  mLeading.Set(1);
  logging::Write(logging::Level::Info,
                 "term_begun",
                 { { "epoch", mEpoch },
                   { "open_jobs", open },
                   { "workers", static_cast<std::int64_t>(mWorkers.size()) },
                   { "journal", mJournalTail.Next() } });
}

void
Node::Flush()
{
  const TimePoint now = mClock.Now();
  if (mIsFlushInFlight || now < mNextFlushAt) {
    return;
  }
  if (mIsBatchUnsaved) {
    SendBatch();
    return;
  }
  auto [batch, dirty] = mDispatcher->TakeDirty();
  if (dirty.empty()) {
    mDispatcher->OnDurable(batch, now);
    return;
  }
  mBatch = batch;
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
    WriterStamp{ std::string(kWriter), mEpoch, ++mSequence };
  mBatchSentAt = now;
  mIsBatchUnsaved = true;
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
          mIsBatchUnsaved = false;
          mNextFlushAt = std::max(now, mBatchSentAt + kFlushInterval);
          mFlushSeconds.Record(
            std::chrono::duration<double>(now - mBatchSentAt).count());
          ApplyBatch(aResult.mOffset);
          mDispatcher->OnDurable(mBatch, now);
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
          // The same sequence number again has no effect if it was stored.
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
  auto old = mJobs.ListFinal(mWallClock.NowMs() - kKeepFinalMs);
  if (old.empty()) {
    return;
  }
  old.resize(std::min(old.size(), kMaxCleanup));
  AppendRequest request;
  request.mStream = mOptions.mStreams.mJournal;
  for (const auto& id : old) {
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
  const bool isFresh = mJournalTail.IsLoaded() &&
                       mJournalTail.FreshAt() + kReadyAge > now &&
                       mJournalTail.Failures() < 2;
  if (mJournalTail.Failures() > 0) {
    mService.Health().SetUnreachable(now);
  }
  const bool isReady = isFresh && mService.Routes() != nullptr;
  if (isReady != mIsReady) {
    logging::Write(logging::Level::Info,
                   "readiness_changed",
                   { { "ready", isReady ? "yes" : "no" } });
    mIsReady = isReady;
  }
}

} // namespace skylarkhill::node
