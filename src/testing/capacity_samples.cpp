#include "skylarkhill/testing/capacity_samples.hpp"

#include <algorithm>
#include <chrono>

namespace skylarkhill::testing {

namespace {

constexpr std::int64_t kGiB = std::int64_t{ 1 } << 30;
constexpr std::int64_t kTeams = 470;
constexpr std::int64_t kWorkers = 7900;
constexpr worker::WorkerTime kLongLease = 3'600'000'000;
const base::Resources kTaskResources{ 1000, 2 * kGiB, 0 };

class SampleWorker : public worker::RemoteWorker
{
public:
  SampleWorker(std::int64_t aTasks, const base::Clock& aClock)
    : mTasks(aTasks)
    , mClock(aClock)
  {
  }

  base::Result<worker::WorkerReport> Poll(base::TimePoint) override
  {
    worker::WorkerReport report = SampleWorkerReport(mTasks);
    report.mNow = base::ToMicros(mClock.Now());
    for (auto& it : report.mTasks) {
      it.mLeaseExpiresAt = report.mNow + kLongLease;
    }
    if (!mHolder.mInstance.mValue.empty()) {
      report.mHolders.push_back(
        { mHolder, report.mNow + mLeaseDuration.count() });
    }
    return report;
  }

  base::Result<worker::WorkerReport> SetHolderLease(
    const worker::HolderToken& aToken,
    base::Duration aLeaseDuration,
    base::TimePoint aDeadline) override
  {
    mHolder = aToken;
    mLeaseDuration = aLeaseDuration;
    return Poll(aDeadline);
  }

  base::Result<void> RemoveHolderLease(const worker::HolderToken&,
                                       base::TimePoint) override
  {
    mHolder = {};
    return Ok();
  }

  base::Result<void> Start(const worker::CommandHeader&,
                           const worker::StartTask&,
                           base::TimePoint) override
  {
    return Ok();
  }

  base::Result<void> Renew(const worker::CommandHeader&,
                           const std::vector<worker::AttemptKey>&,
                           worker::WorkerTime,
                           base::TimePoint) override
  {
    return Ok();
  }

  base::Result<void> Checkpoint(const worker::CommandHeader&,
                                const worker::AttemptKey&,
                                base::TimePoint) override
  {
    return Ok();
  }

  base::Result<void> Throttle(const worker::CommandHeader&,
                              const worker::AttemptKey&,
                              std::int64_t,
                              base::TimePoint) override
  {
    return Ok();
  }

  base::Result<void> Stop(const worker::CommandHeader&,
                          const worker::AttemptKey&,
                          base::TimePoint) override
  {
    return Ok();
  }

  base::Result<void> Acknowledge(const worker::CommandHeader&,
                                 const worker::AttemptKey&,
                                 base::TimePoint) override
  {
    return Ok();
  }

  base::Result<worker::ServiceAnswer> Call(const worker::CommandHeader&,
                                           const worker::ServiceCall& aCall,
                                           base::TimePoint) override
  {
    return worker::ServiceAnswer{ aCall.mRequest, aCall.mAttempt, "{}" };
  }

private:
  static base::Result<void> Ok()
  {
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

  const std::int64_t mTasks;
  const base::Clock& mClock;
  worker::HolderToken mHolder;
  base::Duration mLeaseDuration{ 0 };
};

} // namespace

std::string
SampleTaskId(std::int64_t aNumber)
{
  return "team-" + std::to_string(aNumber % kTeams) + ".order-" +
         std::to_string(1'000'000 + aNumber);
}

std::string
SampleWorkerId(std::int64_t aNumber)
{
  return "worker-" + std::to_string(1000 + aNumber % kWorkers);
}

tasks::AcceptRecord
SampleAccept(std::int64_t aNumber)
{
  tasks::AcceptRecord record;
  record.mSpec.mTask = { SampleTaskId(aNumber) };
  record.mSpec.mJob = { SampleTaskId(aNumber) };
  record.mSpec.mTeam = "team-" + std::to_string(aNumber % kTeams);
  record.mSpec.mBatchClass = "tar-and-strand";
  record.mSpec.mPool = "pool";
  record.mSpec.mCaller = "caller-" + std::to_string(aNumber % kTeams);
  record.mSpec.mDeclared = kTaskResources;
  record.mSpec.mDeclaredRunSeconds = 600;
  record.mSpec.mPayload = std::string(100, 'p');
  return record;
}

tasks::GrantRecord
SampleGrant(std::int64_t aNumber)
{
  return { { SampleTaskId(aNumber) }, 1, { SampleWorkerId(aNumber) } };
}

tasks::StartedRecord
SampleStarted(std::int64_t aNumber)
{
  return { { SampleTaskId(aNumber) }, 1 };
}

tasks::EndRecord
SampleEnd(std::int64_t aNumber)
{
  tasks::EndRecord record;
  record.mTask = { SampleTaskId(aNumber) };
  record.mAttempt = 1;
  record.mDetail = std::string(40, 'r');
  return record;
}

requests::IntentRecord
SampleIntent(std::int64_t aNumber)
{
  return { { "order-key-" + std::to_string(1'000'000 + aNumber) },
           { "entry-" + std::to_string(aNumber % 7) } };
}

requests::OutcomeRecord
SampleOutcome(std::int64_t aNumber)
{
  const requests::IntentRecord intent = SampleIntent(aNumber);
  requests::OutcomeRecord record;
  record.mKey = intent.mKey;
  record.mInstance = intent.mInstance;
  record.mOutcome = requests::Outcome::Completed;
  record.mBody = std::string(100, 'b');
  return record;
}

catalog::Team
SampleTeam(std::int64_t aNumber)
{
  catalog::Team team;
  team.mName = "team-" + std::to_string(100'000 + aNumber);
  team.mQuota = { 1000, kGiB, 0 };
  team.mBatchClasses = { "tar-and-strand" };
  return team;
}

catalog::CatalogSet
SampleCatalogSet(std::int64_t aObjects)
{
  catalog::CatalogSet set;
  catalog::Pool pool;
  pool.mName = "pool";
  pool.mWorkerCapacity = { 16'000, 60 * kGiB, 0 };
  pool.mWorkers = kWorkers;
  set.Put(pool);
  catalog::BatchClass batch;
  batch.mName = "tar-and-strand";
  batch.mPool = "pool";
  batch.mDefaultResources = kTaskResources;
  set.Put(batch);
  for (std::int64_t n = 2; n < aObjects; ++n) {
    set.Put(SampleTeam(n));
  }
  return set;
}

peer::Heartbeat
SampleHeartbeat(std::int64_t aWorkers, std::int64_t aServices)
{
  peer::Heartbeat heartbeat;
  heartbeat.mInstance = { "entry-1" };
  heartbeat.mIncarnation = 1'700'000'000'000;
  heartbeat.mDomain = { "montevideo-a" };
  heartbeat.mAddress = "127.4.0.1";
  heartbeat.mPeerPort = 18471;
  for (std::int64_t n = 0; n < aServices; ++n) {
    heartbeat.mFreeSlots.push_back({ "service-" + std::to_string(n), 100 });
  }
  for (std::int64_t n = 0; n < aWorkers; ++n) {
    heartbeat.mHeldWorkers.push_back({ SampleWorkerId(n) });
  }
  return heartbeat;
}

worker::WorkerReport
SampleWorkerReport(std::int64_t aTasks)
{
  worker::WorkerReport report;
  report.mWorker = { SampleWorkerId(1) };
  report.mNow = kLongLease;
  report.mCapacity = { 64'000, 240 * kGiB, 0 };
  report.mSlots = 8;
  report.mConnections = 64;
  for (std::int64_t n = 0; n < aTasks; ++n) {
    worker::TaskReport task;
    task.mTask = { SampleTaskId(n) };
    task.mAttempt = 1;
    task.mReserved = kTaskResources;
    task.mUsed = kTaskResources;
    task.mLeaseExpiresAt = 2 * kLongLease;
    task.mCheckpoint = "checkpoint-1";
    report.mTasks.push_back(task);
  }
  return report;
}

std::vector<holder::GrantedAttempt>
SampleGrantedAttempts(std::int64_t aTasks)
{
  std::vector<holder::GrantedAttempt> grants;
  for (std::int64_t n = 0; n < aTasks; ++n) {
    holder::GrantedAttempt grant;
    grant.mTask = { SampleTaskId(n) };
    grant.mAttempt = 1;
    grant.mBatchClass = "tar-and-strand";
    grant.mPayload = std::string(100, 'p');
    grant.mReserved = kTaskResources;
    grant.mStarted = true;
    grants.push_back(grant);
  }
  return grants;
}

std::unique_ptr<worker::RemoteWorker>
CreateSampleWorker(std::int64_t aTasks, const base::Clock& aClock)
{
  return std::make_unique<SampleWorker>(aTasks, aClock);
}

} // namespace skylarkhill::testing
