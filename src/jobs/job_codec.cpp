#include "skylarkhill/jobs/job_codec.hpp"

#include "skylarkhill/base/msgpack.hpp"
#include "skylarkhill/base/name_table.hpp"

#include <algorithm>
#include <cstddef>
#include <system_error>
#include <tuple>
#include <utility>

namespace skylarkhill::jobs {

using base::ErrorKind;
using base::MakeError;

namespace {

constexpr std::size_t kBitsPerByte = 8;
/// Far above the number of tasks of a step.
constexpr int kMaxFirstTask = 1 << 24;

/// First character of the record keys, by kind.
constexpr base::NameTable<RecordKind, 12> kKeyPrefixes{ {
  { RecordKind::Submission, "s" },
  { RecordKind::Cancellation, "c" },
  { RecordKind::Progress, "p" },
  { RecordKind::TaskRange, "r" },
  { RecordKind::Model, "m" },
  { RecordKind::Worker, "w" },
  { RecordKind::Transfer, "t" },
  { RecordKind::Load, "l" },
  { RecordKind::WorkerLease, "e" },
  { RecordKind::Loan, "o" },
  { RecordKind::Borrowed, "b" },
  { RecordKind::Idle, "h" },
} };

using ResourceFields = std::tuple<std::int64_t, std::int64_t, std::int64_t>;
using StepFields = std::tuple<int,
                              ResourceFields,
                              std::int64_t,
                              std::vector<int>,
                              bool,
                              bool,
                              bool,
                              std::string,
                              std::string,
                              int,
                              bool,
                              bool,
                              std::string,
                              std::int64_t,
                              bool,
                              int>;
using PolicyFields =
  std::tuple<std::string, std::string, int, int, double, std::int64_t, bool>;
using SubmissionFields = std::tuple<std::string,
                                    PolicyFields,
                                    std::int64_t,
                                    std::string,
                                    std::vector<StepFields>,
                                    int,
                                    std::int64_t,
                                    std::int64_t>;
using TaskFields = std::tuple<int, bool, std::vector<int>, int, std::string>;
using StepProgressFields = std::tuple<int, int, std::vector<TaskFields>>;
/// Occurrence, step, first task, bits of the tasks that are done, other tasks.
using TaskRangeFields =
  std::tuple<int, int, int, std::string, std::vector<TaskFields>>;
using TransferFields = std::tuple<int, bool>;
using LoanFields =
  std::tuple<int, bool, std::vector<StepProgressFields>, std::vector<int>>;
/// The encoded submission, the tasks and their former cells.
using BorrowedFields =
  std::tuple<std::string, std::vector<StepProgressFields>, std::vector<int>>;
/// The last field is missing in records of versions without it.
using ProgressFields =
  std::tuple<int, bool, std::vector<StepProgressFields>, std::int64_t>;

StepFields
ToFields(const Step& aStep)
{
  return { aStep.mCount,
           { aStep.mResources.mMilliProcessors,
             aStep.mResources.mMemoryBytes,
             aStep.mResources.mAccelerators },
           aStep.mEstimateMs,
           aStep.mDependsOn,
           aStep.mSavesProgress,
           aStep.mIsGang,
           aStep.mIsRackSensitive,
           aStep.mRequiredLabel,
           aStep.mPreferredRack,
           aStep.mMaxPerWorker,
           aStep.mMayDuplicate,
           aStep.mIsService,
           aStep.mImage,
           aStep.mTailTargetMs,
           aStep.mIsBackfill,
           aStep.mMaxUnavailable };
}

Step
ToStep(const StepFields& aFields)
{
  Step step;
  ResourceFields resources;
  std::tie(step.mCount,
           resources,
           step.mEstimateMs,
           step.mDependsOn,
           step.mSavesProgress,
           step.mIsGang,
           step.mIsRackSensitive,
           step.mRequiredLabel,
           step.mPreferredRack,
           step.mMaxPerWorker,
           step.mMayDuplicate,
           step.mIsService,
           step.mImage,
           step.mTailTargetMs,
           step.mIsBackfill,
           step.mMaxUnavailable) = aFields;
  step.mResources = { std::get<0>(resources),
                      std::get<1>(resources),
                      std::get<2>(resources) };
  return step;
}

TaskFields
ToFields(const TaskProgress& aTask)
{
  return { aTask.mIndex,
           aTask.mIsDone,
           aTask.mFailedRuns,
           aTask.mLastRun,
           aTask.mCheckpoint };
}

TaskProgress
ToTaskProgress(TaskFields aFields)
{
  return { std::get<0>(aFields),
           std::get<1>(aFields),
           std::move(std::get<2>(aFields)),
           std::get<3>(aFields),
           std::move(std::get<4>(aFields)) };
}

std::vector<StepProgressFields>
ToFields(const std::vector<StepProgress>& aSteps)
{
  std::vector<StepProgressFields> steps;
  for (const auto& step : aSteps) {
    std::vector<TaskFields> tasks;
    for (const auto& it : step.mTasks) {
      tasks.push_back(ToFields(it));
    }
    steps.emplace_back(step.mOccurrence, step.mStep, std::move(tasks));
  }
  return steps;
}

std::vector<StepProgress>
ToSteps(std::vector<StepProgressFields> aFields)
{
  std::vector<StepProgress> steps;
  for (auto& step : aFields) {
    StepProgress entry;
    entry.mOccurrence = std::get<0>(step);
    entry.mStep = std::get<1>(step);
    for (auto& it : std::get<2>(step)) {
      entry.mTasks.push_back(ToTaskProgress(std::move(it)));
    }
    steps.push_back(std::move(entry));
  }
  return steps;
}

bool
HasPart(RecordKind aKind)
{
  return aKind == RecordKind::TaskRange || aKind == RecordKind::Loan ||
         aKind == RecordKind::Borrowed;
}

} // namespace

std::string
FormatRecordKey(RecordKind aKind, std::string_view aId)
{
  std::string key(base::FindName(kKeyPrefixes, aKind));
  key.push_back('/');
  key.append(aId);
  return key;
}

std::string
FormatTaskRangeKey(std::string_view aJobId, std::string_view aRange)
{
  return FormatPartKey(RecordKind::TaskRange, aJobId, aRange);
}

std::string
FormatPartKey(RecordKind aKind, std::string_view aJobId, std::string_view aPart)
{
  std::string key = FormatRecordKey(aKind, aJobId);
  key.push_back('/');
  key.append(aPart);
  return key;
}

std::string
NameOf(const TaskRange& aRange)
{
  return std::to_string(aRange.mProgress.mOccurrence) + "." +
         std::to_string(aRange.mProgress.mStep) + "." +
         std::to_string(aRange.mFirst);
}

std::optional<RecordKey>
ParseRecordKey(std::string_view aKey)
{
  if (aKey.size() < 3 || aKey[1] != '/') {
    return std::nullopt;
  }
  const auto kind = base::FindValue(kKeyPrefixes, aKey.substr(0, 1));
  if (!kind) {
    return std::nullopt;
  }
  const std::string_view id = aKey.substr(2);
  if (!HasPart(*kind)) {
    return RecordKey{ *kind, std::string(id), {} };
  }
  const auto slash = id.find('/');
  if (slash == std::string_view::npos) {
    return std::nullopt;
  }
  return RecordKey{ *kind,
                    std::string(id.substr(0, slash)),
                    std::string(id.substr(slash + 1)) };
}

std::string
EncodeSubmission(const Submission& aSubmission)
{
  std::vector<StepFields> steps;
  for (const auto& it : aSubmission.mRequest.mSteps) {
    steps.push_back(ToFields(it));
  }
  const auto& policy = aSubmission.mPolicy;
  return base::PackMsgpack(
    SubmissionFields{ aSubmission.mId,
                      { policy.mQueue,
                        policy.mPool,
                        policy.mPriority,
                        policy.mMaxFailedRuns,
                        policy.mSlackFactor,
                        policy.mTargetLatencyMs,
                        policy.mNeedsTicket },
                      aSubmission.mAcceptedMs,
                      aSubmission.mRequest.mPayload,
                      steps,
                      aSubmission.mRequest.mOccurrences,
                      aSubmission.mRequest.mFirstStartMs,
                      aSubmission.mRequest.mIntervalMs });
}

base::Result<Submission>
DecodeSubmission(std::string_view aBytes)
{
  BOOST_OUTCOME_TRY(fields, base::UnpackMsgpack<SubmissionFields>(aBytes));
  Submission submission;
  PolicyFields policy;
  std::vector<StepFields> steps;
  auto& request = submission.mRequest;
  std::tie(submission.mId,
           policy,
           submission.mAcceptedMs,
           request.mPayload,
           steps,
           request.mOccurrences,
           request.mFirstStartMs,
           request.mIntervalMs) = std::move(fields);
  std::tie(submission.mPolicy.mQueue,
           submission.mPolicy.mPool,
           submission.mPolicy.mPriority,
           submission.mPolicy.mMaxFailedRuns,
           submission.mPolicy.mSlackFactor,
           submission.mPolicy.mTargetLatencyMs,
           submission.mPolicy.mNeedsTicket) = std::move(policy);
  for (const auto& it : steps) {
    request.mSteps.push_back(ToStep(it));
  }
  return submission;
}

std::string
EncodeCancellation(std::int64_t aUnixMs)
{
  return std::to_string(aUnixMs);
}

std::string
EncodeProgress(const JobProgress& aProgress)
{
  return base::PackMsgpack(ProgressFields{ static_cast<int>(aProgress.mState),
                                           aProgress.mMayHaveStarted,
                                           ToFields(aProgress.mSteps),
                                           aProgress.mEndedMs });
}

base::Result<JobProgress>
DecodeProgress(std::string_view aBytes)
{
  BOOST_OUTCOME_TRY(fields, base::UnpackMsgpack<ProgressFields>(aBytes));
  const int state = std::get<0>(fields);
  if (state < 0 || state > static_cast<int>(JobState::Cancelled)) {
    return MakeError(ErrorKind::InvalidArgument, "unknown job state");
  }
  JobProgress progress;
  progress.mState = static_cast<JobState>(state);
  progress.mMayHaveStarted = std::get<1>(fields);
  progress.mSteps = ToSteps(std::move(std::get<2>(fields)));
  progress.mEndedMs = std::get<3>(fields);
  return progress;
}

std::string
EncodeTaskRange(const TaskRange& aRange)
{
  std::string done;
  std::vector<TaskFields> others;
  for (const auto& it : aRange.mProgress.mTasks) {
    if (!it.mIsDone) {
      others.push_back(ToFields(it));
      continue;
    }
    const auto bit = static_cast<std::size_t>(it.mIndex - aRange.mFirst);
    done.resize(std::max(done.size(), bit / kBitsPerByte + 1));
    auto& byte = done[bit / kBitsPerByte];
    byte = static_cast<char>(static_cast<unsigned char>(byte) |
                             1U << bit % kBitsPerByte);
  }
  return base::PackMsgpack(TaskRangeFields{ aRange.mProgress.mOccurrence,
                                            aRange.mProgress.mStep,
                                            aRange.mFirst,
                                            std::move(done),
                                            std::move(others) });
}

base::Result<TaskRange>
DecodeTaskRange(std::string_view aBytes)
{
  BOOST_OUTCOME_TRY(fields, base::UnpackMsgpack<TaskRangeFields>(aBytes));
  TaskRange range;
  std::string done;
  std::vector<TaskFields> others;
  std::tie(range.mProgress.mOccurrence,
           range.mProgress.mStep,
           range.mFirst,
           done,
           others) = std::move(fields);
  if (range.mFirst < 0 || range.mFirst > kMaxFirstTask) {
    return MakeError(ErrorKind::InvalidArgument, "first task out of range");
  }
  auto& tasks = range.mProgress.mTasks;
  for (std::size_t bit = 0; bit < done.size() * kBitsPerByte; ++bit) {
    const auto byte = static_cast<unsigned char>(done[bit / kBitsPerByte]);
    if ((byte >> bit % kBitsPerByte & 1U) != 0) {
      TaskProgress task;
      task.mIndex = range.mFirst + static_cast<int>(bit);
      task.mIsDone = true;
      tasks.push_back(std::move(task));
    }
  }
  for (auto& it : others) {
    tasks.push_back(ToTaskProgress(std::move(it)));
  }
  return range;
}

std::string
EncodeTransfer(const JobTransfer& aTransfer)
{
  return base::PackMsgpack(
    TransferFields{ aTransfer.mTarget, aTransfer.mIsDelivered });
}

base::Result<JobTransfer>
DecodeTransfer(std::string_view aBytes)
{
  BOOST_OUTCOME_TRY(fields, base::UnpackMsgpack<TransferFields>(aBytes));
  if (std::get<0>(fields) < 0) {
    return MakeError(ErrorKind::InvalidArgument, "negative cell");
  }
  return JobTransfer{ std::get<0>(fields), std::get<1>(fields) };
}

std::string
EncodeLoan(const TaskLoan& aLoan)
{
  return base::PackMsgpack(LoanFields{ aLoan.mTarget,
                                       aLoan.mIsDelivered,
                                       ToFields(aLoan.mSteps),
                                       aLoan.mFormerCells });
}

base::Result<TaskLoan>
DecodeLoan(std::string_view aBytes)
{
  BOOST_OUTCOME_TRY(fields, base::UnpackMsgpack<LoanFields>(aBytes));
  if (std::get<0>(fields) < 0) {
    return MakeError(ErrorKind::InvalidArgument, "negative cell");
  }
  return TaskLoan{ std::get<0>(fields),
                   std::get<1>(fields),
                   ToSteps(std::move(std::get<2>(fields))),
                   std::move(std::get<3>(fields)) };
}

std::string
EncodeBorrowedTasks(const BorrowedTasks& aTasks)
{
  return base::PackMsgpack(BorrowedFields{ EncodeSubmission(aTasks.mSubmission),
                                           ToFields(aTasks.mSteps),
                                           aTasks.mFormerCells });
}

base::Result<BorrowedTasks>
DecodeBorrowedTasks(std::string_view aBytes)
{
  BOOST_OUTCOME_TRY(fields, base::UnpackMsgpack<BorrowedFields>(aBytes));
  BOOST_OUTCOME_TRY(submission, DecodeSubmission(std::get<0>(fields)));
  return BorrowedTasks{ std::move(submission),
                        ToSteps(std::move(std::get<1>(fields))),
                        std::move(std::get<2>(fields)) };
}

} // namespace skylarkhill::jobs
