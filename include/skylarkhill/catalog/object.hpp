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

/// The kinds of catalog objects, in the order of the alternatives of Object.
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

/// The placement policies that a profile can name; see Profile.
enum class PlacementKind
{
  FirstFit,
  InterferenceAware,
};

/// The queue policies that a profile can name; see Profile.
enum class QueueKind
{
  Fifo,
  FairMultilevel,
};

/// What a profile optimizes: the throughput of batch work or the tail latency
/// of services.
enum class Preset
{
  Throughput,
  Tail,
};

/// A latency-critical service.
struct Service
{
  std::string mName;
  std::string mPool;
  /// 0 to 100; more important services are served first.
  std::int64_t mImportance = 50;
  /// Default for requests that do not declare whether they are idempotent.
  bool mIdempotent = false;
  /// Resources kept free of batch work on every worker of the pool.
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
  /// For tasks that declare no resources.
  base::Resources mDefaultResources;
  std::int64_t mDefaultRunSeconds = 600;
  std::int64_t mMaxEvictions = 3;
  bool mUrgentAllowed = false;
};

/// A selection of all names or of a list of names.
struct Selection
{
  bool mAll = true;
  /// Used only if mAll is false.
  std::vector<std::string> mNames;

  bool Contains(std::string_view aName) const;
};

/// Part of a pool that is guaranteed to a service or a batch class.
struct Share
{
  /// Name of the service or batch class.
  std::string mOwner;
  base::Resources mResources;
};

/// A pool of workers of the same size.
struct Pool
{
  std::string mName;
  Selection mDomains;
  Selection mRacks;
  base::Resources mWorkerCapacity;
  std::int64_t mWorkers = 0;
  std::vector<Share> mShares;
};

/// When to throttle and evict batch tasks. Absent members are inherited from
/// the parent.
struct EvictionPolicy
{
  std::string mName;
  std::string mParent;
  std::optional<EvictionKind> mKind;
  /// Thresholds of the service time, in percent of the service time without
  /// interference, at which colocated batch tasks are throttled or evicted;
  /// above 100.
  std::optional<std::int64_t> mThrottlePercent;
  std::optional<std::int64_t> mEvictPercent;
  /// Percentage points below the threshold at which throttling ends.
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

/// The scheduling policies of the site. The entry instance selects its policies
/// by the preset; the other policies are stored but have no effect.
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

/// A problem of an object.
struct Finding
{
  /// Kind and name of the object, or its position in the document.
  std::string mObject;
  std::string mProblem;
};

/// An object read from JSON, with all problems that were found.
struct ObjectReadResult
{
  /// Present if the kind and the name are known, even if there are findings.
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

/// Reads one object. `aWhere` identifies it in findings if its kind or name is
/// unknown.
ObjectReadResult
ReadObject(const base::JsonValue& aValue, const std::string& aWhere);

/// Reads one object that must have no findings. InvalidSet with all findings.
base::Result<Object>
ParseObject(const base::JsonValue& aValue);

/// Formats the object as canonical JSON: members in a fixed order, defaults
/// included.
base::JsonValue
FormatObject(const Object& aObject);

/// Joins the findings, one per line.
std::string
JoinFindings(const std::vector<Finding>& aFindings);

} // namespace skylarkhill::catalog

#endif // SKYLARKHILL_CATALOG_OBJECT_HPP
