#include "skylarkhill/catalog/check.hpp"

#include <map>
#include <set>
#include <utility>

namespace skylarkhill::catalog {

namespace {

using base::Resources;

// Bounds the time to resolve a policy. Without it, checking a chain of policies
// takes quadratic time, which is too slow for 10,000 policies.
constexpr int kMaxAncestors = 16;

Resources
Multiply(const Resources& aAmount, std::int64_t aCount)
{
  return { aAmount.mMilliProcessors * aCount,
           aAmount.mMemoryBytes * aCount,
           aAmount.mAccelerators * aCount };
}

std::string
ToText(const Resources& aAmount)
{
  return std::to_string(aAmount.mMilliProcessors) + " milli_processors, " +
         std::to_string(aAmount.mMemoryBytes) + " memory_bytes, " +
         std::to_string(aAmount.mAccelerators) + " accelerators";
}

/// Checks the relations between the objects of one set.
class SetChecker
{
public:
  // `aInvalidNames` holds the objects that have findings already. Their sizes
  // are not compared: one invalid member of a pool would otherwise cause a
  // finding for every object that uses the pool.
  SetChecker(const CatalogSet& aSet, const std::set<std::string>& aInvalidNames)
    : mSet(aSet)
    , mInvalidNames(aInvalidNames)
  {
  }

  std::vector<Finding> Check()
  {
    CollectServicesByPool();
    mSet.ForEach<Service>(
      [this](const auto& aObject) { CheckService(aObject); });
    mSet.ForEach<BatchClass>(
      [this](const auto& aObject) { CheckBatchClass(aObject); });
    mSet.ForEach<Pool>([this](const auto& aObject) { CheckPool(aObject); });
    mSet.ForEach<EvictionPolicy>(
      [this](const auto& aObject) { CheckParent(aObject); });
    mSet.ForEach<EvictionPolicy>(
      [this](const auto& aObject) { CheckThresholds(aObject); });
    mSet.ForEach<Team>([this](const auto& aObject) { CheckTeam(aObject); });
    CheckProfiles();
    return std::move(mFindings);
  }

private:
  void AddFinding(const Object& aObject, std::string aProblem)
  {
    mFindings.push_back({ Describe(aObject), std::move(aProblem) });
  }

  // Adds a finding unless `aName` is empty or names an object of type T.
  template<typename T>
  void CheckReference(const Object& aFrom,
                      std::string_view aKey,
                      const std::string& aName)
  {
    if (aName.empty() || mSet.FindAs<T>(aName) != nullptr) {
      return;
    }
    AddReferenceFinding(aFrom, aKey, aName, NameOf(KindOf(Object(T()))));
  }

  void AddReferenceFinding(const Object& aFrom,
                           std::string_view aKey,
                           const std::string& aName,
                           std::string_view aExpected)
  {
    const Object* found = mSet.Find(aName);
    std::string problem = "'";
    problem.append(aKey).append("' refers to ");
    if (found == nullptr) {
      problem.append("unknown ").append(aExpected).append(" '");
      problem.append(aName).append("'");
    } else {
      problem.append(Describe(*found)).append(" instead of a ");
      problem.append(aExpected);
    }
    AddFinding(aFrom, std::move(problem));
  }

  void CollectServicesByPool()
  {
    mSet.ForEach<Service>([this](const Service& aService) {
      mServicesByPool[aService.mPool].push_back(&aService);
      mReserveByPool[aService.mPool] += aService.mReserve;
    });
  }

  void CheckService(const Service& aService)
  {
    CheckReference<Pool>(aService, "pool", aService.mPool);
  }

  void CheckBatchClass(const BatchClass& aBatch)
  {
    CheckReference<Pool>(aBatch, "pool", aBatch.mPool);
    CheckReference<EvictionPolicy>(
      aBatch, "eviction_policy", aBatch.mEvictionPolicy);
    const Pool* pool = mSet.FindAs<Pool>(aBatch.mPool);
    if (pool == nullptr || mInvalidNames.count(pool->mName) != 0 ||
        mInvalidNames.count(aBatch.mName) != 0) {
      return;
    }
    const Resources available =
      pool->mWorkerCapacity - mReserveByPool[pool->mName];
    if (!Fits(aBatch.mDefaultResources, available)) {
      AddFinding(aBatch,
                 "no worker of pool '" + pool->mName +
                   "' can ever hold 'default_resources': at most " +
                   ToText(available) +
                   " are left after the reserves of services");
    }
  }

  void CheckShares(const Pool& aPool)
  {
    std::set<std::string> seen;
    for (const auto& it : aPool.mShares) {
      if (!seen.insert(it.mOwner).second) {
        AddFinding(aPool, "'shares' has two entries for '" + it.mOwner + "'");
      }
      const auto* service = mSet.FindAs<Service>(it.mOwner);
      const auto* batch = mSet.FindAs<BatchClass>(it.mOwner);
      if (service == nullptr && batch == nullptr) {
        AddReferenceFinding(
          aPool, "shares", it.mOwner, "service or batch_class");
        continue;
      }
      const std::string& ownerPool =
        service != nullptr ? service->mPool : batch->mPool;
      if (ownerPool != aPool.mName) {
        AddFinding(aPool,
                   "'shares' has an entry for '" + it.mOwner +
                     "', which uses pool '" + ownerPool + "'");
      }
    }
  }

  // A service is guaranteed its share or its reserves, whichever is larger.
  std::map<std::string, Resources> CollectGuarantees(const Pool& aPool)
  {
    std::map<std::string, Resources> guarantees;
    for (const auto& it : aPool.mShares) {
      guarantees[it.mOwner] = it.mResources;
    }
    for (const auto* it : mServicesByPool[aPool.mName]) {
      const Resources reserves = Multiply(it->mReserve, aPool.mWorkers);
      guarantees[it->mName] = Max(guarantees[it->mName], reserves);
    }
    return guarantees;
  }

  void CheckPool(const Pool& aPool)
  {
    CheckShares(aPool);
    if (mInvalidNames.count(aPool.mName) != 0) {
      return;
    }
    if (!Fits(mReserveByPool[aPool.mName], aPool.mWorkerCapacity)) {
      AddFinding(aPool,
                 "reserves of services exceed 'worker_capacity': " +
                   ToText(mReserveByPool[aPool.mName]));
      return;
    }
    const Resources size = Multiply(aPool.mWorkerCapacity, aPool.mWorkers);
    Resources guaranteed;
    for (const auto& it : CollectGuarantees(aPool)) {
      guaranteed += it.second;
      // Stopping at the first excess also keeps the sum from overflowing.
      if (!Fits(guaranteed, size)) {
        AddFinding(aPool,
                   "guaranteed resources exceed the pool size of " +
                     ToText(size) + ": including '" + it.first +
                     "', they total " + ToText(guaranteed));
        return;
      }
    }
  }

  // Reports each cycle once, at its first member by name.
  void CheckParent(const EvictionPolicy& aPolicy)
  {
    CheckReference<EvictionPolicy>(aPolicy, "parent", aPolicy.mParent);
    std::vector<std::string> path;
    std::set<std::string> onPath;
    const EvictionPolicy* policy = &aPolicy;
    while (policy != nullptr && mVisited.count(policy->mName) == 0) {
      mVisited.insert(policy->mName);
      onPath.insert(policy->mName);
      path.push_back(policy->mName);
      policy = mSet.FindAs<EvictionPolicy>(policy->mParent);
    }
    if (policy != nullptr && onPath.count(policy->mName) != 0) {
      AddCycleFinding(*policy, path);
    }
  }

  void AddCycleFinding(const EvictionPolicy& aStart,
                       const std::vector<std::string>& aPath)
  {
    std::string text = "'parent' forms a cycle: ";
    bool inCycle = false;
    for (const auto& it : aPath) {
      inCycle = inCycle || it == aStart.mName;
      if (inCycle) {
        text.append(it).append(" -> ");
        mCyclic.insert(it);
      }
    }
    AddFinding(aStart, text.append(aStart.mName));
  }

  void CheckDepth(const EvictionPolicy& aPolicy)
  {
    const EvictionPolicy* policy = &aPolicy;
    for (int i = 0; i <= kMaxAncestors && policy != nullptr; ++i) {
      policy = mSet.FindAs<EvictionPolicy>(policy->mParent);
      // The cycle has been reported already.
      if (policy != nullptr && mCyclic.count(policy->mName) != 0) {
        return;
      }
    }
    if (policy != nullptr) {
      AddFinding(aPolicy,
                 "'parent' chain has more than " +
                   std::to_string(kMaxAncestors) + " ancestors");
    }
  }

  void CheckThresholds(const EvictionPolicy& aPolicy)
  {
    if (mCyclic.count(aPolicy.mName) != 0) {
      return;
    }
    CheckDepth(aPolicy);
    const EvictionRules rules = ResolveEvictionRules(mSet, aPolicy.mName);
    if (rules.mThrottlePercent > rules.mEvictPercent) {
      AddFinding(
        aPolicy,
        "'throttle_percent' " + std::to_string(rules.mThrottlePercent) +
          " exceeds 'evict_percent' " + std::to_string(rules.mEvictPercent));
    }
    if (rules.mHysteresisPercent >= rules.mThrottlePercent) {
      AddFinding(aPolicy,
                 "'hysteresis_percent' " +
                   std::to_string(rules.mHysteresisPercent) +
                   " is not below 'throttle_percent' " +
                   std::to_string(rules.mThrottlePercent));
    }
  }

  void CheckTeam(const Team& aTeam)
  {
    for (const auto& it : aTeam.mBatchClasses) {
      CheckReference<BatchClass>(aTeam, "batch_classes", it);
    }
  }

  void CheckProfiles()
  {
    const Profile* first = nullptr;
    mSet.ForEach<Profile>([this, &first](const Profile& aProfile) {
      if (first != nullptr) {
        AddFinding(aProfile,
                   "a set has one profile; there is also '" + first->mName +
                     "'");
      } else {
        first = &aProfile;
      }
    });
  }

  const CatalogSet& mSet;
  const std::set<std::string>& mInvalidNames;
  std::vector<Finding> mFindings;
  std::map<std::string, std::vector<const Service*>> mServicesByPool;
  std::map<std::string, Resources> mReserveByPool;
  std::set<std::string> mVisited;
  std::set<std::string> mCyclic;
};

void
Append(std::vector<Finding>& aTo, std::vector<Finding> aFrom)
{
  for (auto& it : aFrom) {
    aTo.push_back(std::move(it));
  }
}

const base::JsonValue*
FindObjects(const base::JsonValue& aDocument, std::vector<Finding>& aFindings)
{
  base::JsonReader reader(aDocument);
  const base::JsonValue* objects = reader.GetMember("objects");
  reader.RejectUnknown();
  for (const auto& it : reader.Findings()) {
    aFindings.push_back({ "document", it });
  }
  if (objects == nullptr || objects->category() != base::JsonValue::Array) {
    aFindings.push_back({ "document", "'objects' must be a list" });
    return nullptr;
  }
  return objects;
}

/// Reads all objects. Adds the names of objects with findings to
/// `aInvalidNames`.
SetReadResult
ReadObjects(const base::JsonValue& aDocument,
            std::set<std::string>& aInvalidNames)
{
  SetReadResult result;
  const base::JsonValue* objects = FindObjects(aDocument, result.mFindings);
  if (objects == nullptr) {
    return result;
  }
  std::int64_t position = 0;
  for (const auto& it : *objects) {
    const std::string where = "object " + std::to_string(++position);
    ObjectReadResult object = ReadObject(it, where);
    if (object.mObject) {
      const std::string name = NameOf(*object.mObject);
      if (!object.mFindings.empty()) {
        aInvalidNames.insert(name);
      }
      if (const Object* first = result.mSet.Find(name)) {
        object.mFindings.push_back(
          { Describe(*object.mObject),
            "duplicate name: " + where + " repeats " + Describe(*first) });
      } else {
        result.mSet.Put(std::move(*object.mObject));
      }
    }
    Append(result.mFindings, std::move(object.mFindings));
  }
  return result;
}

base::Result<CatalogSet>
ToResult(SetReadResult aResult)
{
  if (!aResult.mFindings.empty()) {
    return base::MakeError(base::ErrorKind::InvalidSet,
                           JoinFindings(aResult.mFindings));
  }
  return std::move(aResult.mSet);
}

} // namespace

std::vector<Finding>
CheckSet(const CatalogSet& aSet)
{
  return SetChecker(aSet, {}).Check();
}

SetReadResult
ReadSet(const base::JsonValue& aDocument)
{
  std::set<std::string> invalidNames;
  SetReadResult result = ReadObjects(aDocument, invalidNames);
  Append(result.mFindings, SetChecker(result.mSet, invalidNames).Check());
  return result;
}

base::Result<SetReadResult>
ReadSet(std::string_view aText)
{
  const auto document = base::ParseJson(aText);
  if (document.has_error()) {
    return document.error();
  }
  return ReadSet(document.value());
}

base::Result<CatalogSet>
ParseSet(const base::JsonValue& aDocument)
{
  return ToResult(ReadSet(aDocument));
}

base::Result<CatalogSet>
ParseSet(std::string_view aText)
{
  const auto document = base::ParseJson(aText);
  if (document.has_error()) {
    return document.error();
  }
  return ParseSet(document.value());
}

base::Result<CatalogSet>
ParseSetWithoutRelationChecks(const base::JsonValue& aDocument)
{
  std::set<std::string> invalidNames;
  return ToResult(ReadObjects(aDocument, invalidNames));
}

EvictionRules
ResolveEvictionRules(const CatalogSet& aSet, std::string_view aPolicy)
{
  EvictionRules rules;
  std::optional<EvictionKind> kind;
  std::optional<std::int64_t> throttle;
  std::optional<std::int64_t> evict;
  std::optional<std::int64_t> hysteresis;
  const auto* policy = aSet.FindAs<EvictionPolicy>(aPolicy);
  for (int i = 0; i <= kMaxAncestors && policy != nullptr; ++i) {
    kind = kind ? kind : policy->mKind;
    throttle = throttle ? throttle : policy->mThrottlePercent;
    evict = evict ? evict : policy->mEvictPercent;
    hysteresis = hysteresis ? hysteresis : policy->mHysteresisPercent;
    policy = aSet.FindAs<EvictionPolicy>(policy->mParent);
  }
  rules.mKind = kind.value_or(rules.mKind);
  rules.mThrottlePercent = throttle.value_or(rules.mThrottlePercent);
  rules.mEvictPercent = evict.value_or(rules.mEvictPercent);
  rules.mHysteresisPercent = hysteresis.value_or(rules.mHysteresisPercent);
  return rules;
}

base::Resources
BatchCapacityPerWorker(const CatalogSet& aSet, std::string_view aPool)
{
  const auto* pool = aSet.FindAs<Pool>(aPool);
  if (pool == nullptr) {
    return {};
  }
  Resources available = pool->mWorkerCapacity;
  aSet.ForEach<Service>([&available, aPool](const Service& aService) {
    if (aService.mPool == aPool) {
      available -= aService.mReserve;
    }
  });
  return Max(available, {});
}

} // namespace skylarkhill::catalog
