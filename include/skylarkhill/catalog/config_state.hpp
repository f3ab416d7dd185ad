#ifndef SKYLARKHILL_CATALOG_CONFIG_STATE_HPP
#define SKYLARKHILL_CATALOG_CONFIG_STATE_HPP

#include "skylarkhill/catalog/config_record.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkhill::catalog {

/// The effect of one record of the stream on the state.
enum class ApplyResult
{
  /// A publish that took effect.
  Published,
  /// A publish whose base version was no longer current.
  Conflict,
  /// A publish whose delta or digest does not match its base.
  Invalid,
  /// A record that was read before, or a duplicate of an earlier one.
  Repeated,
  /// A publish that is kept until a snapshot or a peer provides the state
  /// before it.
  Deferred,
  /// A snapshot from which this reader restored its state.
  Restored,
  /// A snapshot that this reader does not need or cannot use.
  Ignored,
  /// Not a valid record of this stream.
  Malformed,
};

std::string_view
NameOf(ApplyResult aResult);

/// The outcome of a publish.
struct PublishOutcome
{
  /// Published, Conflict or Invalid.
  ApplyResult mResult = ApplyResult::Conflict;
  /// The version that the publish created, or, if it did not take effect, the
  /// version that was current at its offset.
  Version mVersion = kNoVersion;
  platform::Offset mOffset = 0;
};

/// The configuration that every instance derives from the `config` stream. Not
/// thread-safe.
class ConfigState
{
public:
  /// `aStreamBegin` is the offset of the first record ever appended to the
  /// stream.
  explicit ConfigState(platform::Offset aStreamBegin = 0);

  /// Applies the record at `aOffset`. Records must be applied in stream order,
  /// each at least once. `aFirstRetained` is the oldest offset that the log
  /// retained when the record was read.
  ApplyResult Apply(platform::Offset aOffset,
                    std::string_view aPayload,
                    platform::Offset aFirstRetained);

  /// Updates the oldest offset that the log retains. Must be called for every
  /// page that was read: an empty page may follow expired records.
  void UpdateFirstRetained(platform::Offset aFirstRetained);

  /// The current set; never null.
  const std::shared_ptr<const CatalogSet>& CurrentSet() const { return mSet; }
  Version CurrentVersion() const { return mVersion; }
  /// The next offset to read.
  platform::Offset NextOffset() const { return mNextOffset; }
  /// False if records that affect the state expired before they were read. The
  /// current set may then be outdated.
  bool IsComplete() const { return mComplete; }
  /// Offset of the oldest record that a new reader needs. A newer snapshot must
  /// be written before this record expires.
  platform::Offset RecoveryOffset() const { return mRecoveryOffset; }

  /// The outcome of a publish, or nothing if it is unknown because the record
  /// has not been read, is deferred or has expired.
  std::optional<PublishOutcome> FindPublishOutcome(
    const std::string& aWriter,
    std::int64_t aSequence) const;

  /// Creates a snapshot record of the current state. NotFound if the state is
  /// not complete.
  base::Result<SnapshotRecord> MakeSnapshot(RecordIdentity aIdentity) const;

  /// Formats the state as JSON for a peer. NotFound if the state is not
  /// complete.
  base::Result<std::string> Export() const;

  /// Replaces the state by that of a peer if the peer's is newer. Returns
  /// whether the state changed. InvalidJson, InvalidArgument, InvalidSet.
  base::Result<bool> Import(std::string_view aText);

private:
  /// A publish that was read while the state before it was unknown.
  struct DeferredPublish
  {
    platform::Offset mOffset = 0;
    PublishRecord mRecord;
  };

  void SkipTo(platform::Offset aOffset);
  ApplyResult ApplyPublish(platform::Offset aOffset, PublishRecord aRecord);
  ApplyResult ResolvePublish(platform::Offset aOffset,
                             const PublishRecord& aRecord);
  ApplyResult ApplySnapshot(platform::Offset aOffset,
                            const SnapshotRecord& aRecord);
  bool Restore(Version aVersion,
               const CatalogSet& aSet,
               platform::Offset aNextOffset);
  void RecordOutcomeBeforeRestore(Version aVersion,
                                  const DeferredPublish& aPublish);
  bool ReplaceIfNewer(Version aVersion, CatalogSet aSet);
  void EraseOutcomesBefore(platform::Offset aFirstRetained);

  std::shared_ptr<const CatalogSet> mSet;
  Version mVersion = kNoVersion;
  platform::Offset mNextOffset;
  /// All records from this offset up to mNextOffset have been read.
  platform::Offset mReadFrom;
  platform::Offset mRecoveryOffset;
  platform::Offset mFirstRetained = 0;
  bool mComplete = true;
  std::vector<DeferredPublish> mDeferred;
  std::map<RecordIdentity, PublishOutcome> mOutcomes;
};

} // namespace skylarkhill::catalog

#endif // SKYLARKHILL_CATALOG_CONFIG_STATE_HPP
