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

/// What one record of the stream did to the state.
enum class ApplyResult
{
  /// A publish took effect.
  Published,
  /// A publish whose base was not current.
  Conflict,
  /// A publish whose difference or digest does not fit its base.
  Invalid,
  /// Read before, or a repeat of an earlier record.
  Repeated,
  /// Kept until a snapshot or a peer provides the state before it.
  Deferred,
  /// A snapshot gave this reader its state.
  Restored,
  /// A snapshot that this reader does not need or may not use.
  Ignored,
  /// Not a record of this stream.
  Malformed,
};

std::string_view
NameOf(ApplyResult aResult);

/// How a publish ended.
struct PublishOutcome
{
  /// Published, Conflict or Invalid.
  ApplyResult mResult = ApplyResult::Conflict;
  /// The version that is the publish if it won, else the version that was
  /// current at its offset.
  Version mVersion = kNoVersion;
  platform::Offset mOffset = 0;
};

/// The state that every instance derives from the `config` stream. Not
/// thread-safe.
class ConfigState
{
public:
  /// `aStreamBegin` is the offset of the first record the stream ever had.
  explicit ConfigState(platform::Offset aStreamBegin = 0);

  /// Applies the record at `aOffset`. Records come in the order of the stream,
  /// each at least once; `aFirstRetained` is the oldest offset that the log
  /// kept when the record was read.
  ApplyResult Apply(platform::Offset aOffset,
                    std::string_view aPayload,
                    platform::Offset aFirstRetained);

  /// Tells what the log still keeps. To be called for every page, because a
  /// page without records may follow expired ones.
  void UpdateFirstRetained(platform::Offset aFirstRetained);

  /// The set in force; never null.
  const std::shared_ptr<const CatalogSet>& CurrentSet() const { return mSet; }
  Version CurrentVersion() const { return mVersion; }
  /// The offset to read next.
  platform::Offset NextOffset() const { return mNextOffset; }
  /// False if records that decide about the state have expired unread. The
  /// set in force may then be outdated.
  bool IsComplete() const { return mComplete; }
  /// The oldest record that a new reader needs. It has to be retained, or a
  /// newer snapshot to be written before it expires.
  platform::Offset RecoveryOffset() const { return mRecoveryOffset; }

  /// The end of that publish, or nothing if it is not known: not read yet,
  /// deferred, or expired.
  std::optional<PublishOutcome> FindPublishOutcome(
    const std::string& aWriter,
    std::int64_t aSequence) const;

  /// A snapshot of the current state to be appended. NotFound if the state is
  /// not complete.
  base::Result<SnapshotRecord> MakeSnapshot(RecordIdentity aIdentity) const;

  /// The state as text, for a peer. NotFound if the state is not complete.
  base::Result<std::string> Export() const;

  /// Takes over the state of a peer if it is newer. Returns whether anything
  /// was taken over. InvalidJson, InvalidArgument, InvalidSet.
  base::Result<bool> Import(std::string_view aText);

private:
  /// A publish read while the state before it was not known.
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
  /// Everything from this offset to mNextOffset has been read.
  platform::Offset mReadFrom;
  platform::Offset mRecoveryOffset;
  platform::Offset mFirstRetained = 0;
  bool mComplete = true;
  std::vector<DeferredPublish> mDeferred;
  std::map<RecordIdentity, PublishOutcome> mOutcomes;
};

} // namespace skylarkhill::catalog

#endif // SKYLARKHILL_CATALOG_CONFIG_STATE_HPP
