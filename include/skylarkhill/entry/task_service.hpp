#ifndef SKYLARKHILL_ENTRY_TASK_SERVICE_HPP
#define SKYLARKHILL_ENTRY_TASK_SERVICE_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/error.hpp"
#include "skylarkhill/base/json.hpp"
#include "skylarkhill/entry/config_service.hpp"
#include "skylarkhill/entry/instruments.hpp"
#include "skylarkhill/journal/journal_service.hpp"
#include "skylarkhill/journal/site_state.hpp"
#include "skylarkhill/tasks/task_snapshot.hpp"

#include <optional>
#include <string>

namespace skylarkhill::entry {

/// A caller's request to run a task. Resources and run time default to those of
/// the batch class.
struct TaskSubmission
{
  std::string mKey;
  std::string mTeam;
  std::string mBatchClass;
  std::string mCaller;
  std::optional<base::Resources> mResources;
  std::optional<std::int64_t> mRunSeconds;
  bool mUrgent = false;
  std::string mPayload;
};

/// Parses a submission. InvalidArgument lists all problems.
base::Result<TaskSubmission>
ParseSubmission(const base::JsonValue& aValue);

/// Makes the specification of the submitted task. Errors: NotFound,
/// InvalidArgument, Infeasible, QuotaExceeded.
base::Result<tasks::TaskSpec>
MakeTaskSpec(const TaskSubmission& aSubmission,
             const catalog::CatalogSet& aSet);

/// Submissions, cancellations and lookups of tasks. Thread-safe.
class TaskService
{
public:
  /// The references must outlive the service.
  TaskService(const base::Clock& aClock,
              const ConfigService& aConfig,
              journal::JournalService& aJournal,
              const journal::SiteState& aState,
              const Instruments& aInstruments);

  /// Returns once the task is in the log. If the key was submitted before,
  /// returns the task that was accepted first. Errors of MakeTaskSpec;
  /// LogUnavailable: not accepted; AnswerLost: may have been accepted.
  base::Result<tasks::TaskSnapshot> Submit(const TaskSubmission& aSubmission,
                                           base::TimePoint aDeadline);

  /// Requests the cancellation and waits until the task has ended, cancelled or
  /// not, or until `aDeadline`. Errors: NotFound, Unauthorized, LogUnavailable,
  /// AnswerLost.
  base::Result<tasks::TaskSnapshot> Cancel(const base::TaskId& aTask,
                                           const std::string& aCaller,
                                           bool aIsOperator,
                                           base::TimePoint aDeadline);

  /// Errors: NotFound if there is no such task.
  base::Result<tasks::TaskSnapshot> Find(const base::TaskId& aTask) const;

private:
  const base::Clock& mClock;
  const ConfigService& mConfig;
  journal::JournalService& mJournal;
  const journal::SiteState& mState;
  const Instruments mInstruments;
};

} // namespace skylarkhill::entry

#endif // SKYLARKHILL_ENTRY_TASK_SERVICE_HPP
