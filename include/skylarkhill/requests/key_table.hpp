#ifndef SKYLARKHILL_REQUESTS_KEY_TABLE_HPP
#define SKYLARKHILL_REQUESTS_KEY_TABLE_HPP

#include "skylarkhill/platform/log_service.hpp"
#include "skylarkhill/requests/key_record.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace skylarkhill::requests {

using platform::Offset;

/// State of an idempotency key according to the log.
enum class KeyState
{
  /// No instance has claimed the key.
  Unclaimed,
  /// Claimed; the outcome is not recorded yet.
  Claimed,
  Finished,
};

/// State of one key at one offset of the log.
struct KeySnapshot
{
  base::RequestId mKey;
  KeyState mState = KeyState::Unclaimed;
  /// The instance whose intent took effect; empty if it is not known, e.g.
  /// because that record has expired.
  base::InstanceId mClaimant;
  Offset mClaimedOffset = 0;
  /// Offset of the newest record about the key.
  Offset mLastRecordOffset = 0;
  /// Set if the state is Finished.
  std::optional<OutcomeRecord> mOutcome;
};

/// The stable name of `aOutcome`.
std::string_view
NameOf(Outcome aOutcome);

/// The outcome named `aName`, or nothing.
std::optional<Outcome>
ParseOutcome(std::string_view aName);

/// The stable name of `aState`.
std::string_view
NameOf(KeyState aState);

/// A claimed key and the offset from which replaying the log restores it.
struct KeyReplayOffset
{
  base::RequestId mKey;
  Offset mReplayFrom = 0;
};

/// State of all idempotency keys, reduced deterministically from the records
/// of the log. Not thread-safe.
class KeyTable
{
public:
  /// Applies one record; a record that does not take effect is only counted.
  void Apply(Offset aOffset, const KeyRecord& aRecord);
  /// Applies a record whose writer had read all records before `aReplayFrom`;
  /// a key that it claims is restored by replaying the log from there.
  void Apply(Offset aOffset, const KeyRecord& aRecord, Offset aReplayFrom);

  /// Applies a record that must not take effect but proves that its key is in
  /// use. A key that is unknown has no claimant until a snapshot is applied.
  void RegisterIgnored(Offset aOffset, const KeyRecord& aRecord);

  /// Adds the key in its state after offset `aAsOf` and applies the records
  /// about it read since then. The state of a known key does not change.
  void ApplySnapshot(Offset aAsOf, const KeySnapshot& aSnapshot);

  /// Adds a key exported from another table.
  void Restore(const KeySnapshot& aSnapshot, Offset aReplayFrom);

  /// Removes `aKey` if it is finished, and its unmatched records, if no record
  /// about it is at or after `aFirstRetained`.
  void RemoveTombstone(const base::RequestId& aKey, Offset aFirstRetained);

  /// Removes all finished keys and unmatched records of keys that have no
  /// record at or after `aFirstRetained`.
  void Purge(Offset aFirstRetained);

  /// Unclaimed for a key without any record; Claimed or Finished without a
  /// claimant for a key with only unmatched records.
  KeySnapshot Find(const base::RequestId& aKey) const;
  /// Offset from which replaying the log restores the key; nothing if the key
  /// is not in the table.
  std::optional<Offset> FindReplayOffset(const base::RequestId& aKey) const;
  /// Unfinished keys claimed by `aInstance`, in order of id.
  std::vector<base::RequestId> ClaimedBy(
    const base::InstanceId& aInstance) const;
  /// Up to `aLimit` claimed keys with a replay offset below `aBefore`, the
  /// smallest offset first.
  std::vector<KeyReplayOffset> OldestReplayOffsets(Offset aBefore,
                                                   std::size_t aLimit) const;
  /// Records about keys whose first intent is not known, in log order per key.
  std::vector<std::pair<Offset, KeyRecord>> UnmatchedRecords() const;
  /// All keys, in order of id.
  std::vector<base::RequestId> All() const;

  std::size_t CountClaimed() const { return mByReplayOffset.size(); }
  std::size_t CountFinished() const { return mFinished.size(); }
  std::int64_t IgnoredRecords() const { return mIgnoredRecords; }

  /// Digest of the claimed keys; equal for tables with the same ones.
  std::uint64_t UnfinishedDigest() const;
  /// Digest of the claimed and finished keys; equal for tables with the same
  /// ones.
  std::uint64_t Digest() const;

private:
  struct Entry
  {
    KeySnapshot mSnapshot;
    Offset mReplayFrom = 0;
  };
  using OffsetSet = std::set<std::pair<Offset, base::RequestId>>;
  /// Records about a key whose first intent is not known, e.g. because it
  /// expired before the first record applied to this table.
  using Unmatched = std::vector<std::pair<Offset, KeyRecord>>;

  void Claim(Offset aOffset, const IntentRecord& aRecord, Offset aReplayFrom);
  void Finish(Offset aOffset, const OutcomeRecord& aRecord);
  void AddToIndexes(const Entry& aEntry);
  void RemoveFromIndexes(const Entry& aEntry);
  void RemoveKey(const base::RequestId& aKey);

  std::unordered_map<base::RequestId, Entry> mEntries;
  std::unordered_map<base::RequestId, Unmatched> mUnmatched;
  std::unordered_map<base::InstanceId, std::set<base::RequestId>> mByInstance;
  OffsetSet mByReplayOffset;
  OffsetSet mFinished;
  std::int64_t mIgnoredRecords = 0;
};

/// The key that `aRecord` is about.
const base::RequestId&
KeyOf(const KeyRecord& aRecord);

} // namespace skylarkhill::requests

#endif // SKYLARKHILL_REQUESTS_KEY_TABLE_HPP
