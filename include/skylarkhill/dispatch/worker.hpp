#ifndef SKYLARKHILL_DISPATCH_WORKER_HPP
#define SKYLARKHILL_DISPATCH_WORKER_HPP

#include "skylarkhill/base/resources.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace skylarkhill::dispatch {

/// One task of one occurrence of a job.
struct TaskId
{
  std::string mJobId;
  int mOccurrence = 0;
  int mStep = 0;
  int mIndex = 0;

  friend bool operator==(const TaskId& aLeft, const TaskId& aRight)
  {
    return std::tie(
             aLeft.mJobId, aLeft.mOccurrence, aLeft.mStep, aLeft.mIndex) ==
           std::tie(
             aRight.mJobId, aRight.mOccurrence, aRight.mStep, aRight.mIndex);
  }
};

/// The task in the form "JOB.OCCURRENCE.STEP.INDEX".
std::string
ToText(const TaskId& aTask);

/// Registry entry of a worker.
struct WorkerEntry
{
  std::string mId;
  std::string mPool;
  /// "IP:PORT".
  std::string mAddress;
  std::string mDomain;
  /// Rack of the worker, which is one of its labels; empty if it names none.
  std::string mRack;
  std::vector<std::string> mLabels;
  base::Resources mCapacity;
  bool mIsDraining = false;
  /// Minimum time until a draining worker leaves, as of the write of the entry.
  std::int64_t mRemainingMs = 0;
  /// Unix time at which this incarnation of the worker started.
  std::int64_t mIncarnationStartMs = 0;
};

/// A run that a worker reports as active.
struct ActiveRun
{
  TaskId mTask;
  int mRunNumber = 0;
  /// Latest checkpoint; empty if there is none.
  std::string mCheckpoint;
  /// Progress; a service task can serve once it is 100.
  int mProgressPercent = 0;
  /// Tail latency in ms for a service task, processors in use in thousandths
  /// for any other task. Negative if not reported.
  std::int64_t mTailLatencyOrUse = -1;
};

/// How a run ended.
enum class RunOutcome
{
  Done,
  Failed,
  Stopped,
  /// The lease on the worker expired.
  LeaseExpired,
  /// Another member of the gang ended.
  GangBroken,
  /// The other members of the gang did not start in time.
  GangIncomplete,
};

/// The stable name of `aOutcome`.
std::string_view
NameOf(RunOutcome aOutcome);

/// A run that has ended. The worker reports it until it is acknowledged.
struct EndedRun
{
  /// Sequence number among the ended runs of this incarnation, from 1.
  std::int64_t mSequence = 0;
  TaskId mTask;
  int mRunNumber = 0;
  RunOutcome mOutcome = RunOutcome::Failed;
  std::string mCheckpoint;
};

/// A worker's answer to a poll.
struct WorkerReport
{
  /// The worker's own clock.
  std::int64_t mClockMs = 0;
  /// Unix time at which the answering incarnation started.
  std::int64_t mIncarnationStartMs = 0;
  std::vector<ActiveRun> mActiveRuns;
  /// The oldest ones that have not been acknowledged.
  std::vector<EndedRun> mEndedRuns;
  /// The worker may have more ended runs than it has listed.
  bool mMayOmitEndedRuns = false;
};

/// Result of a start call.
enum class StartOutcome
{
  Started,
  NoRoom,
  /// The worker has ended or stopped a run with this number or a higher one.
  OldRun,
  /// The call arrived after its deadline.
  TooLate,
  /// The worker has seen a higher fencing token.
  Fenced,
  /// The ticket of the advice service is missing or has expired.
  TicketInvalid,
  /// The worker is unhealthy and has not started the run.
  Unhealthy,
  /// The worker refused the call as malformed or for an unknown reason.
  Rejected,
  /// The address belongs to another worker, which did not start the run.
  OtherWorker,
  /// The worker has restarted under its id. The call was not sent to the new
  /// incarnation.
  OtherIncarnation,
  /// The worker can be reached, but the deadline of the call passed before it
  /// was sent.
  DeadlinePassed,
  /// The worker was not reached before the call was sent.
  NotSent,
  /// No answer or an unexpected status; the run may still start until the
  /// deadline of the call.
  Unknown,
};

/// The stable name of `aOutcome`.
std::string_view
NameOf(StartOutcome aOutcome);

struct StartResult
{
  /// Tells of the last copy of the call only.
  StartOutcome mOutcome = StartOutcome::Unknown;
  /// The call was to be sent again because its connection was closed. The first
  /// copy has no answer.
  bool mIsPossiblyResent = false;
};

/// Result of a stop or pace call.
enum class CallOutcome
{
  Accepted,
  Fenced,
  /// Refused for another reason.
  Refused,
  /// No answer.
  Unknown,
};

/// The stable name of `aOutcome`.
std::string_view
NameOf(CallOutcome aOutcome);

/// Asks a worker for its active and ended runs and extends its lease.
struct PollCall
{
  std::string mWorkerId;
  std::string mAddress;
  /// WorkerReport::mIncarnationStartMs of the incarnation that the lease and
  /// the acknowledgement are meant for. No other one receives them. Empty if
  /// there are none.
  std::optional<std::int64_t> mIncarnationStartMs;
  /// End of the lease on the worker's clock; 0 leaves the lease unchanged.
  std::int64_t mLeaseUntilMs = 0;
  /// The worker drops ended runs up to this sequence number.
  std::int64_t mAcknowledgedSequence = 0;
  /// Long poll: how long the worker waits for a run to end before it answers.
  int mWaitMs = 0;
};

/// Starts a run.
struct StartCall
{
  std::string mWorkerId;
  std::string mAddress;
  /// The incarnation that the call is meant for, see PollCall. No other one
  /// receives it.
  std::int64_t mIncarnationStartMs = 0;
  TaskId mTask;
  int mRunNumber = 0;
  std::string mPayload;
  std::string mCheckpoint;
  std::int64_t mLeaseUntilMs = 0;
  /// Ticket of the advice service; empty if none is needed.
  std::string mTicket;
};

/// Asks the advice service which workers may run a step.
struct AdviceCall
{
  std::string mJobId;
  int mOccurrence = 0;
  int mStep = 0;
  std::vector<std::string> mWorkerIds;
};

/// Permission of the advice service to run the step on a worker.
struct WorkerPermission
{
  std::string mWorkerId;
  std::string mTicket;
};

/// Answer of the advice service. The step is started only on the permitted
/// workers.
struct Advice
{
  std::vector<WorkerPermission> mPermissions;
  /// Validity of the tickets.
  std::int64_t mValidMs = 0;
};

/// Stops a run.
struct StopCall
{
  std::string mWorkerId;
  std::string mAddress;
  TaskId mTask;
  int mRunNumber = 0;
  /// The incarnation that was known when the call was sent. Any one may receive
  /// it.
  std::int64_t mIncarnationStartMs = 0;
};

/// Sets the speed of a run.
struct PaceCall
{
  std::string mWorkerId;
  std::string mAddress;
  TaskId mTask;
  int mRunNumber = 0;
  /// Percent of full speed; 0 pauses the run.
  int mPacePercent = 100;
};

/// Sends calls to workers and to the advice service. Results are passed to the
/// Dispatcher.
class CallSink
{
public:
  virtual ~CallSink() = default;
  virtual void Poll(const PollCall& aCall) = 0;
  virtual void Start(const StartCall& aCall) = 0;
  virtual void Stop(const StopCall& aCall) = 0;
  virtual void Pace(const PaceCall& aCall) = 0;
  virtual void Advise(const AdviceCall& aCall) = 0;
};

} // namespace skylarkhill::dispatch

#endif // SKYLARKHILL_DISPATCH_WORKER_HPP
