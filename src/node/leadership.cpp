#include "skylarkhill/node/leadership.hpp"

#include "skylarkhill/base/hash.hpp"
#include "skylarkhill/base/msgpack.hpp"
#include "skylarkhill/dispatch/dispatcher.hpp"
#include "skylarkhill/logging/logging.hpp"

#include <algorithm>
#include <cstddef>
#include <tuple>
#include <utility>

namespace skylarkhill::node {

using base::TimePoint;

namespace {

constexpr std::string_view kLeaderKey = "leader";

/// Interval between two records of a leader.
constexpr base::Duration kRenewInterval = std::chrono::milliseconds(800);
/// Time without a renewal after which candidates claim: allows for two late or
/// lost renewals.
constexpr base::Duration kTakeoverTimeout = std::chrono::milliseconds(2200);
static_assert(kTakeoverTimeout > dispatch::kMinTakeoverTime);
/// Upper bound of the pseudo-random part of a claim delay, which keeps
/// candidates from claiming at the same time.
constexpr base::Duration kMaxClaimJitter = std::chrono::milliseconds(200);
/// The same after a resignation, which candidates of one failure domain read at
/// the same moment.
constexpr base::Duration kMaxResignedJitter = std::chrono::milliseconds(100);
/// Instances with at least this many processors claim without an additional
/// delay.
constexpr double kMinProcessorsWithoutDelay = 0.5;
/// Additional claim delay of an instance with almost no processor time.
constexpr base::Duration kMaxSlowInstanceDelay = std::chrono::milliseconds(500);
/// Time in which an instance that a resignation names claims and the others
/// read its claim.
constexpr base::Duration kSuccessorTime = std::chrono::milliseconds(100);
/// Names of a resignation that are read, at most.
constexpr std::size_t kMaxSuccessors = 5;
/// Former leaders that are remembered, and for how long: an instance that stops
/// is no longer listed by then.
constexpr std::size_t kMaxFormerLeaders = 64;
constexpr base::Duration kFormerLeaderTime = std::chrono::seconds(20);
/// Pause after a failed append or a loss of the leadership.
constexpr base::Duration kRetryPause = std::chrono::milliseconds(250);
/// Longest pause of a candidate that kTakeoverTimeout allows for.
constexpr base::Duration kAllowedPause = std::chrono::milliseconds(300);
constexpr base::Duration kAppendTimeout = std::chrono::milliseconds(1500);

/// Versions without the last four fields ignore them, and their records lack
/// them.
using Fields = std::tuple<std::int64_t,
                          std::string,
                          bool,
                          std::int64_t,
                          std::int64_t,
                          std::int64_t,
                          std::vector<std::string>>;

/// A worker lease may outlast the leader lease a little: worker clocks may run
/// slow and are read with a delay.
constexpr base::Duration kWorkerLeaseExcess = std::chrono::milliseconds(700);

/// Pseudo-random part of a claim delay.
base::Duration
ClaimJitter(const std::string& aInstanceId,
            const std::optional<LeaderRecord>& aNewest)
{
  const std::int64_t epoch = aNewest ? aNewest->mEpoch : 0;
  const base::Duration maxJitter =
    aNewest && aNewest->mIsResigned ? kMaxResignedJitter : kMaxClaimJitter;
  const auto hash =
    base::StableHash(aInstanceId, static_cast<std::uint64_t>(epoch));
  return base::Duration(static_cast<base::Duration::rep>(
    hash % static_cast<std::uint64_t>(maxJitter.count())));
}

/// Part of a claim delay of instances with few processors, because a slow
/// leader slows down all callers.
base::Duration
SlowInstanceDelay(double aProcessors)
{
  const double shortfall =
    std::clamp(1.0 - aProcessors / kMinProcessorsWithoutDelay, 0.0, 1.0);
  return base::Duration(static_cast<base::Duration::rep>(
    shortfall * static_cast<double>(kMaxSlowInstanceDelay.count())));
}

std::string
Join(const std::vector<std::string>& aNames)
{
  std::string text;
  for (const auto& it : aNames) {
    text += (text.empty() ? "" : ",") + it;
  }
  return text;
}

} // namespace

std::string
EncodeLeaderRecord(const LeaderRecord& aRecord)
{
  return base::PackMsgpack(Fields{ aRecord.mEpoch,
                                   aRecord.mLeaderId,
                                   aRecord.mIsResigned,
                                   aRecord.mLeaseRecordsSince,
                                   aRecord.mLeasesRemainingMs,
                                   aRecord.mIdleTasksEpoch,
                                   aRecord.mSuccessors });
}

base::Result<LeaderRecord>
DecodeLeaderRecord(std::string_view aBytes)
{
  BOOST_OUTCOME_TRY(fields, base::UnpackMsgpack<Fields>(aBytes));
  auto& successors = std::get<6>(fields);
  successors.resize(std::min(successors.size(), kMaxSuccessors));
  return LeaderRecord{ std::get<0>(fields),  std::move(std::get<1>(fields)),
                       std::get<2>(fields),  std::get<3>(fields),
                       std::get<4>(fields),  std::get<5>(fields),
                       std::move(successors) };
}

Leadership::Leadership(AsyncLog& aLog,
                       const base::Clock& aClock,
                       LogStream aStream,
                       std::string aInstanceId,
                       double aProcessors)
  : mLog(aLog)
  , mClock(aClock)
  , mStream(std::move(aStream))
  , mInstanceId(std::move(aInstanceId))
  , mProcessors(aProcessors)
  , mReader(aLog,
            aClock,
            mStream,
            { [this](const LogRecord& aRecord) { OnRecord(aRecord); }, {} })
{
}

void
Leadership::SetFollowerPause(base::Duration aPause)
{
  // The running pause was planned for a follower that is not about to claim.
  if (aPause < mFollowerPause) {
    mReader.SkipPause();
  }
  mFollowerPause = aPause;
  mReader.SetPause(aPause);
}

void
Leadership::SetFollowing(bool aIsFollowing)
{
  if (aIsFollowing == !mReader.IsStopped()) {
    return;
  }
  if (aIsFollowing) {
    mReader.Resume();
  } else {
    mReader.Stop();
  }
}

void
Leadership::Tick()
{
  mReader.Tick();
  const TimePoint now = mClock.Now();
  if (mIsAppending || now < RenewalDueAt()) {
    return;
  }
  if (mOwnEpoch) {
    Append(MakeRecord(*mOwnEpoch, false));
  } else if (mResignedEpoch) {
    Append(MakeRecord(*mResignedEpoch, true));
  } else if (mMayClaim && IsClaimDue()) {
    const std::int64_t newest = mNewestRecord ? mNewestRecord->mEpoch : 0;
    Append(MakeRecord(std::max(newest, mMinEpoch) + 1, false));
  }
}

void
Leadership::Resign(const LeaderHandOver& aHandOver)
{
  mHandOver = aHandOver;
  mHasResigned = true;
  if (!mOwnEpoch) {
    return;
  }
  mResignedEpoch = mOwnEpoch;
  mOwnEpoch.reset();
  logging::Write(logging::Level::Info,
                 "leadership_resigned",
                 { { "epoch", *mResignedEpoch },
                   { "successors", Join(aHandOver.mSuccessors) } });
  mNextAppendAt = mClock.Now();
  if (!mIsAppending) {
    Append(MakeRecord(*mResignedEpoch, true));
  }
}

void
Leadership::HandOver(const LeaderHandOver& aHandOver)
{
  if (!mOwnEpoch || mIsAppending) {
    return;
  }
  const std::int64_t epoch = *mOwnEpoch;
  mHandOver = aHandOver;
  EndOwnTerm(aHandOver.mLeasesEndAt);
  logging::Write(
    logging::Level::Warning, "leadership_handed_over", { { "epoch", epoch } });
  Append(MakeRecord(epoch, true));
}

void
Leadership::StepDown()
{
  if (mOwnEpoch) {
    logging::Write(
      logging::Level::Warning, "leadership_lost", { { "epoch", *mOwnEpoch } });
  }
  EndOwnTerm(base::kNoDeadline);
  mNextAppendAt = mClock.Now() + kRetryPause;
  mReader.SkipPause();
}

base::TimePoint
Leadership::NextTickAt() const
{
  TimePoint next = mReader.NextTickAt();
  if ((mOwnEpoch || mResignedEpoch) && !mIsAppending) {
    next = std::min(next, RenewalDueAt());
  }
  // A claim that is due waits for its other conditions.
  const TimePoint claimDueAt = ClaimDueAt();
  return claimDueAt > mClock.Now() ? std::min(next, claimDueAt) : next;
}

void
Leadership::OnRecord(const LogRecord& aRecord)
{
  if (aRecord.mKey != kLeaderKey || aRecord.mValue.empty()) {
    return;
  }
  auto record = DecodeLeaderRecord(aRecord.mValue);
  if (!record) {
    logging::Write(
      logging::Level::Warning,
      "leader_record_skipped",
      { { "offset", aRecord.mOffset }, { "problem", record.error().mDetail } });
    // The record may be that of a later term, which must not be followed by a
    // resignation of the own one.
    mResignedEpoch.reset();
    return;
  }
  const LeaderRecord& leaderRecord = record.value();
  const bool isOwn = leaderRecord.mLeaderId == mInstanceId;
  if (mNewestRecord && leaderRecord.mEpoch < mNewestRecord->mEpoch) {
    return;
  }
  const bool isNewTerm =
    !mNewestRecord || leaderRecord.mEpoch > mNewestRecord->mEpoch;
  if (isNewTerm) {
    logging::Write(logging::Level::Info,
                   "leader_seen",
                   { { "epoch", leaderRecord.mEpoch },
                     { "holder", leaderRecord.mLeaderId },
                     { "offset", aRecord.mOffset } });
  }
  SetNewestRecord(leaderRecord);
  mNewestReadAt = mClock.Now();
  if (isNewTerm) {
    mEarlierLeasesEnd = PreviousLeasesEnd();
    mNewestLeasesEnd = TimePoint{};
  }
  if (!isOwn) {
    CountLeases(leaderRecord);
    if (leaderRecord.mIsResigned) {
      mResignationSeenAt = mNewestReadAt;
    }
  }
  if (mResignedEpoch && (isNewTerm || leaderRecord.mIsResigned)) {
    mResignedEpoch.reset();
  }
  if (mOwnEpoch && (!isOwn || leaderRecord.mEpoch != *mOwnEpoch)) {
    StepDown();
  }
  // A claim whose response was lost may have been stored.
  if (isOwn && isNewTerm && !mOwnEpoch && !leaderRecord.mIsResigned) {
    OnClaimStored(leaderRecord, mClaimSentAt);
  }
}

base::TimePoint
Leadership::RenewalDueAt() const
{
  // A pause after a failed renewal is kept.
  const bool isRequested = mOwnEpoch && mAnsweredSince != base::kNoDeadline &&
                           mRenewAfter != base::kNoDeadline &&
                           mRenewAfter >= mConfirmedAt;
  return isRequested
           ? std::min(mNextAppendAt,
                      std::max(mRenewAfter, mConfirmedAt + mMinRenewInterval))
           : mNextAppendAt;
}

bool
Leadership::IsClaimDue() const
{
  return mClock.Now() >= ClaimDueAt();
}

base::TimePoint
Leadership::ClaimDueAt() const
{
  if (mOwnEpoch || mHasResigned || mIsAppending || !mReader.IsLoaded() ||
      mReader.ConsecutiveFailures() > 0 ||
      mReader.NextOffset() < mLostClaimEnd) {
    return base::kNoDeadline;
  }
  base::Duration delay = ClaimDelay();
  if (mNewestRecord && !mNewestRecord->mIsResigned) {
    delay += kTakeoverTimeout +
             std::max(base::Duration::zero(), mFollowerPause - kAllowedPause);
  }
  // Time in which the stream could not be read does not count as silence.
  return std::max(mNextAppendAt,
                  std::max(mNewestReadAt, mReader.ReachableSince()) + delay);
}

base::Duration
Leadership::ClaimDelay() const
{
  const base::Duration jitter = ClaimJitter(mInstanceId, mNewestRecord);
  const base::Duration usual =
    mClaimDelay + SlowInstanceDelay(mProcessors) + jitter;
  if (!mNewestRecord || !mNewestRecord->mIsResigned) {
    return usual;
  }
  const auto& successors = mNewestRecord->mSuccessors;
  const auto found =
    std::find(successors.begin(), successors.end(), mInstanceId);
  const base::Duration turn = kSuccessorTime * (found - successors.begin());
  if (found == successors.end()) {
    return std::max(usual, turn + jitter);
  }
  const base::Duration lastTurn =
    kSuccessorTime * static_cast<std::int64_t>(successors.size() - 1);
  // Between the last named one and all others.
  return mYieldsToNamed && turn < lastTurn ? lastTurn + kSuccessorTime / 2
                                           : turn;
}

bool
Leadership::IsNamed() const
{
  // The record of a stream that is not read any more may be outdated.
  if (mReader.IsStopped() || !mNewestRecord || !mNewestRecord->mIsResigned) {
    return false;
  }
  const auto& successors = mNewestRecord->mSuccessors;
  return std::find(successors.begin(), successors.end(), mInstanceId) !=
         successors.end();
}

bool
Leadership::HasLeft(const std::string& aInstanceId) const
{
  const TimePoint now = mClock.Now();
  return std::any_of(mFormerLeaders.begin(),
                     mFormerLeaders.end(),
                     [&](const FormerLeader& aLeader) {
                       return aLeader.mId == aInstanceId &&
                              now < aLeader.mUntil;
                     });
}

bool
Leadership::IsLeaseRecordValid(std::int64_t aEpoch) const
{
  if (!mNewestRecord || aEpoch <= 0) {
    return false;
  }
  // The previous leader keeps its own records, whatever its version.
  return aEpoch == mPreviousEpoch ||
         (mNewestRecord->mLeaseRecordsSince != 0 &&
          aEpoch >= mNewestRecord->mLeaseRecordsSince);
}

void
Leadership::CountLeases(const LeaderRecord& aRecord)
{
  // Tasks that a leader started go on after its resignation.
  const TimePoint now = mClock.Now();
  mNewestLeasesEnd =
    aRecord.mIsResigned && aRecord.mLeasesRemainingMs > 0
      ? now + std::chrono::milliseconds(aRecord.mLeasesRemainingMs) * 100 /
                kMinClockPercent
      : now + kLeaderLease + kWorkerLeaseExcess;
}

LeaderRecord
Leadership::MakeRecord(std::int64_t aEpoch, bool aIsResigned) const
{
  // A claim is stored only directly after the newest record.
  const std::int64_t since =
    mNewestRecord ? mNewestRecord->mLeaseRecordsSince : 0;
  LeaderRecord record{
    aEpoch, mInstanceId, aIsResigned, since != 0 ? since : aEpoch
  };
  if (aIsResigned) {
    record.mIdleTasksEpoch = mHandOver.mIdleTasksEpoch;
    record.mSuccessors = mHandOver.mSuccessors;
  }
  if (aIsResigned && mHandOver.mLeasesEndAt != base::kNoDeadline) {
    const auto remaining =
      std::chrono::duration_cast<std::chrono::milliseconds>(
        mHandOver.mLeasesEndAt - mClock.Now());
    record.mLeasesRemainingMs =
      std::max<std::int64_t>(0, remaining.count()) + 1;
  }
  return record;
}

void
Leadership::Append(LeaderRecord aRecord)
{
  mIsAppending = true;
  mIsClaiming = !mOwnEpoch && !aRecord.mIsResigned;
  const TimePoint now = mClock.Now();
  // A later copy does not delay the lease: the first one may have been stored.
  if (!mOwnEpoch && aRecord.mEpoch != mClaimedEpoch) {
    mClaimedEpoch = aRecord.mEpoch;
    mClaimSentAt = now;
  }
  mStreamEnd = std::max(mStreamEnd, mReader.NextOffset());
  AppendRequest request;
  request.mStream = mStream;
  request.mRecords.push_back(
    { std::string(kLeaderKey), EncodeLeaderRecord(aRecord), 0 });
  request.mExpectedEnd = mStreamEnd;
  mLog.Append(request,
              now + kAppendTimeout,
              [this, record = std::move(aRecord), now](AppendResult aResult) {
                OnAppended(record, aResult, now);
              });
}

void
Leadership::OnAppended(const LeaderRecord& aRecord,
                       const AppendResult& aResult,
                       TimePoint aSentAt)
{
  mIsAppending = false;
  const TimePoint now = mClock.Now();
  if (aResult.mOutcome != LogOutcome::Done) {
    // The next read shows whether another instance leads or whether an append
    // without a response was stored.
    mAnsweredSince = base::kNoDeadline;
    mNextAppendAt = now + kRetryPause;
    const bool isLostClaim = mIsClaiming && !mOwnEpoch &&
                             aResult.mOutcome == LogOutcome::EndMoved &&
                             aResult.mEnd > mStreamEnd;
    if (isLostClaim) {
      logging::Write(logging::Level::Info,
                     "leadership_claim_refused",
                     { { "epoch", aRecord.mEpoch }, { "end", aResult.mEnd } });
      // Nothing was stored, and the records that moved the end decide when the
      // next claim is due. A pause would leave it to instances with fewer
      // processors if the winner resigns at once.
      mLostClaimEnd = aResult.mEnd;
      mNextAppendAt = now;
    }
    mReader.SkipPause();
    return;
  }
  mStreamEnd = aResult.mEnd;
  mAnsweredSince = std::min(mAnsweredSince, now);
  mNextAppendAt = mResignedEpoch ? now : now + kRenewInterval;
  if (aRecord.mIsResigned) {
    mResignedEpoch.reset();
    return;
  }
  if (mOwnEpoch == aRecord.mEpoch) {
    mConfirmedAt = aSentAt;
    return;
  }
  // A renewal of a term that has ended since is no claim.
  const bool isClaim = !mNewestRecord || aRecord.mEpoch > mNewestRecord->mEpoch;
  if (isClaim) {
    OnClaimStored(aRecord, aSentAt);
  }
}

void
Leadership::OnClaimStored(const LeaderRecord& aRecord, TimePoint aClaimedAt)
{
  if (!mHasResigned) {
    BecomeLeader(aRecord, aClaimedAt);
    return;
  }
  // The others would take this instance for the leader until it has been silent
  // for long. It has granted nothing, so what it has found still holds.
  logging::Write(logging::Level::Info,
                 "leadership_resigned",
                 { { "epoch", aRecord.mEpoch },
                   { "successors", Join(mHandOver.mSuccessors) } });
  SetNewestRecord(aRecord);
  mHandOver.mLeasesEndAt = PreviousLeasesEnd();
  mHandOver.mIdleTasksEpoch = mInheritedIdleTasksEpoch;
  mResignedEpoch = aRecord.mEpoch;
  mNextAppendAt = mClock.Now();
}

void
Leadership::EndOwnTerm(base::TimePoint aLeasesEndAt)
{
  if (mOwnEpoch) {
    // A bound that is known may be later than the usual one: a worker that has
    // restarted counts the longest lease that it accepts.
    mEarlierLeasesEnd =
      std::max(mEarlierLeasesEnd,
               aLeasesEndAt != base::kNoDeadline
                 ? aLeasesEndAt
                 : mConfirmedAt + kLeaderLease + kWorkerLeaseExcess);
  }
  mOwnEpoch.reset();
}

void
Leadership::SetHasLeft(const std::string& aInstanceId, bool aHasLeft)
{
  mFormerLeaders.erase(std::remove_if(mFormerLeaders.begin(),
                                      mFormerLeaders.end(),
                                      [&](const FormerLeader& aLeader) {
                                        return aLeader.mId == aInstanceId;
                                      }),
                       mFormerLeaders.end());
  if (aHasLeft) {
    mFormerLeaders.push_back({ aInstanceId, mClock.Now() + kFormerLeaderTime });
  }
  if (mFormerLeaders.size() > kMaxFormerLeaders) {
    mFormerLeaders.pop_front();
  }
}

void
Leadership::SetNewestRecord(const LeaderRecord& aRecord)
{
  if (mNewestRecord && mNewestRecord->mLeaderId != aRecord.mLeaderId) {
    SetHasLeft(mNewestRecord->mLeaderId, true);
  }
  SetHasLeft(aRecord.mLeaderId, aRecord.mIsResigned);
  if (mNewestRecord && aRecord.mEpoch > mNewestRecord->mEpoch) {
    mPreviousEpoch = mNewestRecord->mEpoch;
    mInheritedIdleTasksEpoch =
      mNewestRecord->mIsResigned ? mNewestRecord->mIdleTasksEpoch : 0;
  }
  mNewestRecord = aRecord;
}

void
Leadership::BecomeLeader(const LeaderRecord& aRecord, TimePoint aClaimedAt)
{
  mOwnEpoch = aRecord.mEpoch;
  mConfirmedAt = aClaimedAt;
  mRenewAfter = base::kNoDeadline;
  SetNewestRecord(aRecord);
  mNewestReadAt = mClock.Now();
  mNextAppendAt = mNewestReadAt + kRenewInterval;
  logging::Write(logging::Level::Info,
                 "leadership_claimed",
                 { { "epoch", aRecord.mEpoch } });
}

} // namespace skylarkhill::node
