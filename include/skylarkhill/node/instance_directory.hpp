#ifndef SKYLARKHILL_NODE_INSTANCE_DIRECTORY_HPP
#define SKYLARKHILL_NODE_INSTANCE_DIRECTORY_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/error.hpp"
#include "skylarkhill/node/shared_log.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkhill::node {

/// What an instance tells the others about itself.
struct InstanceEntry
{
  /// The same after a restart of the instance.
  std::string mName;
  std::string mDomain;
  /// "IP:PORT" at which the instance answers CellQueries.
  std::string mAddress;
  /// Processors that the instance may use; may be a fraction.
  double mProcessors = 1.0;
  /// Differs between restarts of the instance. Empty while it starts or stops,
  /// so that it should not lead, and if its version does not tell.
  std::string mInstanceId{};
  /// When the process started, in milliseconds of Unix time; 0 if its version
  /// does not tell.
  std::int64_t mStartedMs = 0;
};

bool
operator==(const InstanceEntry& aLeft, const InstanceEntry& aRight);

std::string
EncodeInstanceEntry(const InstanceEntry& aEntry);

/// InvalidArgument if the bytes are malformed, the name is empty, a text is too
/// long or the processors are not a plausible number.
base::Result<InstanceEntry>
DecodeInstanceEntry(std::string_view aBytes);

/// Announces this instance in a stream of the log and reads from time to time
/// which other instances there are. Not thread-safe: used on the call loop's
/// thread only.
class InstanceDirectory
{
public:
  InstanceDirectory(AsyncLog& aLog,
                    const base::Clock& aClock,
                    LogStream aStream,
                    InstanceEntry aOwnEntry);

  /// Starts the calls that are due.
  void Tick();
  /// When to call Tick next. A call in progress is not due; kNoDeadline if both
  /// an announcement and a read are in progress.
  base::TimePoint NextTickAt() const;
  /// Longest time between two announcements, and between two reads, that
  /// succeed; the shortest is three quarters of it. At least 250 ms.
  void SetInterval(base::Duration aInterval);
  /// Changes the own entry and announces it at the next Tick, or once the
  /// announcement in progress has ended.
  void SetInstanceId(std::string aInstanceId);
  /// Reads again at the next Tick, or once the read in progress has ended. Does
  /// not shorten the pause after a failed read.
  void Refresh();

  /// True once the stream has been read.
  bool IsLoaded() const { return mIsLoaded; }
  /// True while a read is in progress.
  bool IsReading() const { return mIsReading; }
  /// True if the last read was refused because of the log's rate.
  bool IsRateLimited() const { return mIsRateLimited; }
  /// When the last successful read was sent.
  base::TimePoint ReadSentAt() const { return mReadSentAt; }
  /// Rises whenever Instances changes.
  std::int64_t Version() const { return mVersion; }
  /// The instances that have announced themselves recently, by name. Always
  /// contains this one. Changes only with a read.
  const std::map<std::string, InstanceEntry>& Instances() const
  {
    return mInstances;
  }

private:
  /// The newest record of an instance.
  struct Announcement
  {
    std::int64_t mOffset = -1;
    /// mReadableTime when this instance first read the record.
    base::TimePoint mSeenAt;
    /// False if the last read did not return the record.
    bool mIsInStream = true;
    /// Empty if the record is malformed or its instance long gone.
    std::optional<InstanceEntry> mEntry;
  };

  void Announce();
  void OnAnnounced(const AppendResult& aResult, base::TimePoint aSentAt);
  void Read();
  void OnRead(const ReadResult& aResult, base::TimePoint aSentAt);
  void OnRecord(const LogRecord& aRecord);
  /// Time without a new record, as far as the stream could be read and written.
  base::Duration SilenceOf(const Announcement& aAnnouncement) const;
  /// Counts the silence of the instances that are not gone from now on, because
  /// the others may announce themselves up to an interval later than this one.
  void RestartSilences();
  /// Recomputes mInstances.
  void UpdateInstances();
  /// Drops the announcements of instances that are long gone and deletes some
  /// of their records.
  void RemoveOldAnnouncements();
  /// True if it is this instance's turn to delete the record.
  bool MayDelete(const std::string& aKey, base::Duration aSilence) const;
  void Delete(std::vector<LogRecord> aDeletions);
  /// aPause, shorter by up to aShare of it, so that the instances do not call
  /// at the same time.
  base::Duration Spread(base::Duration aPause, double aShare);
  /// Pause after the aFailures-th failure in succession.
  base::Duration RetryPause(std::int64_t aFailures);

  AsyncLog& mLog;
  const base::Clock& mClock;
  const LogStream mStream;
  InstanceEntry mOwnEntry;
  base::Duration mInterval;
  bool mIsLoaded = false;
  bool mIsAnnouncing = false;
  /// The own entry has changed since the last announcement was sent.
  bool mHasEntryChanged = false;
  bool mIsReading = false;
  bool mIsDeleting = false;
  bool mIsRefreshWanted = false;
  /// No read has succeeded since the start or the last Refresh.
  bool mIsReadAwaited = true;
  bool mIsRateLimited = false;
  base::TimePoint mNextAnnouncementAt;
  base::TimePoint mNextReadAt;
  /// Consecutive failures.
  std::int64_t mFailedAnnouncements = 0;
  std::int64_t mFailedReads = 0;
  /// When the last successful read was answered.
  base::TimePoint mLastReadAt;
  /// When that read was sent.
  base::TimePoint mReadSentAt;
  /// When the last own announcement was stored.
  base::TimePoint mStoredAt;
  /// A clock that stands still while the stream can't be read or written.
  base::TimePoint mReadableTime;
  std::uint64_t mCallCount = 0;
  std::int64_t mVersion = 0;
  /// By key, without the own one.
  std::map<std::string, Announcement> mAnnouncements;
  std::map<std::string, InstanceEntry> mInstances;
};

} // namespace skylarkhill::node

#endif // SKYLARKHILL_NODE_INSTANCE_DIRECTORY_HPP
