#include "skylarkhill/catalog/object.hpp"

namespace skylarkhill::catalog {

namespace {

template<typename T>
void
Add(base::JsonValue& aValue, const char* aKey, const T& aMember)
{
  aValue.addMember(aKey) <<= aMember;
}

void
AddName(base::JsonValue& aValue, const char* aKey, std::string_view aName)
{
  Add(aValue, aKey, std::string(aName));
}

void
AddResources(base::JsonValue& aValue,
             const char* aKey,
             const base::Resources& aResources)
{
  base::JsonValue& member = aValue.addMember(aKey);
  member.setCategory(base::JsonValue::Object);
  Add(member, "milli_processors", aResources.mMilliProcessors);
  Add(member, "memory_bytes", aResources.mMemoryBytes);
  Add(member, "accelerators", aResources.mAccelerators);
}

void
AddSelection(base::JsonValue& aValue,
             const char* aKey,
             const Selection& aSelection)
{
  if (aSelection.mAll) {
    AddName(aValue, aKey, "all");
  } else {
    Add(aValue, aKey, aSelection.mNames);
  }
}

void
AddOptional(base::JsonValue& aValue,
            const char* aKey,
            const std::optional<std::int64_t>& aMember)
{
  if (aMember) {
    Add(aValue, aKey, *aMember);
  }
}

void
AddMembers(base::JsonValue& aValue, const Service& aService)
{
  AddName(aValue, "pool", aService.mPool);
  Add(aValue, "importance", aService.mImportance);
  Add(aValue, "idempotent", aService.mIdempotent);
  AddResources(aValue, "reserve", aService.mReserve);
  Add(aValue, "queue_limit", aService.mQueueLimit);
  Add(aValue, "target_latency_ms", aService.mTargetLatencyMs);
  Add(aValue, "default_deadline_ms", aService.mDefaultDeadlineMs);
  Add(aValue, "max_attempts", aService.mMaxAttempts);
}

void
AddMembers(base::JsonValue& aValue, const BatchClass& aBatch)
{
  AddName(aValue, "pool", aBatch.mPool);
  if (!aBatch.mEvictionPolicy.empty()) {
    AddName(aValue, "eviction_policy", aBatch.mEvictionPolicy);
  }
  AddResources(aValue, "default_resources", aBatch.mDefaultResources);
  Add(aValue, "default_run_seconds", aBatch.mDefaultRunSeconds);
  Add(aValue, "max_evictions", aBatch.mMaxEvictions);
  Add(aValue, "urgent_allowed", aBatch.mUrgentAllowed);
}

void
AddMembers(base::JsonValue& aValue, const Pool& aPool)
{
  AddSelection(aValue, "domains", aPool.mDomains);
  AddSelection(aValue, "racks", aPool.mRacks);
  AddResources(aValue, "worker_capacity", aPool.mWorkerCapacity);
  Add(aValue, "workers", aPool.mWorkers);
  base::JsonValue& shares = aValue.addMember("shares");
  shares.setCategory(base::JsonValue::Array);
  for (const auto& it : aPool.mShares) {
    base::JsonValue& share = shares.addMember();
    share.setCategory(base::JsonValue::Object);
    AddName(share, "for", it.mOwner);
    AddResources(share, "resources", it.mResources);
  }
}

void
AddMembers(base::JsonValue& aValue, const EvictionPolicy& aPolicy)
{
  if (!aPolicy.mParent.empty()) {
    AddName(aValue, "parent", aPolicy.mParent);
  }
  if (aPolicy.mKind) {
    AddName(aValue, "policy", NameOf(*aPolicy.mKind));
  }
  AddOptional(aValue, "throttle_percent", aPolicy.mThrottlePercent);
  AddOptional(aValue, "evict_percent", aPolicy.mEvictPercent);
  AddOptional(aValue, "hysteresis_percent", aPolicy.mHysteresisPercent);
}

void
AddMembers(base::JsonValue& aValue, const Team& aTeam)
{
  AddResources(aValue, "quota", aTeam.mQuota);
  Add(aValue, "weight", aTeam.mWeight);
  Add(aValue, "batch_classes", aTeam.mBatchClasses);
}

void
AddMembers(base::JsonValue& aValue, const Profile& aProfile)
{
  AddName(aValue, "preset", NameOf(aProfile.mPreset));
  AddName(aValue, "placement", NameOf(aProfile.mPlacement));
  AddName(aValue, "queue", NameOf(aProfile.mQueue));
  AddName(aValue, "eviction", NameOf(aProfile.mEviction));
}

} // namespace

base::JsonValue
FormatObject(const Object& aObject)
{
  base::JsonValue value = base::MakeJsonObject();
  AddName(value, "kind", NameOf(KindOf(aObject)));
  AddName(value, "name", NameOf(aObject));
  std::visit([&value](const auto& aMembers) { AddMembers(value, aMembers); },
             aObject);
  return value;
}

} // namespace skylarkhill::catalog
