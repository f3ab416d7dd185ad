#include "skylarkhill/catalog/config_state.hpp"

#include "skylarkhill/base/name_table.hpp"
#include "skylarkhill/catalog/check.hpp"
#include "skylarkhill/catalog/json_member.hpp"

#include <algorithm>
#include <utility>

namespace skylarkhill::catalog {

namespace {

// The exported state and the metrics keep these texts: "beaten" is a conflict,
// and "verdict" below is an outcome.
constexpr base::NameTable<ApplyResult, 8> kApplyResultNames{ {
  { ApplyResult::Published, "published" },
  { ApplyResult::Conflict, "beaten" },
  { ApplyResult::Invalid, "invalid" },
  { ApplyResult::Repeated, "repeated" },
  { ApplyResult::Deferred, "deferred" },
  { ApplyResult::Restored, "restored" },
  { ApplyResult::Ignored, "ignored" },
  { ApplyResult::Malformed, "malformed" },
} };

using PublishOutcomes = std::map<RecordIdentity, PublishOutcome>;

base::JsonValue
FormatOutcomes(const PublishOutcomes& aOutcomes)
{
  base::JsonValue list;
  list.setCategory(base::JsonValue::Array);
  for (const auto& it : aOutcomes) {
    base::JsonValue& row = list.addMember();
    row.setCategory(base::JsonValue::Object);
    row.addMember("writer") <<= it.first.mWriter;
    row.addMember("sequence") <<= it.first.mSequence;
    row.addMember("result") <<= std::string(NameOf(it.second.mResult));
    row.addMember("version") <<= it.second.mVersion;
    row.addMember("offset") <<= it.second.mOffset;
  }
  return list;
}

base::Result<void>
ParseOutcome(const base::JsonValue& aRow, PublishOutcomes& aOutcomes)
{
  base::JsonReader reader(aRow, "verdict");
  RecordIdentity identity;
  identity.mWriter = reader.GetString("writer");
  identity.mSequence = reader.GetInt("sequence");
  PublishOutcome outcome;
  const std::string result = reader.GetString("result");
  outcome.mVersion = reader.GetInt("version");
  outcome.mOffset = reader.GetInt("offset");
  reader.RejectUnknown();
  BOOST_OUTCOME_TRYV(reader.Check());
  const auto known = base::FindValue(kApplyResultNames, result);
  if (!known) {
    return base::MakeError(base::ErrorKind::InvalidArgument,
                           "unknown result '" + result + "'");
  }
  outcome.mResult = *known;
  aOutcomes.emplace(std::move(identity), outcome);
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

/// A state that was exported by a peer.
struct ExportedState
{
  Version mVersion = kNoVersion;
  platform::Offset mNextOffset = 0;
  platform::Offset mRecoveryOffset = 0;
  CatalogSet mSet;
  PublishOutcomes mOutcomes;
};

base::Result<ExportedState>
ParseState(std::string_view aText)
{
  const auto value = base::ParseJson(aText);
  if (value.has_error()) {
    return value.error();
  }
  ExportedState state;
  base::JsonReader reader(value.value(), "state");
  state.mVersion = reader.GetInt("version");
  state.mNextOffset = reader.GetInt("next");
  state.mRecoveryOffset = reader.GetInt("recovery");
  const base::JsonValue* set = reader.GetMember("set");
  const base::JsonValue* outcomes = reader.GetMember("verdicts");
  reader.RejectUnknown();
  BOOST_OUTCOME_TRYV(reader.Check());
  if (set == nullptr || outcomes == nullptr ||
      outcomes->category() != base::JsonValue::Array) {
    return base::MakeError(base::ErrorKind::InvalidArgument,
                           "state: 'set' or 'verdicts' is missing");
  }
  for (const auto& it : *outcomes) {
    BOOST_OUTCOME_TRYV(ParseOutcome(it, state.mOutcomes));
  }
  auto parsed = ParseSetWithoutRelationChecks(*set);
  if (parsed.has_error()) {
    return parsed.error();
  }
  state.mSet = std::move(parsed.value());
  return state;
}

} // namespace

std::string_view
NameOf(ApplyResult aResult)
{
  return base::FindName(kApplyResultNames, aResult);
}

ConfigState::ConfigState(platform::Offset aStreamBegin)
  : mSet(std::make_shared<const CatalogSet>())
  , mNextOffset(aStreamBegin)
  , mReadFrom(aStreamBegin)
  , mRecoveryOffset(aStreamBegin)
{
}

void
ConfigState::UpdateFirstRetained(platform::Offset aFirstRetained)
{
  if (aFirstRetained > mNextOffset) {
    SkipTo(aFirstRetained);
  }
  EraseOutcomesBefore(aFirstRetained);
}

// A publish among the skipped records may have taken effect, so the outcome of
// later publishes is unknown until the state is restored. The current set is
// kept: an outdated set is better than none.
void
ConfigState::SkipTo(platform::Offset aOffset)
{
  mComplete = false;
  mDeferred.clear();
  mReadFrom = aOffset;
  mNextOffset = aOffset;
}

// An expired record cannot be read again, so its outcome is no longer needed.
void
ConfigState::EraseOutcomesBefore(platform::Offset aFirstRetained)
{
  if (aFirstRetained <= mFirstRetained) {
    return;
  }
  mFirstRetained = aFirstRetained;
  for (auto it = mOutcomes.begin(); it != mOutcomes.end();) {
    const bool isExpired = it->second.mOffset < aFirstRetained;
    it = isExpired ? mOutcomes.erase(it) : std::next(it);
  }
}

ApplyResult
ConfigState::Apply(platform::Offset aOffset,
                   std::string_view aPayload,
                   platform::Offset aFirstRetained)
{
  UpdateFirstRetained(aFirstRetained);
  if (aOffset < mNextOffset) {
    return ApplyResult::Repeated;
  }
  if (aOffset > mNextOffset) {
    SkipTo(aOffset);
  }
  mNextOffset = aOffset + 1;
  auto record = ParseConfigRecord(aPayload);
  if (record.has_error()) {
    return ApplyResult::Malformed;
  }
  if (auto* publish = std::get_if<PublishRecord>(&record.value())) {
    return ApplyPublish(aOffset, std::move(*publish));
  }
  const auto& snapshot = std::get<SnapshotRecord>(record.value());
  return ApplySnapshot(aOffset, snapshot);
}

ApplyResult
ConfigState::ApplyPublish(platform::Offset aOffset, PublishRecord aRecord)
{
  if (!mComplete) {
    mDeferred.push_back({ aOffset, std::move(aRecord) });
    return ApplyResult::Deferred;
  }
  return ResolvePublish(aOffset, aRecord);
}

ApplyResult
ConfigState::ResolvePublish(platform::Offset aOffset,
                            const PublishRecord& aRecord)
{
  if (mOutcomes.count(aRecord.mIdentity) != 0) {
    return ApplyResult::Repeated;
  }
  PublishOutcome& outcome = mOutcomes[aRecord.mIdentity];
  outcome = { ApplyResult::Conflict, mVersion, aOffset };
  if (aRecord.mBaseVersion != mVersion) {
    return outcome.mResult;
  }
  auto result = ApplyDelta(*mSet, aRecord.mDelta);
  if (result.has_error() || result.value().Digest() != aRecord.mDigest) {
    outcome.mResult = ApplyResult::Invalid;
    return outcome.mResult;
  }
  mSet = std::make_shared<const CatalogSet>(std::move(result.value()));
  mVersion = aOffset;
  outcome = { ApplyResult::Published, mVersion, aOffset };
  return outcome.mResult;
}

// A snapshot is usable only if every record after its `as_of` offset has been
// read: a publish among the missing records may have taken effect.
ApplyResult
ConfigState::ApplySnapshot(platform::Offset aOffset,
                           const SnapshotRecord& aRecord)
{
  if (aRecord.mAsOf >= aOffset || aRecord.mVersion > aRecord.mAsOf) {
    return ApplyResult::Malformed;
  }
  const platform::Offset next = aRecord.mAsOf + 1;
  const bool isRestored = !mComplete && mReadFrom <= next &&
                          Restore(aRecord.mVersion, aRecord.mSet, next);
  if (mComplete) {
    mRecoveryOffset = std::max(mRecoveryOffset, next);
  }
  return isRestored ? ApplyResult::Restored : ApplyResult::Ignored;
}

// Replaces the state by one that includes every record before `aNextOffset`,
// then applies the deferred publishes from that offset on.
bool
ConfigState::Restore(Version aVersion,
                     const CatalogSet& aSet,
                     platform::Offset aNextOffset)
{
  if (aVersion < mVersion) {
    return false;
  }
  mSet = std::make_shared<const CatalogSet>(aSet);
  mVersion = aVersion;
  mNextOffset = std::max(mNextOffset, aNextOffset);
  mComplete = true;
  for (const auto& it : std::exchange(mDeferred, {})) {
    if (it.mOffset >= aNextOffset) {
      ResolvePublish(it.mOffset, it.mRecord);
    } else {
      RecordOutcomeBeforeRestore(aVersion, it);
    }
  }
  return true;
}

// Of the publishes that a restored state includes, the one at the offset of its
// version took effect, and all later ones conflicted with it. The outcome of
// earlier ones is unknown.
void
ConfigState::RecordOutcomeBeforeRestore(Version aVersion,
                                        const DeferredPublish& aPublish)
{
  const platform::Offset offset = aPublish.mOffset;
  if (offset < aVersion) {
    return;
  }
  const auto result =
    offset == aVersion ? ApplyResult::Published : ApplyResult::Conflict;
  mOutcomes.emplace(aPublish.mRecord.mIdentity,
                    PublishOutcome{ result, aVersion, offset });
}

std::optional<PublishOutcome>
ConfigState::FindPublishOutcome(const std::string& aWriter,
                                std::int64_t aSequence) const
{
  const auto it = mOutcomes.find({ aWriter, aSequence });
  return it == mOutcomes.end() ? std::nullopt : std::optional(it->second);
}

base::Result<SnapshotRecord>
ConfigState::MakeSnapshot(RecordIdentity aIdentity) const
{
  if (!mComplete) {
    return base::MakeError(base::ErrorKind::NotFound,
                           "the state of the config stream is not complete");
  }
  return SnapshotRecord{
    std::move(aIdentity), mVersion, *mSet, mNextOffset - 1
  };
}

base::Result<std::string>
ConfigState::Export() const
{
  if (!mComplete) {
    return base::MakeError(base::ErrorKind::NotFound,
                           "the state of the config stream is not complete");
  }
  base::JsonValue value = base::MakeJsonObject();
  value.addMember("version") <<= mVersion;
  value.addMember("next") <<= mNextOffset;
  value.addMember("recovery") <<= mRecoveryOffset;
  AddMember(value, "set", FormatSet(*mSet));
  AddMember(value, "verdicts", FormatOutcomes(mOutcomes));
  return base::FormatJson(value);
}

base::Result<bool>
ConfigState::Import(std::string_view aText)
{
  auto parsed = ParseState(aText);
  if (parsed.has_error()) {
    return parsed.error();
  }
  ExportedState& state = parsed.value();
  if (mComplete && state.mNextOffset <= mNextOffset) {
    return false;
  }
  // Records between the peer's state and those read here are missing. The
  // peer's set may be newer, but the outcome of later publishes remains
  // unknown.
  if (state.mNextOffset < mReadFrom) {
    return ReplaceIfNewer(state.mVersion, std::move(state.mSet));
  }
  const PublishOutcomes ownOutcomes =
    std::exchange(mOutcomes, std::move(state.mOutcomes));
  mOutcomes.insert(ownOutcomes.begin(), ownOutcomes.end());
  const bool isRestored =
    Restore(state.mVersion, state.mSet, state.mNextOffset);
  if (isRestored) {
    mRecoveryOffset = std::max(mRecoveryOffset, state.mRecoveryOffset);
  }
  return isRestored;
}

bool
ConfigState::ReplaceIfNewer(Version aVersion, CatalogSet aSet)
{
  if (aVersion <= mVersion) {
    return false;
  }
  mSet = std::make_shared<const CatalogSet>(std::move(aSet));
  mVersion = aVersion;
  return true;
}

} // namespace skylarkhill::catalog
