#ifndef SKYLARKHILL_DISPATCH_WORKER_HPP
#define SKYLARKHILL_DISPATCH_WORKER_HPP

#include "skylarkhill/base/resources.hpp"

#include <cstdint>
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

/// "JOB.OCCURRENCE.STEP.INDEX", for logs.
std::string
ToText(const TaskId& aTask);

/// A worker as the registry lists it.
struct WorkerEntry
{
  std::string mId;
  std::string mService;
  /// "IP:PORT".
  std::string mAddress;
  std::string mDomain;
  std::vector<std::string> mLabels;
  base::Resources mCapacity;
  bool mIsDraining = false;
  /// Least time until a draining worker leaves, when the entry was written.
  std::int64_t mRemainingMs = 0;
  /// Unix time of the start of this incarnation.
  std::int64_t mIncarnationStartMs = 0;
};

/// A run in the list of a worker.
struct ActiveRun
{
  TaskId mTask;
  int mRun = 0;
  /// Newest checkpoint; empty: none.
  std::string mCheckpoint;
  int mPercent = 0;
  /// Tail latency in ms of a service task; thousandths of a processor in use
  /// of any other task. Negative: not reported.
  std::int64_t mMeasurement = -1;
};

/// How a run ended.
enum class RunOutcome
{
  Done,
  Failed,
  Stopped,
  /// The lease of the worker expired.
  LeaseExpired,
  /// Another member of the gang ended.
  GangBroken,
  /// The other members of the gang did not start in time.
  GangIncomplete,
};

/// The stable name of `aEnd`.
std::string_view
NameOf(RunOutcome aEnd);

/// An end that a worker lists until it is acknowledged.
struct EndedRun
{
  /// Position in the list of ends of this incarnation, from 1.
  std::int64_t mSequence = 0;
  TaskId mTask;
  int mRun = 0;
  RunOutcome mOutcome = RunOutcome::Failed;
  std::string mCheckpoint;
};

/// The answer to a poll.
struct WorkerReport
{
  /// The worker's own clock.
  std::int64_t mClockMs = 0;
  /// Unix time of the start of the incarnation that answered.
  std::int64_t mIncarnationStartMs = 0;
  std::vector<ActiveRun> mActiveRuns;
  std::vector<EndedRun> mEndedRuns;
};

/// What a worker answered to a start.
enum class StartOutcome
{
  Started,
  NoRoom,
  /// A run with this or a higher number ended or was stopped there.
  OldRun,
  /// The deadline of the call had passed.
  TooLate,
  /// The worker has seen a higher fencing token.
  Fenced,
  /// The permission of the advice service is missing or has expired.
  TicketInvalid,
  /// Not started; the worker is unhealthy.
  Unhealthy,
  /// Not started; the call is malformed.
  Rejected,
  /// Not started; another incarnation runs at the address.
  OtherIncarnation,
  /// No answer: may start at any time until its deadline.
  Unknown,
};

/// The stable name of `aOutcome`.
std::string_view
NameOf(StartOutcome aOutcome);

/// What a worker answered to a stop or to a change of pace.
enum class CallOutcome
{
  Accepted,
  Fenced,
  /// Refused for another reason.
  Refused,
  /// No answer.
  Unknown,
};

/// Asks a worker for its lists and extends its lease.
struct PollCall
{
  std::string mWorkerId;
  std::string mAddress;
  /// Lease on the worker's clock; 0: not extended.
  std::int64_t mLeaseUntilMs = 0;
  /// Ends up to this number are forgotten.
  std::int64_t mAcknowledgedSequence = 0;
  /// How long the worker waits for an end before it answers.
  int mWaitMs = 0;
};

struct StartCall
{
  std::string mWorkerId;
  std::string mAddress;
  TaskId mTask;
  int mRun = 0;
  std::string mPayload;
  std::string mCheckpoint;
  std::int64_t mLeaseUntilMs = 0;
  /// WorkerPermission of the advice service; empty: none is needed.
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

/// A worker that may run the step.
struct WorkerPermission
{
  std::string mWorkerId;
  std::string mTicket;
};

/// What the advice service answered.
struct Advice
{
  std::vector<WorkerPermission> mPermissions;
  /// How long the tickets are valid.
  std::int64_t mValidMs = 0;
};

struct StopCall
{
  std::string mWorkerId;
  std::string mAddress;
  TaskId mTask;
  int mRun = 0;
};

struct PaceCall
{
  std::string mWorkerId;
  std::string mAddress;
  TaskId mTask;
  int mRun = 0;
  int mPercent = 100;
};

/// Carries orders to workers. Outcomes come back through the Dispatcher.
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
