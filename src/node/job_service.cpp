#include "skylarkhill/node/job_service.hpp"

#include "skylarkhill/jobs/job_codec.hpp"
#include "skylarkhill/logging/logging.hpp"

#include <algorithm>
#include <utility>

namespace skylarkhill::node {

using base::ErrorKind;
using base::MakeError;
using base::TimePoint;

namespace {

/// Timeout of one append attempt; a log under load responds within half of it.
/// A retry has the same key and value, so a duplicate has no effect.
constexpr base::Duration kAppendAttemptTimeout = std::chrono::milliseconds(500);
/// No append, and no read before an acknowledgement, is sent if less time is
/// left; several times the usual response time.
constexpr base::Duration kMinAttemptTime = std::chrono::milliseconds(100);
/// Pause before a retry. Without it, a log that refuses calls immediately would
/// be called in a tight loop.
constexpr base::Duration kRetryPause = std::chrono::milliseconds(100);
/// Time reserved for the response to the caller.
constexpr base::Duration kResponseReserve = std::chrono::milliseconds(150);
constexpr base::Duration kReadTimeout = std::chrono::milliseconds(800);
/// Offset of a record whose append got no answer.
constexpr std::int64_t kUnknownOffset = -1;
/// Callers' requests fail fast for this time after a failed call to the log.
constexpr base::Duration kUnreachablePeriod = std::chrono::milliseconds(700);

} // namespace

void
LogHealth::SetReachable(TimePoint aNow)
{
  mReachableAt = base::ToMicros(aNow);
}

void
LogHealth::SetUnreachable(TimePoint aNow)
{
  mUnreachableAt = base::ToMicros(aNow);
}

bool
LogHealth::IsUnreachable(TimePoint aNow) const
{
  return mUnreachableAt > mReachableAt &&
         base::FromMicros(mUnreachableAt) + kUnreachablePeriod > aNow;
}

JobService::JobService(jobs::JobTable& aJobs,
                       BlockingLog& aLog,
                       LogStream aJournal,
                       const LogLimits& aLogLimits,
                       const std::atomic<std::int64_t>& aNextJournalOffset,
                       const base::Clock& aClock,
                       const journal::WallClock& aWallClock,
                       metrics::Registry& aMetrics)
  : mJobs(aJobs)
  , mLog(aLog)
  , mJournal(std::move(aJournal))
  , mLogLimits(aLogLimits)
  , mNextJournalOffset(aNextJournalOffset)
  , mClock(aClock)
  , mWallClock(aWallClock)
  , mAccepted(aMetrics.GetCounter("skylarkhill_jobs_accepted_total",
                                  "Jobs stored by this node."))
  , mRefused(aMetrics.GetCounter("skylarkhill_jobs_refused_total",
                                 "Jobs that were not accepted."))
  , mUnknown(aMetrics.GetCounter("skylarkhill_jobs_unknown_total",
                                 "Jobs whose acceptance is not known."))
  , mCancelled(aMetrics.GetCounter("skylarkhill_jobs_cancelled_total",
                                   "Cancellations stored by this node."))
  , mAppendSeconds(
      aMetrics.GetDistribution("skylarkhill_append_seconds",
                               "Time until a caller's record is stored."))
{
}

void
JobService::SetFollowed(bool aIsFollowed)
{
  ++mGeneration;
  mIsFollowed = aIsFollowed;
}

base::Result<void>
JobService::CheckGeneration(std::uint64_t aGeneration) const
{
  if (aGeneration != mGeneration || !mIsFollowed) {
    return MakeError(ErrorKind::LogUnavailable,
                     "the instance has stopped following the journal");
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

base::Result<void>
JobService::Submit(const jobs::QueuePolicy& aPolicy,
                   const std::string& aJobId,
                   jobs::JobRequest aRequest,
                   TimePoint aDeadline)
{
  if (mJobs.Contains(aJobId)) {
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  jobs::Submission submission;
  submission.mId = aJobId;
  submission.mPolicy = aPolicy;
  submission.mAcceptedMs = mWallClock.NowMs();
  submission.mRequest = std::move(aRequest);
  const auto stored =
    Append(jobs::FormatRecordKey(jobs::RecordKind::Submission, aJobId),
           jobs::EncodeSubmission(submission),
           aDeadline,
           [&] { return mJobs.Contains(aJobId); });
  if (stored) {
    mAccepted.Add();
  } else if (stored.error().mKind == ErrorKind::OutcomeUnknown) {
    mUnknown.Add();
  } else {
    mRefused.Add();
  }
  logging::Write(logging::Level::Info,
                 "job_submitted",
                 { { "job", aJobId },
                   { "queue", aPolicy.mQueue },
                   { "outcome",
                     stored ? std::string_view("accepted")
                            : base::NameOf(stored.error().mKind) } });
  BOOST_OUTCOME_TRYV(stored);
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

base::Result<void>
JobService::Cancel(const std::string& aJobId, TimePoint aDeadline)
{
  if (!mJobs.Contains(aJobId)) {
    BOOST_OUTCOME_TRYV(CatchUp(aDeadline));
  }
  // The submission may be under way at another instance, or be carried out late
  // by the log.
  BOOST_OUTCOME_TRYV(CancelKnown(aJobId, aDeadline));
  if (!mJobs.Contains(aJobId)) {
    return MakeError(ErrorKind::NotFound, "no such job");
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

base::Result<void>
JobService::CancelKnown(const std::string& aJobId, TimePoint aDeadline)
{
  auto stored = StoreCancellation(aJobId, aDeadline);
  if (stored) {
    mCancelled.Add();
  }
  return stored;
}

base::Result<void>
JobService::StoreCancellation(const std::string& aJobId, TimePoint aDeadline)
{
  const std::int64_t journal = mNextJournalOffset;
  const auto stored =
    Append(jobs::FormatRecordKey(jobs::RecordKind::Cancellation, aJobId),
           jobs::EncodeCancellation(mWallClock.NowMs()),
           aDeadline,
           [&] { return mJobs.StateOf(aJobId) == jobs::JobState::Cancelled; });
  logging::Write(logging::Level::Info,
                 "job_cancelled",
                 { { "job", aJobId },
                   { "journal", journal },
                   { "offset", stored ? stored.value() : kUnknownOffset },
                   { "outcome",
                     stored ? std::string_view("stored")
                            : base::NameOf(stored.error().mKind) } });
  BOOST_OUTCOME_TRYV(stored);
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

base::Result<jobs::JobState>
JobService::StateOf(const std::string& aJobId, TimePoint aDeadline)
{
  const std::uint64_t generation = mGeneration;
  auto state = mJobs.StateOf(aJobId);
  const bool mayHaveChanged =
    !state ||
    (!jobs::IsFinal(*state) && base::ToMicros(mClock.Now()) >= mFreshUntil);
  if (mayHaveChanged) {
    const auto caughtUp = CatchUp(aDeadline);
    if (!caughtUp && !state) {
      return caughtUp.error();
    }
    state = mJobs.StateOf(aJobId);
  }
  BOOST_OUTCOME_TRYV(CheckGeneration(generation));
  if (!state) {
    return MakeError(ErrorKind::NotFound, "no such job");
  }
  return *state;
}

base::Result<JobView>
JobService::View(const std::string& aJobId, TimePoint aDeadline)
{
  const std::uint64_t generation = mGeneration;
  BOOST_OUTCOME_TRY(state, StateOf(aJobId, aDeadline));
  JobView view{ state, {} };
  if (const auto transfer = mJobs.TransferOf(aJobId)) {
    view.mTarget = transfer->mTarget;
  }
  BOOST_OUTCOME_TRYV(CheckGeneration(generation));
  return view;
}

base::Result<std::vector<int>>
JobService::ListOtherCells(const std::string& aJobId, TimePoint aDeadline)
{
  const std::uint64_t generation = mGeneration;
  BOOST_OUTCOME_TRYV(ReadToEnd(aDeadline));
  auto cells = mJobs.ListOtherCells(aJobId);
  const auto job = mJobs.Find(aJobId);
  BOOST_OUTCOME_TRYV(CheckGeneration(generation));
  if (!job || !job->IsKnown()) {
    return MakeError(ErrorKind::NotFound, "no such job");
  }
  return cells;
}

base::Result<std::size_t>
JobService::CountPending(std::string_view aQueue, TimePoint aDeadline)
{
  const std::uint64_t generation = mGeneration;
  // While an expired journal is loaded again, records may be missing.
  const bool isLoaded = mNextJournalOffset != kJournalNotLoaded;
  if (!isLoaded || base::ToMicros(mClock.Now()) >= mCountableUntil) {
    BOOST_OUTCOME_TRYV(CatchUp(aDeadline));
  }
  const std::size_t n = mJobs.CountPending(aQueue);
  BOOST_OUTCOME_TRYV(CheckGeneration(generation));
  return n;
}

base::Result<std::int64_t>
JobService::Append(std::string aKey,
                   std::string aValue,
                   TimePoint aDeadline,
                   const std::function<bool()>& aIsStored)
{
  const TimePoint start = mClock.Now();
  AppendRequest request;
  request.mStream = mJournal;
  request.mRecords.push_back({ std::move(aKey), std::move(aValue), 0 });
  if (!IsStorable(request.mRecords.front(), mLogLimits)) {
    return MakeError(ErrorKind::InvalidArgument,
                     "a record of " +
                       std::to_string(SizeOf(request.mRecords.front())) +
                       " bytes exceeds the limit of " +
                       std::to_string(mLogLimits.mMaxRecordBytes));
  }
  if (mHealth.IsUnreachable(start)) {
    return MakeError(ErrorKind::LogUnavailable, "the log is unreachable");
  }
  const TimePoint appendDeadline = aDeadline - kResponseReserve;
  if (start + kMinAttemptTime > appendDeadline) {
    // A call without enough time would count as a failure of the log.
    return MakeError(ErrorKind::LogUnavailable,
                     "no time is left to store the record");
  }
  bool mayBeStored = false;
  for (int attempt = 1;; ++attempt) {
    const AppendResult result = mLog.Append(
      request, std::min(appendDeadline, mClock.Now() + kAppendAttemptTimeout));
    const TimePoint now = mClock.Now();
    if (result.mOutcome != LogOutcome::Done) {
      logging::Write(logging::Level::Info,
                     "append_not_confirmed",
                     { { "record", request.mRecords.front().mKey },
                       { "attempt", attempt },
                       { "outcome", NameOf(result.mOutcome) },
                       { "status", result.mStatus },
                       { "resent", result.mIsPossiblyResent ? "yes" : "no" } });
    }
    if (result.mOutcome == LogOutcome::Done) {
      mHealth.SetReachable(now);
      mAppendSeconds.Record(std::chrono::duration<double>(now - start).count());
      if (mIsFollowed) {
        mJobs.Apply(request.mRecords.front().mKey,
                    request.mRecords.front().mValue,
                    result.mOffset);
      }
      return result.mOffset;
    }
    // An earlier request of the caller may have stored the record elsewhere.
    if (aIsStored()) {
      return kUnknownOffset;
    }
    if (result.mOutcome == LogOutcome::Invalid) {
      // A further attempt would be refused, too.
      return mayBeStored
               ? MakeError(ErrorKind::OutcomeUnknown,
                           "an append attempt got no response")
               : MakeError(ErrorKind::InvalidArgument,
                           "the log refused the content of the record");
    }
    mHealth.SetUnreachable(now);
    mayBeStored = mayBeStored || result.mOutcome != LogOutcome::Refused;
    if (!mayBeStored) {
      // No attempt can have been stored, so fail without further retries.
      return MakeError(ErrorKind::LogUnavailable, "the log refused the append");
    }
    if (now + kRetryPause + kMinAttemptTime > appendDeadline) {
      return MakeError(ErrorKind::OutcomeUnknown,
                       "an append attempt got no response");
    }
    mClock.SleepUntil(now + kRetryPause);
    // An earlier attempt may have stored the record although its response was
    // lost.
    if (aIsStored()) {
      return kUnknownOffset;
    }
  }
}

base::Result<void>
JobService::CatchUp(TimePoint aDeadline)
{
  if (mHealth.IsUnreachable(mClock.Now())) {
    return MakeError(ErrorKind::LogUnavailable, "the log is unreachable");
  }
  return ReadOnce(aDeadline);
}

base::Result<void>
JobService::ReadToEnd(TimePoint aDeadline)
{
  if (mHealth.IsUnreachable(mClock.Now())) {
    return MakeError(ErrorKind::LogUnavailable, "the log is unreachable");
  }
  const TimePoint readDeadline = aDeadline - kResponseReserve;
  for (;;) {
    // A call without enough time would count as a failure of the log.
    if (mClock.Now() + kMinAttemptTime > readDeadline) {
      return MakeError(ErrorKind::LogUnavailable,
                       "no time is left to read the journal");
    }
    auto isRead = ReadOnce(readDeadline);
    const TimePoint next = mClock.Now() + kRetryPause;
    if (isRead || next + kMinAttemptTime > readDeadline) {
      return isRead;
    }
    mClock.SleepUntil(next);
  }
}

base::Result<void>
JobService::ReadOnce(TimePoint aDeadline)
{
  const TimePoint now = mClock.Now();
  std::int64_t next = mNextJournalOffset;
  if (next == kJournalNotLoaded) {
    return MakeError(ErrorKind::LogUnavailable, "the journal is not loaded");
  }
  const TimePoint readDeadline = std::min(aDeadline, now + kReadTimeout);
  // One read may return only a part of the records.
  for (;;) {
    const ReadResult result = mLog.Read(mJournal, next, readDeadline);
    const bool isAtEnd = result.mNextOffset >= result.mEnd;
    if (result.mOutcome != LogOutcome::Done ||
        (!isAtEnd && result.mRecords.empty())) {
      // The log stores records although it refuses reads because of their rate.
      if (!result.mIsRateLimited) {
        mHealth.SetUnreachable(mClock.Now());
      }
      return MakeError(ErrorKind::LogUnavailable,
                       "the journal could not be read");
    }
    mHealth.SetReachable(mClock.Now());
    for (const auto& it : result.mRecords) {
      mJobs.Apply(it.mKey, it.mValue, it.mOffset);
    }
    if (isAtEnd) {
      mCountableUntil = base::ToMicros(now) + mMaxCountAgeMicros;
      mFreshUntil = base::ToMicros(now) + mMaxStateAgeMicros;
      return BOOST_OUTCOME_V2_NAMESPACE::success();
    }
    next = result.mNextOffset;
  }
}

} // namespace skylarkhill::node
