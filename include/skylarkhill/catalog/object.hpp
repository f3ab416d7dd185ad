#ifndef SKYLARKHILL_CATALOG_OBJECT_HPP
#define SKYLARKHILL_CATALOG_OBJECT_HPP

#include "skylarkhill/base/error.hpp"
#include "skylarkhill/base/json.hpp"
#include "skylarkhill/base/resources.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace skylarkhill::catalog {

/// The kinds of published objects, in the order of the alternatives of Object.
enum class ObjectKind
{
  Service,
  BatchClass,
  Pool,
  EvictionPolicy,
  Team,
  Profile,
};

/// How an eviction policy protects latency-critical work.
enum class EvictionKind
{
  None,
  ThrottleThenEvict,
};

/// The placement policies that a profile selects from.
enum class PlacementKind
{
  FirstFit,
  InterferenceAware,
};

/// The queue policies that a profile selects from.
enum class QueueKind
{
  Fifo,
  FairMultilevel,
};

/// What a profile is tuned for.
enum class Preset
{
  Throughput,
  Tail,
};

/// Latency-critical work. Durations are in milliseconds.
struct Service
{
  std::string mName;
  std::string mPool;
  /// 0 to 100; more important services are served first.
  std::int64_t mImportance = 50;
  /// For requests that do not say themselves whether they are idempotent.
  bool mIdempotent = false;
  /// Kept free of batch work on every worker of the pool.
  base::Resources mReserve;
  std::int64_t mQueueLimit = 1000;
  std::int64_t mTargetLatencyMs = 100;
  std::int64_t mDefaultDeadlineMs = 1000;
  std::int64_t mMaxAttempts = 3;
};

/// A class of batch tasks.
struct BatchClass
{
  std::string mName;
  std::string mPool;
  /// Empty if tasks of the class are never throttled or evicted.
  std::string mEvictionPolicy;
  /// For tasks that declare nothing.
  base::Resources mDefaultResources;
  std::int64_t mDefaultRunSeconds = 600;
  std::int64_t mMaxEvictions = 3;
  bool mUrgentAllowed = false;
};

/// All names, or some.
struct Selection
{
  bool mAll = true;
  /// Meaningful unless mAll is set.
  std::vector<std::string> mNames;

  bool Contains(std::string_view aName) const;
};

/// Part of a pool promised to a service or a batch class.
struct Share
{
  std::string mOwner;
  base::Resources mResources;
};

/// Workers of the same size.
struct Pool
{
  std::string mName;
  Selection mDomains;
  Selection mRacks;
  base::Resources mWorkerCapacity;
  std::int64_t mWorkers = 0;
  std::vector<Share> mShares;
};

/// When to throttle and evict batch work. Absent members come from the parent.
struct EvictionPolicy
{
  std::string mName;
  std::string mParent;
  std::optional<EvictionKind> mKind;
  /// Service time in percent of an undisturbed worker's at which the batch
  /// tasks beside a service are throttled or evicted; above 100.
  std::optional<std::int64_t> mThrottlePercent;
  std::optional<std::int64_t> mEvictPercent;
  /// Percentage points below the threshold at which a measure ends.
  std::optional<std::int64_t> mHysteresisPercent;
};

/// A group of callers that shares a quota.
struct Team
{
  std::string mName;
  base::Resources mQuota;
  std::int64_t mWeight = 1;
  /// Names of the batch classes that the team may use.
  std::vector<std::string> mBatchClasses;
};

/// The policies in force at the site.
struct Profile
{
  std::string mName;
  Preset mPreset = Preset::Throughput;
  PlacementKind mPlacement = PlacementKind::InterferenceAware;
  QueueKind mQueue = QueueKind::FairMultilevel;
  EvictionKind mEviction = EvictionKind::ThrottleThenEvict;
};

using Object =
  std::variant<Service, BatchClass, Pool, EvictionPolicy, Team, Profile>;

/// One problem of one object.
struct Finding
{
  /// Kind and name, or the position in the document, of the object.
  std::string mObject;
  std::string mProblem;
};

/// An object read from JSON together with its problems.
struct ObjectReadResult
{
  /// Set if the kind and the name are known, even if there are findings.
  std::optional<Object> mObject;
  std::vector<Finding> mFindings;
};

std::string_view
NameOf(ObjectKind aKind);
std::string_view
NameOf(EvictionKind aKind);
std::string_view
NameOf(PlacementKind aKind);
std::string_view
NameOf(QueueKind aKind);
std::string_view
NameOf(Preset aPreset);

ObjectKind
KindOf(const Object& aObject);

const std::string&
NameOf(const Object& aObject);

/// Kind and name for messages, e.g. "pool 'rope'".
std::string
Describe(const Object& aObject);

/// Reads one object; `aWhere` names it in findings until its name is known.
ObjectReadResult
ReadObject(const base::JsonValue& aValue, const std::string& aWhere);

/// InvalidSet with all findings if there are any.
base::Result<Object>
ParseObject(const base::JsonValue& aValue);

/// Canonical JSON: every member, in a fixed order.
base::JsonValue
FormatObject(const Object& aObject);

/// All findings in one text, one per line.
std::string
JoinFindings(const std::vector<Finding>& aFindings);

} // namespace skylarkhill::catalog

#endif // SKYLARKHILL_CATALOG_OBJECT_HPP
