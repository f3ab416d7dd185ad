#include "skylarkhill/entry/task_service.hpp"

#include "skylarkhill/catalog/check.hpp"
#include "skylarkhill/tasks/task_names.hpp"

#include <algorithm>
#include <thread>
#include <utility>

namespace skylarkhill::entry {

using base::ErrorKind;
using base::MakeError;
using timeline::EventKind;

namespace {

constexpr base::Duration kEndCheckInterval = std::chrono::milliseconds(20);
constexpr std::size_t kMaxKeyBytes = 128;

bool
IsValidKey(const std::string& aText)
{
  return !aText.empty() && aText.size() <= kMaxKeyBytes &&
         std::all_of(aText.begin(), aText.end(), [](char aByte) {
           return (aByte >= 'a' && aByte <= 'z') ||
                  (aByte >= 'A' && aByte <= 'Z') ||
                  (aByte >= '0' && aByte <= '9') ||
                  std::string_view("-_.").find(aByte) != std::string_view::npos;
         });
}

std::optional<base::Resources>
ParseResources(base::JsonReader& aReader)
{
  const bool isPresent = aReader.GetMember("milli_processors") != nullptr ||
                         aReader.GetMember("memory_bytes") != nullptr ||
                         aReader.GetMember("accelerators") != nullptr;
  const base::Resources resources{ aReader.GetInt("milli_processors", 0),
                                   aReader.GetInt("memory_bytes", 0),
                                   aReader.GetInt("accelerators", 0) };
  return isPresent ? std::make_optional(resources) : std::nullopt;
}

bool
HasEnded(tasks::TaskState aState)
{
  return aState == tasks::TaskState::Completed ||
         aState == tasks::TaskState::Cancelled ||
         aState == tasks::TaskState::Failed ||
         aState == tasks::TaskState::Quarantined;
}

} // namespace

base::Result<TaskSubmission>
ParseSubmission(const base::JsonValue& aValue)
{
  base::JsonReader reader(aValue, "task");
  TaskSubmission submission;
  submission.mKey = reader.GetString("key");
  submission.mTeam = reader.GetString("team");
  submission.mBatchClass = reader.GetString("class");
  submission.mCaller = reader.GetString("caller", "");
  submission.mResources = ParseResources(reader);
  if (reader.GetMember("run_seconds") != nullptr) {
    submission.mRunSeconds = reader.GetInt("run_seconds");
  }
  submission.mUrgent = reader.GetBool("urgent", false);
  submission.mPayload = reader.GetString("payload", "{}");
  reader.RejectUnknown();
  BOOST_OUTCOME_TRYV(reader.Check());
  if (!IsValidKey(submission.mKey)) {
    return MakeError(ErrorKind::InvalidArgument,
                     "key must be 1 to 128 letters, digits, '-', '_' or '.'");
  }
  return submission;
}

base::Result<tasks::TaskSpec>
MakeTaskSpec(const TaskSubmission& aSubmission, const catalog::CatalogSet& aSet)
{
  const auto* team = aSet.FindAs<catalog::Team>(aSubmission.mTeam);
  const auto* batchClass =
    aSet.FindAs<catalog::BatchClass>(aSubmission.mBatchClass);
  if (team == nullptr || batchClass == nullptr) {
    return MakeError(ErrorKind::NotFound,
                     team == nullptr
                       ? "no team '" + aSubmission.mTeam + "'"
                       : "no batch class '" + aSubmission.mBatchClass + "'");
  }
  const auto& allowed = team->mBatchClasses;
  if (std::find(allowed.begin(), allowed.end(), batchClass->mName) ==
      allowed.end()) {
    return MakeError(ErrorKind::InvalidArgument,
                     "team may not use batch class '" + batchClass->mName +
                       "'");
  }
  if (aSubmission.mUrgent && !batchClass->mUrgentAllowed) {
    return MakeError(ErrorKind::InvalidArgument,
                     "batch class does not allow urgent tasks");
  }
  tasks::TaskSpec spec;
  spec.mTask.mValue = team->mName + "." + aSubmission.mKey;
  spec.mJob.mValue = spec.mTask.mValue;
  spec.mTeam = team->mName;
  spec.mBatchClass = batchClass->mName;
  spec.mPool = batchClass->mPool;
  spec.mCaller = aSubmission.mCaller;
  spec.mDeclared =
    aSubmission.mResources.value_or(batchClass->mDefaultResources);
  spec.mDeclaredRunSeconds =
    aSubmission.mRunSeconds.value_or(batchClass->mDefaultRunSeconds);
  spec.mUrgent = aSubmission.mUrgent;
  spec.mPayload = aSubmission.mPayload;
  if (!base::IsNonNegative(spec.mDeclared) ||
      spec.mDeclared.mMilliProcessors == 0) {
    return MakeError(
      ErrorKind::InvalidArgument,
      "resources must not be negative; milli_processors must not be 0");
  }
  if (!base::Fits(spec.mDeclared,
                  catalog::BatchCapacityPerWorker(aSet, batchClass->mPool))) {
    return MakeError(ErrorKind::Infeasible,
                     "no worker of pool '" + batchClass->mPool +
                       "' is large enough for the task");
  }
  if (!base::Fits(spec.mDeclared, team->mQuota)) {
    return MakeError(ErrorKind::QuotaExceeded,
                     "the task alone exceeds the quota of its team");
  }
  return spec;
}

TaskService::TaskService(const base::Clock& aClock,
                         const ConfigService& aConfig,
                         journal::JournalService& aJournal,
                         const journal::SiteState& aState,
                         const Instruments& aInstruments)
  : mClock(aClock)
  , mConfig(aConfig)
  , mJournal(aJournal)
  , mState(aState)
  , mInstruments(aInstruments)
{
}

base::Result<tasks::TaskSnapshot>
TaskService::Submit(const TaskSubmission& aSubmission,
                    base::TimePoint aDeadline)
{
  const ConfigView config = mConfig.Current();
  BOOST_OUTCOME_TRY(spec, MakeTaskSpec(aSubmission, *config.mSet));
  const auto offset = mJournal.Submit(
    { tasks::TaskRecord{ tasks::AcceptRecord{ spec } } }, aDeadline);
  if (!offset) {
    timeline::Event event;
    event.mKind = EventKind::TaskRefused;
    event.mTask = spec.mTask;
    event.mDetail = base::NameOf(offset.error().mKind);
    mInstruments.mTimeline.Record(std::move(event));
    return offset.error();
  }
  timeline::Event event;
  event.mKind = EventKind::TaskAccepted;
  event.mTask = spec.mTask;
  mInstruments.mTimeline.Record(std::move(event));
  return Find(spec.mTask);
}

base::Result<tasks::TaskSnapshot>
TaskService::Cancel(const base::TaskId& aTask,
                    const std::string& aCaller,
                    bool aIsOperator,
                    base::TimePoint aDeadline)
{
  BOOST_OUTCOME_TRY(task, Find(aTask));
  if (!aIsOperator && task.mSpec.mCaller != aCaller) {
    return MakeError(ErrorKind::Unauthorized,
                     "the task belongs to another caller");
  }
  if (HasEnded(task.mState)) {
    return task;
  }
  BOOST_OUTCOME_TRYV(mJournal.Submit(
    { tasks::TaskRecord{ tasks::CancelRecord{ aTask, aCaller } } }, aDeadline));
  while (mClock.Now() < aDeadline) {
    BOOST_OUTCOME_TRY(current, Find(aTask));
    if (HasEnded(current.mState)) {
      return current;
    }
    std::this_thread::sleep_for(kEndCheckInterval);
  }
  return Find(aTask);
}

base::Result<tasks::TaskSnapshot>
TaskService::Find(const base::TaskId& aTask) const
{
  auto task = mState.FindTask(aTask);
  if (!task) {
    return MakeError(ErrorKind::NotFound, "no task '" + aTask.mValue + "'");
  }
  return std::move(*task);
}

} // namespace skylarkhill::entry
