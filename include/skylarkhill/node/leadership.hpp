#ifndef SKYLARKHILL_NODE_LEADERSHIP_HPP
#define SKYLARKHILL_NODE_LEADERSHIP_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/error.hpp"
#include "skylarkhill/node/log_stream_reader.hpp"
#include "skylarkhill/node/shared_log.hpp"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkhill::node {

/// A record of the leader stream.
struct LeaderRecord
{
  /// Term number, higher with each claim; the fencing token of the leader.
  std::int64_t mEpoch = 0;
  /// NodeOptions::mInstanceId of the leader.
  std::string mLeaderId;
  /// The leader gives up the leadership.
  bool mIsResigned = false;
  /// Lowest epoch from which on every leader has kept the rule of
  /// WorkerLeaseRecord; 0 if the version of this leader does not know it.
  std::int64_t mLeaseRecordsSince = 0;
  /// Of a resignation: upper bound of the time until the end of all worker
  /// leases that this leader or earlier ones have granted; 0: not known.
  std::int64_t mLeasesRemainingMs = 0;
  /// Of a resignation: epoch of the jobs::IdleTasks that hold; 0: none.
  std::int64_t mIdleTasksEpoch = 0;
  /// Of a resignation: ids of the instances that should claim next, in this
  /// order.
  std::vector<std::string> mSuccessors{};
};

/// What a leader that resigns tells its successor.
struct LeaderHandOver
{
  /// No worker lease ends later; kNoDeadline if that is not known.
  base::TimePoint mLeasesEndAt = base::kNoDeadline;
  /// See LeaderRecord.
  std::int64_t mIdleTasksEpoch = 0;
  std::vector<std::string> mSuccessors{};
};

std::string
EncodeLeaderRecord(const LeaderRecord& aRecord);

/// InvalidArgument if the bytes are not those of EncodeLeaderRecord.
base::Result<LeaderRecord>
DecodeLeaderRecord(std::string_view aBytes);

/// A leader grants no worker lease that ends later than this after it sent its
/// last confirmed record. A successor waits this long for workers that it
/// cannot reach.
inline constexpr base::Duration kLeaderLease = std::chrono::seconds(9);
/// Rate of the slowest clock of an instance, in percent. Remaining times that
/// another instance has stored are stretched by it.
inline constexpr int kMinClockPercent = 98;

/// Leader election by conditional appends to a stream that only leaders and
/// candidates write to. Instances with more processors claim earlier.
/// Not thread-safe: used on the call loop's thread only.
class Leadership
{
public:
  Leadership(AsyncLog& aLog,
             const base::Clock& aClock,
             LogStream aStream,
             std::string aInstanceId,
             double aProcessors);

  /// Starts the reads, claims and renewals that are due.
  void Tick();
  /// Gives up the leadership, if held, and never claims it again. Tick repeats
  /// the resignation until it is stored or another instance leads.
  void Resign(const LeaderHandOver& aHandOver = {});
  /// Gives up the leadership, but stays a candidate. No effect while an append
  /// is in progress.
  void HandOver(const LeaderHandOver& aHandOver = {});
  /// Renews the leadership as soon as `aTime` has passed, instead of at the end
  /// of the usual interval, unless it was confirmed after that time.
  /// kNoDeadline for no such time. Holds for the own term only.
  void RenewAfter(base::TimePoint aTime) { mRenewAfter = aTime; }
  /// If false, this instance claims no leadership.
  void SetMayClaim(bool aMayClaim) { mMayClaim = aMayClaim; }
  /// No claim uses this epoch or a lower one.
  void SetMinEpoch(std::int64_t aEpoch) { mMinEpoch = aEpoch; }
  /// Additional time that this candidate leaves to others before it claims.
  /// If a resignation names this instance, the delay does not count, but with
  /// `aYields` the others that it names claim first.
  void SetClaimDelay(base::Duration aDelay, bool aYields = false)
  {
    mClaimDelay = aDelay;
    mYieldsToNamed = aYields;
  }
  /// Pause after a read that delivered records; none by default. A candidate
  /// sees a resignation up to this much later.
  void SetFollowerPause(base::Duration aPause);
  /// Minimum time between two renewals that RenewAfter requests.
  void SetMinRenewInterval(base::Duration aInterval)
  {
    mMinRenewInterval = aInterval;
  }
  /// Pause after a failed read of the stream.
  void SetRetryPause(base::Duration aPause) { mReader.SetRetryPause(aPause); }
  /// See LogStreamReader.
  void SetMaxRateLimitPause(base::Duration aPause)
  {
    mReader.SetMaxRateLimitPause(aPause);
  }
  void SetRetrySeed(std::uint64_t aSeed) { mReader.SetRetrySeed(aSeed); }
  /// An instance that does not follow the stream reads no records and claims no
  /// leadership. Must not be stopped while this instance leads.
  void SetFollowing(bool aIsFollowing);
  /// Stops leading because another instance may have taken over; stays a
  /// candidate.
  void StepDown();

  /// True if the leader is missing and it is this candidate's turn to claim,
  /// whether or not it may.
  bool IsClaimDue() const;
  /// When this instance last read the resignation of another one; empty if it
  /// has read none.
  std::optional<base::TimePoint> ResignationSeenAt() const
  {
    return mResignationSeenAt;
  }
  /// True if the newest record is a resignation that names this instance.
  bool IsNamed() const;
  /// True once a claim of this instance is confirmed.
  bool IsLeader() const { return mOwnEpoch.has_value(); }
  /// True while a claim, a renewal or a resignation awaits its response.
  bool IsAppending() const { return mIsAppending; }
  /// True while a claim awaits its response.
  bool IsClaiming() const { return mIsAppending && mIsClaiming; }
  /// Epoch of the term that this instance leads; 0 if it does not lead.
  std::int64_t Epoch() const { return mOwnEpoch.value_or(0); }
  /// When this leader sent its last confirmed record; no other instance took
  /// over before that time.
  base::TimePoint ConfirmedAt() const { return mConfirmedAt; }
  /// When the first renewal after the last failed one was confirmed: the log
  /// has answered all renewals since. kNoDeadline while renewals fail.
  base::TimePoint AnsweredSince() const { return mAnsweredSince; }
  /// Latest time at which a worker lease ends that a leader of a previous term
  /// has granted, this instance included. Also the end of the leader lease of
  /// that term, unless a resignation states an earlier one.
  base::TimePoint PreviousLeasesEnd() const
  {
    return std::max(mEarlierLeasesEnd, mNewestLeasesEnd);
  }
  /// Epoch of the jobs::IdleTasks that hold at the beginning of the term of the
  /// newest record; 0: none.
  std::int64_t InheritedIdleTasksEpoch() const
  {
    return mInheritedIdleTasksEpoch;
  }
  /// True if no leader has extended a lease whose WorkerLeaseRecord of the
  /// given epoch is still stored.
  bool IsLeaseRecordValid(std::int64_t aEpoch) const;
  base::TimePoint NextTickAt() const;
  /// True if the instance has resigned a short time ago, or was silent until
  /// another one took over, and has not claimed this stream since.
  bool HasLeft(const std::string& aInstanceId) const;
  /// The newest record of the stream; empty if there is none.
  const std::optional<LeaderRecord>& NewestRecord() const
  {
    return mNewestRecord;
  }

private:
  struct FormerLeader
  {
    std::string mId;
    /// Until when HasLeft holds.
    base::TimePoint mUntil;
  };

  /// When the next record of the own term is due.
  base::TimePoint RenewalDueAt() const;
  /// When this candidate's turn to claim comes if no other record is read;
  /// kNoDeadline if this instance is no candidate now.
  base::TimePoint ClaimDueAt() const;
  void OnRecord(const LogRecord& aRecord);
  /// Time that this candidate leaves to others after the newest record.
  base::Duration ClaimDelay() const;
  /// The record of the own term, or of a claim.
  LeaderRecord MakeRecord(std::int64_t aEpoch, bool aIsResigned) const;
  void Append(LeaderRecord aRecord);
  void OnAppended(const LeaderRecord& aRecord,
                  const AppendResult& aResult,
                  base::TimePoint aSentAt);
  /// Updates the ends of leases for a record of another instance, read now.
  void CountLeases(const LeaderRecord& aRecord);
  /// Ends the own term, whose leases count from then on as those of a previous
  /// leader. `aLeasesEndAt` as in LeaderHandOver.
  void EndOwnTerm(base::TimePoint aLeasesEndAt);
  /// Becomes the leader, or resigns at once if the process is to stop.
  void OnClaimStored(const LeaderRecord& aRecord, base::TimePoint aClaimedAt);
  void BecomeLeader(const LeaderRecord& aRecord, base::TimePoint aClaimedAt);
  void SetNewestRecord(const LeaderRecord& aRecord);
  void SetHasLeft(const std::string& aInstanceId, bool aHasLeft);

  AsyncLog& mLog;
  const base::Clock& mClock;
  const LogStream mStream;
  const std::string mInstanceId;
  const double mProcessors;
  LogStreamReader mReader;
  std::optional<LeaderRecord> mNewestRecord;
  base::TimePoint mNewestReadAt;
  std::optional<base::TimePoint> mResignationSeenAt;
  /// Epoch of the last claim of this instance; 0 if there is none.
  std::int64_t mClaimedEpoch = 0;
  /// When the first copy of that claim was sent.
  base::TimePoint mClaimSentAt;
  std::optional<std::int64_t> mOwnEpoch;
  /// Epoch of the own term whose resignation is not known to be stored.
  std::optional<std::int64_t> mResignedEpoch;
  /// Epoch of the newest record before that of mNewestRecord.
  std::int64_t mPreviousEpoch = 0;
  std::int64_t mInheritedIdleTasksEpoch = 0;
  std::int64_t mStreamEnd = 0;
  /// End of the stream when the log refused the last lost claim. The next one
  /// comes after a read up to there.
  std::int64_t mLostClaimEnd = 0;
  bool mIsAppending = false;
  /// The append in flight, or the last one, is a claim.
  bool mIsClaiming = false;
  bool mHasResigned = false;
  bool mMayClaim = true;
  std::int64_t mMinEpoch = 0;
  base::Duration mClaimDelay{ 0 };
  bool mYieldsToNamed = false;
  base::Duration mFollowerPause{ 0 };
  base::Duration mMinRenewInterval{ 0 };
  base::TimePoint mNextAppendAt;
  base::TimePoint mConfirmedAt;
  base::TimePoint mRenewAfter = base::kNoDeadline;
  base::TimePoint mAnsweredSince = base::kNoDeadline;
  /// When the leases of the terms before that of mNewestRecord end.
  base::TimePoint mEarlierLeasesEnd;
  /// The same for the term of mNewestRecord, if another instance led it.
  base::TimePoint mNewestLeasesEnd;
  /// Argument of the last Resign or HandOver.
  LeaderHandOver mHandOver;
  /// The last leaders that have left, the newest at the back.
  std::deque<FormerLeader> mFormerLeaders;
};

} // namespace skylarkhill::node

#endif // SKYLARKHILL_NODE_LEADERSHIP_HPP
