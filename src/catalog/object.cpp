#include "skylarkhill/catalog/object.hpp"

#include "skylarkhill/base/name_table.hpp"

#include <algorithm>

namespace skylarkhill::catalog {

namespace {

constexpr base::NameTable<ObjectKind, 6> kObjectKindNames{ {
  { ObjectKind::Service, "service" },
  { ObjectKind::BatchClass, "batch_class" },
  { ObjectKind::Pool, "pool" },
  { ObjectKind::EvictionPolicy, "eviction_policy" },
  { ObjectKind::Team, "team" },
  { ObjectKind::Profile, "profile" },
} };

constexpr base::NameTable<EvictionKind, 2> kEvictionKindNames{ {
  { EvictionKind::None, "none" },
  { EvictionKind::ThrottleThenEvict, "throttle_then_evict" },
} };

constexpr base::NameTable<PlacementKind, 2> kPlacementKindNames{ {
  { PlacementKind::FirstFit, "first_fit" },
  { PlacementKind::InterferenceAware, "interference_aware" },
} };

constexpr base::NameTable<QueueKind, 2> kQueueKindNames{ {
  { QueueKind::Fifo, "fifo" },
  { QueueKind::FairMultilevel, "fair_multilevel" },
} };

constexpr base::NameTable<Preset, 2> kPresetNames{ {
  { Preset::Throughput, "throughput" },
  { Preset::Tail, "tail" },
} };

constexpr std::size_t kMaxNameLength = 64;
// The product of each of these limits and kMaxWorkers fits into 64 bits.
constexpr std::int64_t kMaxMilliProcessors = 1'000'000;
constexpr std::int64_t kMaxMemoryBytes = std::int64_t(1) << 44; // 16 TiB
constexpr std::int64_t kMaxAccelerators = 1'000;
constexpr std::int64_t kMaxWorkers = 100'000;
constexpr std::int64_t kMaxImportance = 100;
constexpr std::int64_t kMaxQueueLimit = 1'000'000;
constexpr std::int64_t kMaxTargetLatencyMs = 600'000;
// Standing requests are held open for a long time, up to 7 days here. The entry
// instance accepts request deadlines of up to one hour only.
constexpr std::int64_t kMaxDeadlineMs = 7LL * 24 * 3600 * 1000;
constexpr std::int64_t kMaxAttempts = 10;
constexpr std::int64_t kMaxRunSeconds = 30LL * 24 * 3600;
constexpr std::int64_t kMaxEvictions = 100;
// Throttle and eviction thresholds are in percent of the service time without
// interference, so they must be above 100.
constexpr std::int64_t kMinSlowdownPercent = 101;
constexpr std::int64_t kMaxSlowdownPercent = 1'000;
constexpr std::int64_t kMaxWeight = 1'000;

constexpr base::Resources kMaxWorkerResources{ kMaxMilliProcessors,
                                               kMaxMemoryBytes,
                                               kMaxAccelerators };
constexpr base::Resources kMaxPoolResources{ kMaxMilliProcessors * kMaxWorkers,
                                             kMaxMemoryBytes* kMaxWorkers,
                                             kMaxAccelerators* kMaxWorkers };

/// Reads the members of a JSON object and collects its problems and those of
/// nested objects.
class ObjectReader
{
public:
  explicit ObjectReader(const base::JsonValue& aValue)
    : mReader(aValue)
  {
  }

  std::string Name(std::string_view aKey)
  {
    std::string name = mReader.GetString(aKey);
    if (mReader.GetMember(aKey) != nullptr) {
      CheckName(aKey, name);
    }
    return name;
  }

  std::string OptionalName(std::string_view aKey)
  {
    return mReader.GetMember(aKey) == nullptr ? std::string() : Name(aKey);
  }

  std::vector<std::string> Names(std::string_view aKey)
  {
    std::vector<std::string> names = mReader.GetStrings(aKey);
    for (const auto& it : names) {
      CheckName(aKey, it);
    }
    auto sorted = names;
    std::sort(sorted.begin(), sorted.end());
    const auto repeated = std::adjacent_find(sorted.begin(), sorted.end());
    if (repeated != sorted.end()) {
      AddFinding(aKey, "lists '" + *repeated + "' twice");
    }
    return names;
  }

  Selection Select(std::string_view aKey)
  {
    Selection selection;
    const base::JsonValue* member = mReader.GetMember(aKey);
    if (member == nullptr) {
      return selection;
    }
    if (member->category() != base::JsonValue::Array) {
      if (mReader.GetString(aKey) != "all") {
        AddFinding(aKey, "must be \"all\" or a list of names");
      }
      return selection;
    }
    selection.mAll = false;
    selection.mNames = Names(aKey);
    if (selection.mNames.empty()) {
      AddFinding(aKey, "must not be empty");
    }
    return selection;
  }

  std::int64_t Int(std::string_view aKey,
                   std::int64_t aDefault,
                   std::int64_t aLow,
                   std::int64_t aHigh)
  {
    return CheckRange(aKey, mReader.GetInt(aKey, aDefault), aLow, aHigh);
  }

  std::int64_t Int(std::string_view aKey, std::int64_t aLow, std::int64_t aHigh)
  {
    return CheckRange(aKey, mReader.GetInt(aKey), aLow, aHigh);
  }

  std::optional<std::int64_t> OptionalInt(std::string_view aKey,
                                          std::int64_t aLow,
                                          std::int64_t aHigh)
  {
    if (mReader.GetMember(aKey) == nullptr) {
      return std::nullopt;
    }
    return Int(aKey, aLow, aHigh);
  }

  bool Bool(std::string_view aKey, bool aDefault)
  {
    return mReader.GetBool(aKey, aDefault);
  }

  template<typename Enum, std::size_t N>
  std::optional<Enum> OptionalEnum(std::string_view aKey,
                                   const base::NameTable<Enum, N>& aTable)
  {
    if (mReader.GetMember(aKey) == nullptr) {
      return std::nullopt;
    }
    const std::string name = mReader.GetString(aKey);
    const auto value = base::FindValue(aTable, name);
    if (!value) {
      std::string known;
      for (const auto& it : aTable) {
        known.append(known.empty() ? "" : ", ").append(it.mName);
      }
      AddFinding(aKey, "must be one of " + known);
    }
    return value;
  }

  template<typename Enum, std::size_t N>
  Enum RequiredEnum(std::string_view aKey,
                    const base::NameTable<Enum, N>& aTable)
  {
    if (mReader.GetMember(aKey) == nullptr) {
      AddFinding(aKey, "is missing");
    }
    return OptionalEnum(aKey, aTable).value_or(aTable.front().mValue);
  }

  base::Resources OptionalResources(std::string_view aKey,
                                    const base::Resources& aMax)
  {
    const base::JsonValue* member = mReader.GetMember(aKey);
    if (member == nullptr) {
      return {};
    }
    ObjectReader nested(*member);
    base::Resources resources;
    resources.mMilliProcessors =
      nested.Int("milli_processors", 0, 0, aMax.mMilliProcessors);
    resources.mMemoryBytes =
      nested.Int("memory_bytes", 0, 0, aMax.mMemoryBytes);
    resources.mAccelerators =
      nested.Int("accelerators", 0, 0, aMax.mAccelerators);
    MergeFindings(aKey, std::move(nested));
    return resources;
  }

  /// Like OptionalResources, but the member must be present and include
  /// processors and memory.
  base::Resources RequiredResources(std::string_view aKey,
                                    const base::Resources& aMax)
  {
    const base::Resources resources = OptionalResources(aKey, aMax);
    if (mReader.GetMember(aKey) == nullptr) {
      AddFinding(aKey, "is missing");
    } else if (resources.mMilliProcessors == 0 || resources.mMemoryBytes == 0) {
      AddFinding(aKey, "must have processors and memory");
    }
    return resources;
  }

  std::vector<Share> Shares(std::string_view aKey)
  {
    std::vector<Share> shares;
    const base::JsonValue* member = mReader.GetMember(aKey);
    if (member == nullptr) {
      return shares;
    }
    if (member->category() != base::JsonValue::Array) {
      AddFinding(aKey, "must be a list");
      return shares;
    }
    for (const auto& it : *member) {
      ObjectReader nested(it);
      Share share;
      share.mOwner = nested.Name("for");
      share.mResources =
        nested.OptionalResources("resources", kMaxPoolResources);
      MergeFindings(aKey, std::move(nested));
      shares.push_back(std::move(share));
    }
    return shares;
  }

  void AddFinding(std::string_view aKey, std::string_view aProblem)
  {
    std::string problem = "'";
    problem.append(aKey).append("' ").append(aProblem);
    mProblems.push_back(std::move(problem));
  }

  /// All problems, including members that are not known.
  std::vector<std::string> CollectProblems()
  {
    mReader.RejectUnknown();
    std::vector<std::string> problems = mReader.Findings();
    problems.insert(problems.end(), mProblems.begin(), mProblems.end());
    return problems;
  }

private:
  std::int64_t CheckRange(std::string_view aKey,
                          std::int64_t aValue,
                          std::int64_t aLow,
                          std::int64_t aHigh)
  {
    if (aValue < aLow || aValue > aHigh) {
      AddFinding(aKey,
                 "must be between " + std::to_string(aLow) + " and " +
                   std::to_string(aHigh));
    }
    // Keeps the later checks of relations between objects from overflowing.
    return std::clamp(aValue, aLow, aHigh);
  }

  void CheckName(std::string_view aKey, std::string_view aName)
  {
    constexpr std::string_view kAllowed = "abcdefghijklmnopqrstuvwxyz"
                                          "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                          "0123456789._-";
    if (aName.empty() || aName.size() > kMaxNameLength ||
        aName.find_first_not_of(kAllowed) != std::string_view::npos) {
      AddFinding(
        aKey, "must have 1 to 64 letters, digits, dots, dashes, underscores");
    }
  }

  void MergeFindings(std::string_view aKey, ObjectReader aNested)
  {
    for (const auto& it : aNested.CollectProblems()) {
      AddFinding(aKey, "is invalid: " + it);
    }
  }

  base::JsonReader mReader;
  std::vector<std::string> mProblems;
};

Service
ReadService(ObjectReader& aReader)
{
  Service service;
  service.mPool = aReader.Name("pool");
  service.mImportance =
    aReader.Int("importance", service.mImportance, 0, kMaxImportance);
  service.mIdempotent = aReader.Bool("idempotent", service.mIdempotent);
  service.mReserve = aReader.OptionalResources("reserve", kMaxWorkerResources);
  service.mQueueLimit =
    aReader.Int("queue_limit", service.mQueueLimit, 1, kMaxQueueLimit);
  service.mTargetLatencyMs = aReader.Int(
    "target_latency_ms", service.mTargetLatencyMs, 1, kMaxTargetLatencyMs);
  service.mDefaultDeadlineMs = aReader.Int(
    "default_deadline_ms", service.mDefaultDeadlineMs, 1, kMaxDeadlineMs);
  service.mMaxAttempts =
    aReader.Int("max_attempts", service.mMaxAttempts, 1, kMaxAttempts);
  if (service.mDefaultDeadlineMs < service.mTargetLatencyMs) {
    aReader.AddFinding("default_deadline_ms", "is below 'target_latency_ms'");
  }
  return service;
}

BatchClass
ReadBatchClass(ObjectReader& aReader)
{
  BatchClass batch;
  batch.mPool = aReader.Name("pool");
  batch.mEvictionPolicy = aReader.OptionalName("eviction_policy");
  batch.mDefaultResources =
    aReader.RequiredResources("default_resources", kMaxWorkerResources);
  batch.mDefaultRunSeconds = aReader.Int(
    "default_run_seconds", batch.mDefaultRunSeconds, 1, kMaxRunSeconds);
  batch.mMaxEvictions =
    aReader.Int("max_evictions", batch.mMaxEvictions, 0, kMaxEvictions);
  batch.mUrgentAllowed = aReader.Bool("urgent_allowed", batch.mUrgentAllowed);
  return batch;
}

Pool
ReadPool(ObjectReader& aReader)
{
  Pool pool;
  pool.mDomains = aReader.Select("domains");
  pool.mRacks = aReader.Select("racks");
  pool.mWorkerCapacity =
    aReader.RequiredResources("worker_capacity", kMaxWorkerResources);
  pool.mWorkers = aReader.Int("workers", 1, kMaxWorkers);
  pool.mShares = aReader.Shares("shares");
  return pool;
}

EvictionPolicy
ReadEvictionPolicy(ObjectReader& aReader)
{
  EvictionPolicy policy;
  policy.mParent = aReader.OptionalName("parent");
  policy.mKind = aReader.OptionalEnum("policy", kEvictionKindNames);
  policy.mThrottlePercent = aReader.OptionalInt(
    "throttle_percent", kMinSlowdownPercent, kMaxSlowdownPercent);
  policy.mEvictPercent = aReader.OptionalInt(
    "evict_percent", kMinSlowdownPercent, kMaxSlowdownPercent);
  policy.mHysteresisPercent =
    aReader.OptionalInt("hysteresis_percent", 0, kMaxSlowdownPercent);
  if (policy.mParent.empty() && !policy.mKind) {
    aReader.AddFinding("policy", "is missing and there is no 'parent'");
  }
  return policy;
}

Team
ReadTeam(ObjectReader& aReader)
{
  Team team;
  team.mQuota = aReader.RequiredResources("quota", kMaxPoolResources);
  team.mWeight = aReader.Int("weight", team.mWeight, 1, kMaxWeight);
  team.mBatchClasses = aReader.Names("batch_classes");
  return team;
}

Profile
ReadProfile(ObjectReader& aReader)
{
  Profile profile;
  profile.mPreset = aReader.RequiredEnum("preset", kPresetNames);
  profile.mPlacement = aReader.OptionalEnum("placement", kPlacementKindNames)
                         .value_or(profile.mPlacement);
  profile.mQueue =
    aReader.OptionalEnum("queue", kQueueKindNames).value_or(profile.mQueue);
  profile.mEviction = aReader.OptionalEnum("eviction", kEvictionKindNames)
                        .value_or(profile.mEviction);
  return profile;
}

Object
ReadMembers(ObjectKind aKind, ObjectReader& aReader)
{
  switch (aKind) {
    case ObjectKind::Service:
      return ReadService(aReader);
    case ObjectKind::BatchClass:
      return ReadBatchClass(aReader);
    case ObjectKind::Pool:
      return ReadPool(aReader);
    case ObjectKind::EvictionPolicy:
      return ReadEvictionPolicy(aReader);
    case ObjectKind::Team:
      return ReadTeam(aReader);
    case ObjectKind::Profile:
      break;
  }
  return ReadProfile(aReader);
}

} // namespace

bool
Selection::Contains(std::string_view aName) const
{
  return mAll || std::find(mNames.begin(), mNames.end(), aName) != mNames.end();
}

std::string_view
NameOf(ObjectKind aKind)
{
  return base::FindName(kObjectKindNames, aKind);
}

std::string_view
NameOf(EvictionKind aKind)
{
  return base::FindName(kEvictionKindNames, aKind);
}

std::string_view
NameOf(PlacementKind aKind)
{
  return base::FindName(kPlacementKindNames, aKind);
}

std::string_view
NameOf(QueueKind aKind)
{
  return base::FindName(kQueueKindNames, aKind);
}

std::string_view
NameOf(Preset aPreset)
{
  return base::FindName(kPresetNames, aPreset);
}

ObjectKind
KindOf(const Object& aObject)
{
  return static_cast<ObjectKind>(aObject.index());
}

const std::string&
NameOf(const Object& aObject)
{
  return std::visit(
    [](const auto& aAlternative) -> const std::string& {
      return aAlternative.mName;
    },
    aObject);
}

std::string
Describe(const Object& aObject)
{
  std::string text(NameOf(KindOf(aObject)));
  return text.append(" '").append(NameOf(aObject)).append("'");
}

ObjectReadResult
ReadObject(const base::JsonValue& aValue, const std::string& aWhere)
{
  ObjectReadResult result;
  ObjectReader reader(aValue);
  const auto kind = reader.OptionalEnum("kind", kObjectKindNames);
  const std::string name = reader.Name("name");
  std::string where = aWhere;
  std::vector<std::string> problems;
  if (kind) {
    Object object = ReadMembers(*kind, reader);
    std::visit([&name](auto& aAlternative) { aAlternative.mName = name; },
               object);
    problems = reader.CollectProblems();
    if (!name.empty()) {
      where = Describe(object);
      result.mObject = std::move(object);
    }
  } else if (aValue.category() != base::JsonValue::Object) {
    problems.emplace_back("is not an object");
  } else {
    // The other members are not checked: without a kind, all would be reported
    // as unknown.
    problems.emplace_back("'kind' is missing or unknown");
  }
  for (auto& it : problems) {
    result.mFindings.push_back({ where, std::move(it) });
  }
  return result;
}

base::Result<Object>
ParseObject(const base::JsonValue& aValue)
{
  ObjectReadResult result = ReadObject(aValue, "object");
  if (!result.mFindings.empty() || !result.mObject) {
    return base::MakeError(base::ErrorKind::InvalidSet,
                           JoinFindings(result.mFindings));
  }
  return std::move(*result.mObject);
}

std::string
JoinFindings(const std::vector<Finding>& aFindings)
{
  std::string text;
  for (const auto& it : aFindings) {
    text.append(text.empty() ? "" : "\n");
    text.append(it.mObject).append(": ").append(it.mProblem);
  }
  return text;
}

} // namespace skylarkhill::catalog
