#include "skylarkhill/node/leadership.hpp"

#include "skylarkhill/base/hash.hpp"
#include "skylarkhill/logging/logging.hpp"

#include <msgpack.hpp>

#include <algorithm>
#include <exception>
#include <tuple>
#include <utility>

namespace skylarkhill::node {

using base::TimePoint;

namespace {

constexpr std::string_view kLeaderKey = "leader";

/// Pause between two records of a leader.
constexpr base::Duration kRenewInterval = std::chrono::milliseconds(800);
/// Two renewals may be late or lost before others take over.
constexpr base::Duration kSilence = std::chrono::milliseconds(2200);
/// Candidates spread their claims over this time.
constexpr base::Duration kMaxClaimDelay = std::chrono::milliseconds(200);
/// Share of a processor from which on a node claims without a handicap; the
/// strongest instances of the sites have one half.
constexpr double kStrongShare = 0.5;
constexpr base::Duration kMaxHandicap = std::chrono::milliseconds(500);
/// Pause of a node that lost a claim or was fenced off.
constexpr base::Duration kRetryPause = std::chrono::milliseconds(250);
constexpr base::Duration kFollowerPause = std::chrono::milliseconds(300);
constexpr base::Duration kAppendTimeout = std::chrono::milliseconds(1500);

using Fields = std::tuple<std::int64_t, std::string, bool>;

/// How long a candidate lets others go first. Nodes of different strength do
/// not meet, because a leader on a weak node is slow for all callers.
base::Duration
ClaimDelay(const std::string& aHolder,
           std::int64_t aEpoch,
           double aProcessorShare)
{
  const auto hash =
    base::StableHash(aHolder, static_cast<std::uint64_t>(aEpoch));
  const double weakness =
    std::clamp(1.0 - aProcessorShare / kStrongShare, 0.0, 1.0);
  const auto handicap = base::Duration(static_cast<base::Duration::rep>(
    weakness * static_cast<double>(kMaxHandicap.count())));
  return handicap +
         base::Duration(static_cast<base::Duration::rep>(
           hash % static_cast<std::uint64_t>(kMaxClaimDelay.count())));
}

} // namespace

std::string
EncodeLeaderRecord(const LeaderRecord& aRecord)
{
  msgpack::sbuffer buf;
  msgpack::pack(buf,
                Fields{ aRecord.mEpoch, aRecord.mHolder, aRecord.mIsResigned });
  return { buf.data(), buf.size() };
}

base::Result<LeaderRecord>
DecodeLeaderRecord(std::string_view aBytes)
{
  try {
    const auto handle = msgpack::unpack(aBytes.data(), aBytes.size());
    auto fields = handle.get().as<Fields>();
    return LeaderRecord{ std::get<0>(fields),
                         std::move(std::get<1>(fields)),
                         std::get<2>(fields) };
  } catch (const std::exception& e) {
    return base::MakeError(base::ErrorKind::InvalidArgument, e.what());
  }
}

Leadership::Leadership(SharedLog& aLog,
                       const base::Clock& aClock,
                       LogStream aStream,
                       std::string aHolder,
                       double aProcessorShare)
  : mLog(aLog)
  , mClock(aClock)
  , mStream(std::move(aStream))
  , mHolder(std::move(aHolder))
  , mProcessorShare(aProcessorShare)
  , mTail(aLog,
          aClock,
          mStream,
          { [this](const LogRecord& aRecord) { OnRecord(aRecord); }, {} })
{
  mTail.SetPause(kFollowerPause);
}

void
Leadership::Poll()
{
  mTail.Poll();
  const TimePoint now = mClock.Now();
  if (mIsAppending || now < mNextAppendAt) {
    return;
  }
  if (mLedEpoch) {
    Append({ *mLedEpoch, mHolder, false });
  } else if (!mIsRetired && IsClaimDue(now)) {
    Append({ (mNewest ? mNewest->mEpoch : 0) + 1, mHolder, false });
  }
}

void
Leadership::Resign()
{
  mIsRetired = true;
  if (!mLedEpoch) {
    return;
  }
  const std::int64_t epoch = *mLedEpoch;
  mLedEpoch.reset();
  logging::Write(
    logging::Level::Info, "leadership_resigned", { { "epoch", epoch } });
  Append({ epoch, mHolder, true });
}

void
Leadership::StepDown()
{
  if (mLedEpoch) {
    logging::Write(
      logging::Level::Warning, "leadership_lost", { { "epoch", *mLedEpoch } });
  }
  mLedEpoch.reset();
  mNextAppendAt = mClock.Now() + kRetryPause;
  mTail.Hurry();
}

base::TimePoint
Leadership::NextPollAt() const
{
  TimePoint next = mTail.NextPollAt();
  if (mLedEpoch && !mIsAppending) {
    next = std::min(next, mNextAppendAt);
  }
  return next;
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
    return;
  }
  const LeaderRecord& newest = record.value();
  const bool isOurs = newest.mHolder == mHolder;
  if (mNewest && newest.mEpoch < mNewest->mEpoch) {
    return;
  }
  const bool isNewTerm = !mNewest || newest.mEpoch > mNewest->mEpoch;
  if (isNewTerm) {
    logging::Write(logging::Level::Info,
                   "leader_seen",
                   { { "epoch", newest.mEpoch },
                     { "holder", newest.mHolder },
                     { "offset", aRecord.mOffset } });
  }
  mNewest = newest;
  mNewestAt = mClock.Now();
  if (mLedEpoch && (!isOurs || newest.mEpoch != *mLedEpoch)) {
    StepDown();
  }
  // What a leader has started goes on after its resignation.
  if (!isOurs) {
    mEarlierAuthorityEnd = mNewestAt + kAuthority;
  }
  // A claim without an answer may have taken effect late.
  if (isOurs && isNewTerm && !mLedEpoch && !newest.mIsResigned && !mIsRetired) {
    BecomeLeader(newest.mEpoch, mClaimSentAt);
  }
}

bool
Leadership::IsClaimDue(TimePoint aNow) const
{
  if (!mTail.IsLoaded() || mTail.Failures() > 0) {
    return false;
  }
  const base::Duration delay =
    ClaimDelay(mHolder, mNewest ? mNewest->mEpoch : 0, mProcessorShare);
  if (!mNewest || mNewest->mIsResigned) {
    return aNow >= std::max(mNewestAt, mTail.SteadySince()) + delay;
  }
  // Silence counts only while the stream could be read.
  return aNow >= std::max(mNewestAt, mTail.SteadySince()) + kSilence + delay;
}

void
Leadership::Append(LeaderRecord aRecord)
{
  mIsAppending = true;
  const TimePoint now = mClock.Now();
  if (!mLedEpoch) {
    mClaimSentAt = now;
  }
  mEnd = std::max(mEnd, mTail.Next());
  AppendRequest request;
  request.mStream = mStream;
  request.mRecords.push_back(
    { std::string(kLeaderKey), EncodeLeaderRecord(aRecord), 0 });
  request.mExpectedEnd = mEnd;
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
    // The tail tells whether another node leads or an append without an
    // answer took effect.
    mNextAppendAt = now + kRetryPause;
    mTail.Hurry();
    return;
  }
  mEnd = aResult.mEnd;
  mNextAppendAt = now + kRenewInterval;
  if (aRecord.mIsResigned) {
    return;
  }
  if (mLedEpoch) {
    mConfirmedAt = aSentAt;
    return;
  }
  if (!mIsRetired) {
    BecomeLeader(aRecord.mEpoch, aSentAt);
  }
}

void
Leadership::BecomeLeader(std::int64_t aEpoch, TimePoint aClaimedAt)
{
  mLedEpoch = aEpoch;
  mConfirmedAt = aClaimedAt;
  mNewest = LeaderRecord{ aEpoch, mHolder, false };
  mNewestAt = mClock.Now();
  mNextAppendAt = mNewestAt + kRenewInterval;
  logging::Write(
    logging::Level::Info, "leadership_claimed", { { "epoch", aEpoch } });
}

} // namespace skylarkhill::node
