#include "skylarkhill/node/instance_directory.hpp"

#include "skylarkhill/base/hash.hpp"
#include "skylarkhill/base/msgpack.hpp"
#include "skylarkhill/logging/logging.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iterator>
#include <tuple>
#include <utility>

namespace skylarkhill::node {

using base::Duration;
using base::TimePoint;

namespace {

/// Later versions may append fields, which this one ignores. The entries of
/// former ones lack the last two.
using Fields = std::tuple<std::string,
                          std::string,
                          std::string,
                          double,
                          std::string,
                          std::int64_t>;

/// Maximum bytes of a domain, address or id; that of a name is the key's.
constexpr std::size_t kMaxTextBytes = 255;
constexpr double kMaxProcessors = 4096.0;

constexpr Duration kDefaultInterval = std::chrono::seconds(5);
constexpr Duration kAppendTimeout = std::chrono::milliseconds(1500);
/// Pause after the first failure; doubled after each further one, up to the
/// interval.
constexpr Duration kRetryPause = std::chrono::milliseconds(250);
/// Longest pause between failed reads while one is awaited, unless the log's
/// rate is exhausted: an instance that has started follows no cell before.
constexpr Duration kMaxAwaitedPause = std::chrono::seconds(1);
/// Failures after which the pause no longer doubles.
constexpr std::int64_t kMaxDoublings = 16;
/// Part of a pause by which it may be shorter.
constexpr double kIntervalSpread = 0.25;
constexpr double kRetrySpread = 0.5;

/// Silence after which an instance is gone.
constexpr Duration
GoneAfter(Duration aInterval)
{
  return aInterval * 5 / 2;
}

/// Silence after which the record of an instance is deleted.
constexpr Duration
DeletedAfter(Duration aInterval)
{
  return aInterval * 10;
}

/// Longest time between two successful reads that counts as silence. Allows for
/// a refused read; over a longer time the writers may not have reached the log
/// either.
constexpr Duration
MaxCountedGap(Duration aInterval)
{
  return aInterval * 3 / 2;
}

/// Time since the last own announcement was stored after which silence of
/// others does not count: they may not be able to write either.
constexpr Duration
MaxOwnSilence(Duration aInterval)
{
  return aInterval * 5 / 4;
}

constexpr std::size_t kMaxDeletionsPerRead = 4;

base::Error
Malformed(const char* aProblem)
{
  return base::MakeError(base::ErrorKind::InvalidArgument, aProblem);
}

/// The entry of a record, whose key must be its name.
base::Result<InstanceEntry>
DecodeRecord(const LogRecord& aRecord)
{
  BOOST_OUTCOME_TRY(entry, DecodeInstanceEntry(aRecord.mValue));
  if (entry.mName != aRecord.mKey) {
    return Malformed("the name of the instance differs from the key");
  }
  return std::move(entry);
}

} // namespace

bool
operator==(const InstanceEntry& aLeft, const InstanceEntry& aRight)
{
  return aLeft.mName == aRight.mName && aLeft.mDomain == aRight.mDomain &&
         aLeft.mAddress == aRight.mAddress &&
         aLeft.mProcessors == aRight.mProcessors &&
         aLeft.mInstanceId == aRight.mInstanceId &&
         aLeft.mStartedMs == aRight.mStartedMs;
}

std::string
EncodeInstanceEntry(const InstanceEntry& aEntry)
{
  return base::PackMsgpack(Fields{ aEntry.mName,
                                   aEntry.mDomain,
                                   aEntry.mAddress,
                                   aEntry.mProcessors,
                                   aEntry.mInstanceId,
                                   aEntry.mStartedMs });
}

base::Result<InstanceEntry>
DecodeInstanceEntry(std::string_view aBytes)
{
  BOOST_OUTCOME_TRY(fields, base::UnpackMsgpack<Fields>(aBytes));
  InstanceEntry entry{
    std::move(std::get<0>(fields)), std::move(std::get<1>(fields)),
    std::move(std::get<2>(fields)), std::get<3>(fields),
    std::move(std::get<4>(fields)), std::get<5>(fields)
  };
  if (entry.mName.empty()) {
    return Malformed("empty name of an instance");
  }
  if (entry.mName.size() > kMaxKeyBytes ||
      entry.mDomain.size() > kMaxTextBytes ||
      entry.mAddress.size() > kMaxTextBytes ||
      entry.mInstanceId.size() > kMaxTextBytes) {
    return Malformed(
      "name, domain, address or id of an instance above 255 bytes");
  }
  if (!std::isfinite(entry.mProcessors) || entry.mProcessors < 0.0 ||
      entry.mProcessors > kMaxProcessors) {
    return Malformed("processors of an instance outside 0 to 4096");
  }
  return entry;
}

InstanceDirectory::InstanceDirectory(AsyncLog& aLog,
                                     const base::Clock& aClock,
                                     LogStream aStream,
                                     InstanceEntry aOwnEntry)
  : mLog(aLog)
  , mClock(aClock)
  , mStream(std::move(aStream))
  , mOwnEntry(std::move(aOwnEntry))
  , mInterval(kDefaultInterval)
  , mInstances{ { mOwnEntry.mName, mOwnEntry } }
{
}

void
InstanceDirectory::Tick()
{
  const TimePoint now = mClock.Now();
  if (!mIsAnnouncing && now >= mNextAnnouncementAt) {
    Announce();
  }
  if (!mIsReading && now >= mNextReadAt) {
    Read();
  }
}

base::TimePoint
InstanceDirectory::NextTickAt() const
{
  return std::min(mIsAnnouncing ? base::kNoDeadline : mNextAnnouncementAt,
                  mIsReading ? base::kNoDeadline : mNextReadAt);
}

void
InstanceDirectory::SetInterval(Duration aInterval)
{
  mInterval = std::max(aInterval, kRetryPause);
  const TimePoint latest = mClock.Now() + mInterval;
  mNextAnnouncementAt = std::min(mNextAnnouncementAt, latest);
  mNextReadAt = std::min(mNextReadAt, latest);
}

void
InstanceDirectory::SetInstanceId(std::string aInstanceId)
{
  mOwnEntry.mInstanceId = std::move(aInstanceId);
  mHasEntryChanged = true;
  if (!mIsAnnouncing && mFailedAnnouncements == 0) {
    mNextAnnouncementAt = TimePoint{};
  }
}

void
InstanceDirectory::Refresh()
{
  mIsReadAwaited = true;
  if (mIsReading) {
    mIsRefreshWanted = true;
  } else if (mFailedReads == 0) {
    mNextReadAt = TimePoint{};
  }
}

void
InstanceDirectory::Announce()
{
  mIsAnnouncing = true;
  mHasEntryChanged = false;
  const TimePoint now = mClock.Now();
  AppendRequest request;
  request.mStream = mStream;
  request.mRecords.push_back(
    { mOwnEntry.mName, EncodeInstanceEntry(mOwnEntry), 0 });
  mLog.Append(
    request, now + kAppendTimeout, [this, now](const AppendResult& aResult) {
      OnAnnounced(aResult, now);
    });
}

void
InstanceDirectory::OnAnnounced(const AppendResult& aResult, TimePoint aSentAt)
{
  mIsAnnouncing = false;
  if (aResult.mOutcome != LogOutcome::Done) {
    if (++mFailedAnnouncements == 1) {
      logging::Write(logging::Level::Warning,
                     "announcement_failed",
                     { { "stream", mStream.mTopic },
                       { "outcome", NameOf(aResult.mOutcome) },
                       { "status", aResult.mStatus } });
    }
    mNextAnnouncementAt = mClock.Now() + RetryPause(mFailedAnnouncements);
    return;
  }
  if (mFailedAnnouncements > 0) {
    logging::Write(logging::Level::Info,
                   "announcement_stored",
                   { { "stream", mStream.mTopic },
                     { "failed_appends", mFailedAnnouncements } });
  }
  mFailedAnnouncements = 0;
  const TimePoint now = mClock.Now();
  if (now - mStoredAt > MaxOwnSilence(mInterval)) {
    RestartSilences();
  }
  mStoredAt = now;
  mNextAnnouncementAt =
    mHasEntryChanged ? now : aSentAt + Spread(mInterval, kIntervalSpread);
}

void
InstanceDirectory::Read()
{
  mIsReading = true;
  mIsRefreshWanted = false;
  const TimePoint now = mClock.Now();
  mLog.ReadNewest(
    mStream, [this, now](const ReadResult& aResult) { OnRead(aResult, now); });
}

void
InstanceDirectory::OnRead(const ReadResult& aResult, TimePoint aSentAt)
{
  mIsReading = false;
  const TimePoint now = mClock.Now();
  mIsRateLimited = aResult.mIsRateLimited;
  if (aResult.mOutcome != LogOutcome::Done) {
    if (++mFailedReads == 1) {
      logging::Write(logging::Level::Warning,
                     "stream_unreachable",
                     { { "stream", mStream.mTopic },
                       { "outcome", NameOf(aResult.mOutcome) } });
    }
    const Duration pause = RetryPause(mFailedReads);
    mNextReadAt = now + (mIsReadAwaited && !mIsRateLimited
                           ? std::min(pause, kMaxAwaitedPause)
                           : pause);
    return;
  }
  if (mFailedReads > 0) {
    logging::Write(
      logging::Level::Info,
      "stream_reachable",
      { { "stream", mStream.mTopic }, { "failed_reads", mFailedReads } });
  }
  mFailedReads = 0;
  mNextReadAt =
    mIsRefreshWanted ? now : aSentAt + Spread(mInterval, kIntervalSpread);
  if (mIsLoaded && now - mLastReadAt <= MaxCountedGap(mInterval) &&
      now - mStoredAt <= MaxOwnSilence(mInterval)) {
    mReadableTime += now - mLastReadAt;
  }
  mIsLoaded = true;
  mIsReadAwaited = false;
  mLastReadAt = now;
  mReadSentAt = aSentAt;
  for (auto& [key, announcement] : mAnnouncements) {
    announcement.mIsInStream = false;
  }
  for (const auto& it : aResult.mRecords) {
    OnRecord(it);
  }
  UpdateInstances();
  RemoveOldAnnouncements();
}

void
InstanceDirectory::OnRecord(const LogRecord& aRecord)
{
  // An instance whose record was deleted stays until its silence is long
  // enough: its next announcement may have crossed the deletion.
  if (aRecord.mValue.empty() || aRecord.mKey == mOwnEntry.mName) {
    return;
  }
  Announcement& announcement = mAnnouncements[aRecord.mKey];
  announcement.mIsInStream = true;
  if (announcement.mOffset == aRecord.mOffset) {
    return;
  }
  announcement.mOffset = aRecord.mOffset;
  announcement.mSeenAt = mReadableTime;
  announcement.mEntry.reset();
  auto entry = DecodeRecord(aRecord);
  if (entry) {
    announcement.mEntry = std::move(entry.value());
    return;
  }
  logging::Write(logging::Level::Warning,
                 "instance_entry_skipped",
                 { { "key", aRecord.mKey },
                   { "offset", aRecord.mOffset },
                   { "problem", entry.error().mDetail } });
}

base::Duration
InstanceDirectory::SilenceOf(const Announcement& aAnnouncement) const
{
  return mReadableTime - aAnnouncement.mSeenAt;
}

void
InstanceDirectory::RestartSilences()
{
  for (auto& [key, announcement] : mAnnouncements) {
    if (SilenceOf(announcement) < GoneAfter(mInterval)) {
      announcement.mSeenAt = mReadableTime;
    }
  }
}

void
InstanceDirectory::UpdateInstances()
{
  std::map<std::string, InstanceEntry> instances;
  for (const auto& [key, announcement] : mAnnouncements) {
    if (announcement.mEntry && SilenceOf(announcement) < GoneAfter(mInterval)) {
      instances.emplace(key, *announcement.mEntry);
    }
  }
  instances.emplace(mOwnEntry.mName, mOwnEntry);
  if (instances == mInstances) {
    return;
  }
  mInstances = std::move(instances);
  ++mVersion;
  logging::Write(
    logging::Level::Info,
    "instances_changed",
    { { "instances", static_cast<std::int64_t>(mInstances.size()) },
      { "version", mVersion } });
}

void
InstanceDirectory::RemoveOldAnnouncements()
{
  std::vector<LogRecord> deletions;
  for (auto it = mAnnouncements.begin(); it != mAnnouncements.end();) {
    auto& [key, announcement] = *it;
    const Duration silence = SilenceOf(announcement);
    if (silence < DeletedAfter(mInterval)) {
      ++it;
      continue;
    }
    if (!announcement.mIsInStream) {
      it = mAnnouncements.erase(it);
      continue;
    }
    // Without its offset, the next read would take the record for a new one.
    announcement.mEntry.reset();
    // The log may refuse an empty key, and with it the whole append.
    if (!key.empty() && deletions.size() < kMaxDeletionsPerRead &&
        MayDelete(key, silence)) {
      deletions.push_back({ key, {}, 0 });
    }
    ++it;
  }
  if (!deletions.empty() && !mIsDeleting) {
    Delete(std::move(deletions));
  }
}

bool
InstanceDirectory::MayDelete(const std::string& aKey, Duration aSilence) const
{
  // The turn passes on, because an instance may be unable to write.
  const auto turn = static_cast<std::uint64_t>(aSilence / GoneAfter(mInterval));
  const auto position = static_cast<std::uint64_t>(
    std::distance(mInstances.begin(), mInstances.find(mOwnEntry.mName)));
  return base::StableHash(aKey, turn) % mInstances.size() == position;
}

void
InstanceDirectory::Delete(std::vector<LogRecord> aDeletions)
{
  mIsDeleting = true;
  AppendRequest request;
  request.mStream = mStream;
  request.mRecords = std::move(aDeletions);
  const auto n = static_cast<std::int64_t>(request.mRecords.size());
  // Not conditional on the end of the stream, which moves with each
  // announcement. An instance that has returned since announces itself again.
  mLog.Append(request,
              mClock.Now() + kAppendTimeout,
              [this, n](const AppendResult& aResult) {
                mIsDeleting = false;
                logging::Write(logging::Level::Info,
                               "instance_entries_deleted",
                               { { "entries", n },
                                 { "outcome", NameOf(aResult.mOutcome) } });
              });
}

base::Duration
InstanceDirectory::Spread(Duration aPause, double aShare)
{
  constexpr std::uint64_t kScale = 1'000'000;
  const std::uint64_t hash = base::StableHash(mOwnEntry.mName, ++mCallCount);
  const double part =
    static_cast<double>(hash % kScale) / static_cast<double>(kScale);
  return Duration(static_cast<Duration::rep>(
    static_cast<double>(aPause.count()) * (1.0 - aShare * part)));
}

base::Duration
InstanceDirectory::RetryPause(std::int64_t aFailures)
{
  const std::int64_t doublings = std::min(aFailures - 1, kMaxDoublings);
  return Spread(
    std::min(kRetryPause * (std::int64_t{ 1 } << doublings), mInterval),
    kRetrySpread);
}

} // namespace skylarkhill::node
