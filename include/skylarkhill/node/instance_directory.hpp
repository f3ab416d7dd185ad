#ifndef SKYLARKHILL_NODE_INSTANCE_DIRECTORY_HPP
#define SKYLARKHILL_NODE_INSTANCE_DIRECTORY_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/error.hpp"
#include "skylarkhill/node/shared_log.hpp"

#include <cstdint>
#include <functional>
#include <map>
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
};

std::string
EncodeInstanceEntry(const InstanceEntry& aEntry);

/// InvalidArgument if the bytes are not those of EncodeInstanceEntry.
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
  /// When to call Tick next; never while a call is in progress.
  base::TimePoint NextTickAt() const;
  /// Time between two announcements, and between two reads.
  void SetInterval(base::Duration aInterval);
  /// Reads again at the next Tick.
  void Refresh();

  /// True once the stream has been read.
  bool IsLoaded() const { return mIsLoaded; }
  /// Changes whenever Instances changes.
  std::int64_t Version() const { return mVersion; }
  /// The instances that have announced themselves recently, this one included,
  /// by name.
  const std::map<std::string, InstanceEntry>& Instances() const
  {
    return mInstances;
  }

private:
  /// The newest record of an instance.
  struct Announcement
  {
    std::int64_t mOffset = -1;
    /// When this instance first read the record.
    base::TimePoint mSeenAt;
    InstanceEntry mEntry;
  };

  void Announce();
  void Read();
  void OnRead(const ReadResult& aResult);
  /// Recomputes mInstances.
  void UpdateInstances();
  /// aPause, longer or shorter by up to a quarter, so that the instances do not
  /// call at the same time.
  base::Duration Spread(base::Duration aPause);

  AsyncLog& mLog;
  const base::Clock& mClock;
  const LogStream mStream;
  const InstanceEntry mOwnEntry;
  base::Duration mInterval;
  bool mIsLoaded = false;
  bool mIsAnnouncing = false;
  bool mIsReading = false;
  base::TimePoint mNextAnnouncementAt;
  base::TimePoint mNextReadAt;
  std::uint64_t mCallCount = 0;
  std::int64_t mVersion = 0;
  std::map<std::string, Announcement> mAnnouncements;
  std::map<std::string, InstanceEntry> mInstances;
};

} // namespace skylarkhill::node

#endif // SKYLARKHILL_NODE_INSTANCE_DIRECTORY_HPP
