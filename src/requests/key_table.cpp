#include "skylarkhill/requests/key_table.hpp"

#include "skylarkhill/base/hash.hpp"
#include "skylarkhill/base/name_table.hpp"

#include <algorithm>
#include <iterator>

namespace skylarkhill::requests {

namespace {

constexpr base::NameTable<Outcome, 3> kOutcomeNames{ {
  { Outcome::Completed, "completed" },
  { Outcome::NotRun, "not_run" },
  { Outcome::Unknown, "unknown" },
} };

constexpr base::NameTable<KeyState, 3> kKeyStateNames{ {
  { KeyState::Unclaimed, "unknown" },
  { KeyState::Claimed, "claimed" },
  { KeyState::Finished, "finished" },
} };

std::uint64_t
DigestOf(const KeySnapshot& aKey)
{
  std::uint64_t digest = base::StableHash(aKey.mKey.mValue);
  digest = base::StableHash(NameOf(aKey.mState), digest);
  digest = base::StableHash(aKey.mClaimant.mValue, digest);
  if (aKey.mOutcome) {
    digest = base::StableHash(NameOf(aKey.mOutcome->mOutcome), digest);
    digest = base::StableHash(base::NameOf(aKey.mOutcome->mErrorKind), digest);
    digest = base::StableHash(aKey.mOutcome->mBody, digest);
  }
  return digest;
}

// Only the claimant knows the outcome. Other instances may record Unknown once
// the claimant is gone.
bool
MayFinish(const base::InstanceId& aClaimant, const OutcomeRecord& aRecord)
{
  return aRecord.mInstance == aClaimant || aRecord.mOutcome == Outcome::Unknown;
}

} // namespace

std::string_view
NameOf(Outcome aOutcome)
{
  return base::FindName(kOutcomeNames, aOutcome);
}

std::optional<Outcome>
ParseOutcome(std::string_view aName)
{
  return base::FindValue(kOutcomeNames, aName);
}

std::string_view
NameOf(KeyState aState)
{
  return base::FindName(kKeyStateNames, aState);
}

const base::RequestId&
KeyOf(const KeyRecord& aRecord)
{
  return std::visit(
    [](const auto& aEach) -> const base::RequestId& { return aEach.mKey; },
    aRecord);
}

void
KeyTable::AddToIndexes(const Entry& aEntry)
{
  const KeySnapshot& key = aEntry.mSnapshot;
  if (key.mState == KeyState::Finished) {
    mFinished.emplace(key.mLastRecordOffset, key.mKey);
    return;
  }
  mByReplayOffset.emplace(aEntry.mReplayFrom, key.mKey);
  mByInstance[key.mClaimant].insert(key.mKey);
}

void
KeyTable::RemoveFromIndexes(const Entry& aEntry)
{
  const KeySnapshot& key = aEntry.mSnapshot;
  if (key.mState == KeyState::Finished) {
    mFinished.erase({ key.mLastRecordOffset, key.mKey });
    return;
  }
  mByReplayOffset.erase({ aEntry.mReplayFrom, key.mKey });
  const auto keys = mByInstance.find(key.mClaimant);
  keys->second.erase(key.mKey);
  if (keys->second.empty()) {
    mByInstance.erase(keys);
  }
}

void
KeyTable::RemoveKey(const base::RequestId& aKey)
{
  const auto found = mEntries.find(aKey);
  RemoveFromIndexes(found->second);
  mEntries.erase(found);
}

void
KeyTable::Claim(Offset aOffset, const IntentRecord& aRecord, Offset aReplayFrom)
{
  // A key with unmatched records was claimed before the first record applied to
  // this table.
  if (mEntries.count(aRecord.mKey) != 0 ||
      mUnmatched.count(aRecord.mKey) != 0) {
    RegisterIgnored(aOffset, aRecord);
    return;
  }
  Entry& entry = mEntries[aRecord.mKey];
  entry.mSnapshot.mKey = aRecord.mKey;
  entry.mSnapshot.mState = KeyState::Claimed;
  entry.mSnapshot.mClaimant = aRecord.mInstance;
  entry.mSnapshot.mClaimedOffset = aOffset;
  entry.mSnapshot.mLastRecordOffset = aOffset;
  entry.mReplayFrom = aReplayFrom;
  AddToIndexes(entry);
}

void
KeyTable::RegisterIgnored(Offset aOffset, const KeyRecord& aRecord)
{
  ++mIgnoredRecords;
  const base::RequestId& key = KeyOf(aRecord);
  const auto found = mEntries.find(key);
  if (found == mEntries.end()) {
    mUnmatched[key].emplace_back(aOffset, aRecord);
    return;
  }
  RemoveFromIndexes(found->second);
  Offset& last = found->second.mSnapshot.mLastRecordOffset;
  last = std::max(last, aOffset);
  AddToIndexes(found->second);
}

void
KeyTable::Finish(Offset aOffset, const OutcomeRecord& aRecord)
{
  const auto found = mEntries.find(aRecord.mKey);
  if (found == mEntries.end()) {
    RegisterIgnored(aOffset, aRecord);
    return;
  }
  Entry& entry = found->second;
  RemoveFromIndexes(entry);
  KeySnapshot& key = entry.mSnapshot;
  key.mLastRecordOffset = std::max(key.mLastRecordOffset, aOffset);
  if (key.mState == KeyState::Claimed && MayFinish(key.mClaimant, aRecord)) {
    key.mState = KeyState::Finished;
    key.mOutcome = aRecord;
  } else {
    ++mIgnoredRecords;
  }
  AddToIndexes(entry);
}

void
KeyTable::Apply(Offset aOffset, const KeyRecord& aRecord)
{
  Apply(aOffset, aRecord, aOffset);
}

void
KeyTable::Apply(Offset aOffset, const KeyRecord& aRecord, Offset aReplayFrom)
{
  if (const auto* intent = std::get_if<IntentRecord>(&aRecord)) {
    Claim(aOffset, *intent, aReplayFrom);
  } else {
    Finish(aOffset, std::get<OutcomeRecord>(aRecord));
  }
}

void
KeyTable::ApplySnapshot(Offset aAsOf, const KeySnapshot& aSnapshot)
{
  const auto found = mEntries.find(aSnapshot.mKey);
  if (found != mEntries.end()) {
    RemoveFromIndexes(found->second);
    Offset& replayFrom = found->second.mReplayFrom;
    replayFrom = std::max(replayFrom, aAsOf + 1);
    AddToIndexes(found->second);
    return;
  }
  Restore(aSnapshot, aAsOf + 1);
  const auto node = mUnmatched.extract(aSnapshot.mKey);
  if (node.empty()) {
    return;
  }
  for (const auto& [offset, record] : node.mapped()) {
    if (offset > aAsOf) {
      Apply(offset, record);
    }
  }
}

void
KeyTable::Restore(const KeySnapshot& aSnapshot, Offset aReplayFrom)
{
  const bool isValid =
    aSnapshot.mState == KeyState::Claimed ||
    (aSnapshot.mState == KeyState::Finished && aSnapshot.mOutcome);
  if (!isValid || mEntries.count(aSnapshot.mKey) != 0) {
    return;
  }
  Entry& entry = mEntries[aSnapshot.mKey];
  entry.mSnapshot = aSnapshot;
  entry.mReplayFrom = aReplayFrom;
  AddToIndexes(entry);
}

void
KeyTable::RemoveTombstone(const base::RequestId& aKey, Offset aFirstRetained)
{
  const auto found = mEntries.find(aKey);
  if (found != mEntries.end() &&
      found->second.mSnapshot.mState == KeyState::Finished &&
      found->second.mSnapshot.mLastRecordOffset < aFirstRetained) {
    RemoveKey(aKey);
  }
  const auto unmatched = mUnmatched.find(aKey);
  if (unmatched != mUnmatched.end() &&
      unmatched->second.back().first < aFirstRetained) {
    mUnmatched.erase(unmatched);
  }
}

void
KeyTable::Purge(Offset aFirstRetained)
{
  while (!mFinished.empty() && mFinished.begin()->first < aFirstRetained) {
    RemoveKey(base::RequestId(mFinished.begin()->second));
  }
  for (auto it = mUnmatched.begin(); it != mUnmatched.end();) {
    const bool isExpired = it->second.back().first < aFirstRetained;
    it = isExpired ? mUnmatched.erase(it) : std::next(it);
  }
}

KeySnapshot
KeyTable::Find(const base::RequestId& aKey) const
{
  const auto found = mEntries.find(aKey);
  if (found != mEntries.end()) {
    return found->second.mSnapshot;
  }
  KeySnapshot result;
  result.mKey = aKey;
  const auto unmatched = mUnmatched.find(aKey);
  if (unmatched == mUnmatched.end()) {
    return result;
  }
  result.mState = KeyState::Claimed;
  result.mLastRecordOffset = unmatched->second.back().first;
  for (const auto& it : unmatched->second) {
    // Outcomes are appended only by the claimant, or by another instance once
    // the claimant is gone, so readers that know the claim have applied the
    // first one.
    if (const auto* outcome = std::get_if<OutcomeRecord>(&it.second)) {
      result.mState = KeyState::Finished;
      result.mOutcome = *outcome;
      break;
    }
  }
  return result;
}

std::optional<Offset>
KeyTable::FindReplayOffset(const base::RequestId& aKey) const
{
  const auto found = mEntries.find(aKey);
  if (found == mEntries.end()) {
    return std::nullopt;
  }
  return found->second.mReplayFrom;
}

std::vector<base::RequestId>
KeyTable::ClaimedBy(const base::InstanceId& aInstance) const
{
  const auto found = mByInstance.find(aInstance);
  if (found == mByInstance.end()) {
    return {};
  }
  return { found->second.begin(), found->second.end() };
}

std::vector<std::pair<Offset, KeyRecord>>
KeyTable::UnmatchedRecords() const
{
  std::vector<std::pair<Offset, KeyRecord>> result;
  for (const auto& it : mUnmatched) {
    result.insert(result.end(), it.second.begin(), it.second.end());
  }
  return result;
}

std::vector<KeyReplayOffset>
KeyTable::OldestReplayOffsets(Offset aBefore, std::size_t aLimit) const
{
  std::vector<KeyReplayOffset> result;
  for (const auto& [offset, key] : mByReplayOffset) {
    if (offset >= aBefore || result.size() >= aLimit) {
      break;
    }
    result.push_back({ key, offset });
  }
  return result;
}

std::vector<base::RequestId>
KeyTable::All() const
{
  std::vector<base::RequestId> result;
  result.reserve(mEntries.size());
  for (const auto& it : mEntries) {
    result.push_back(it.first);
  }
  std::sort(result.begin(), result.end());
  return result;
}

std::uint64_t
KeyTable::UnfinishedDigest() const
{
  std::uint64_t digest = 0;
  for (const auto& it : mByReplayOffset) {
    digest += DigestOf(mEntries.at(it.second).mSnapshot);
  }
  return digest;
}

std::uint64_t
KeyTable::Digest() const
{
  std::uint64_t digest = UnfinishedDigest();
  for (const auto& it : mFinished) {
    digest += DigestOf(mEntries.at(it.second).mSnapshot);
  }
  return digest;
}

} // namespace skylarkhill::requests
