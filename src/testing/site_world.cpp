#include "skylarkhill/testing/site_world.hpp"

#include "skylarkhill/base/random.hpp"
#include "skylarkhill/catalog/config_state.hpp"
#include "skylarkhill/holder/task_runner.hpp"
#include "skylarkhill/journal/batch_writer.hpp"
#include "skylarkhill/journal/journal_service.hpp"
#include "skylarkhill/journal/record_codec.hpp"
#include "skylarkhill/journal/site_state.hpp"
#include "skylarkhill/journal/snapshot_planner.hpp"
#include "skylarkhill/journal/stream_reader.hpp"
#include "skylarkhill/requests/request_machine.hpp"
#include "skylarkhill/tasks/task_names.hpp"
#include "skylarkhill/testing/fake_log.hpp"
#include "skylarkhill/testing/fake_worker.hpp"

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <tuple>

namespace skylarkhill::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t kMillisecond = 1000;
constexpr std::int64_t kSecond = 1000 * kMillisecond;
constexpr std::int64_t kFaultsEnd = 30 * kSecond;
constexpr std::int64_t kRunEnd = 90 * kSecond;
constexpr std::int64_t kRetentionMs = 20'000;
constexpr std::int64_t kMaxOutage = 3 * kSecond;
constexpr std::int64_t kAppendTimeout = 500 * kMillisecond;
/// A holder without an answered poll learns of a leaving worker only when its
/// lease ends; the rest covers messages in flight.
constexpr std::int64_t kLeavingGrace = 3 * kSecond;
constexpr std::size_t kNodes = 3;
constexpr std::size_t kWorkers = 2;
constexpr base::Resources kCapacity{ 4000, 4000, 1 };

/// The clock of one instance, with its own zero point and rate.
class NodeClock : public base::Clock
{
public:
  NodeClock(const std::int64_t& aTime, std::int64_t aOffset, double aRate)
    : mTime(aTime)
    , mOffset(aOffset)
    , mRate(aRate)
  {
  }

  base::TimePoint Now() const override
  {
    return base::FromMicros(
      mOffset + static_cast<std::int64_t>(mRate * static_cast<double>(mTime)));
  }

private:
  const std::int64_t& mTime;
  std::int64_t mOffset;
  double mRate;
};

struct Site
{
  std::unique_ptr<holder::LeaseMachine> mLease;
  std::unique_ptr<holder::Ledger> mLedger;
  std::unique_ptr<holder::TaskRunner> mRunner;
  base::TimePoint mAcquiredAt;
  std::map<std::uint64_t, base::TimePoint> mSentAt;
  /// Until then nothing passes between the instance and the worker.
  std::int64_t mCutUntil = 0;
};

/// One caller's request at one instance.
struct Session
{
  std::uint64_t mNumber = 0;
  std::unique_ptr<requests::RequestMachine> mMachine;
  bool mIsWatching = false;
  std::optional<requests::RequestResult> mResult;
};

using SubmitDone = std::function<void(const base::Result<platform::Offset>&)>;

/// A submission that was appended or is queued.
struct Submission
{
  std::vector<journal::SiteRecord> mRecords;
  base::TimePoint mDeadline;
  std::optional<platform::Offset> mOffset;
  SubmitDone mDone;
};

/// One publish, until its verdict is known.
struct Publish
{
  catalog::RecordIdentity mIdentity;
  std::string mPayload;
  int mSendsLeft = 20;
};

struct Node
{
  Node(std::string aName, std::unique_ptr<NodeClock> aClock)
    : mId{ aName }
    , mClock(std::move(aClock))
    , mWriter({ aName, 300, 500, 16'384 })
    , mState({ 3, kRetentionMs, 20 })
    , mPlanner({ { aName }, kRetentionMs, 50, 200 })
    , mBudget({}, mClock->Now())
  {
  }

  base::TimePoint Now() const { return mClock->Now(); }

  base::InstanceId mId;
  std::unique_ptr<NodeClock> mClock;
  std::int64_t mPausedUntil = 0;
  /// Until then nothing passes between the instance and the log.
  std::int64_t mLogCutUntil = 0;
  std::array<Site, kWorkers> mSites;

  journal::BatchWriter mWriter;
  journal::StreamReader mReader;
  journal::SiteState mState;
  journal::SnapshotPlanner mPlanner;
  std::uint64_t mAppend = 0;
  bool mIsAppending = false;
  std::uint64_t mRead = 0;
  journal::Ticket mNextTicket = 1;
  std::map<journal::Ticket, Submission> mSubmissions;
  std::set<base::TaskId> mGranting;

  requests::RetryBudget mBudget;
  std::map<std::uint64_t, Session> mSessions;

  catalog::ConfigState mConfig;
  std::int64_t mConfigSequence = 0;
  std::vector<Publish> mPublishes;
};

/// All instances, workers and streams on one simulated time line.
class World
{
public:
  World(std::uint64_t aSeed, const SiteVariant& aVariant)
    : mRandom(base::CreateSeededRandom(aSeed))
    , mVariant(aVariant)
    , mLog(mClock, { 0, milliseconds(kRetentionMs) })
    , mOracle({ 3, kRetentionMs, 20 })
  {
    SetTime(0);
    for (std::size_t n = 0; n < kWorkers; ++n) {
      FakeWorkerConfig config;
      config.mWorker = { "worker-" + std::to_string(n) };
      config.mCapacity = kCapacity;
      config.mSlots = 4;
      config.mConnections = 16;
      config.mClockOffset = base::Duration(Pick(1000 * kSecond));
      config.mGuards = false;
      mWorkers.push_back(std::make_unique<FakeWorker>(mClock, config));
    }
    for (std::size_t n = 0; n < kNodes; ++n) {
      mNodes.push_back(MakeNode());
    }
    At(200 * kMillisecond, [this] { Call(); });
    At(kSecond, [this] { Disturb(); });
    At(kFaultsEnd, [this] { EndFaults(); });
  }

  SiteRun Run()
  {
    while (mRun.mViolation.empty() && mTime < kRunEnd && !IsFinished()) {
      const Event event = mEvents.top();
      mEvents.pop();
      SetTime(event.mTime);
      event.mRun();
      CheckHolders();
      CheckConfig();
    }
    if (mRun.mViolation.empty() && !IsFinished()) {
      Fail("not finished: " + FirstUnfinished());
    }
    mRun.mTrace.assign(mTrace.begin(), mTrace.end());
    for (const auto& it : mKeyRuns) {
      mRun.mKeysRun += it.second > 0 ? 1 : 0;
    }
    return mRun;
  }

private:
  struct Event
  {
    std::int64_t mTime = 0;
    std::uint64_t mNumber = 0;
    std::function<void()> mRun;

    bool operator<(const Event& aOther) const
    {
      return std::tie(aOther.mTime, aOther.mNumber) < std::tie(mTime, mNumber);
    }
  };
  using NodeRef = std::weak_ptr<Node>;

  std::int64_t Pick(std::int64_t aBound)
  {
    return static_cast<std::int64_t>(
      mRandom->Below(static_cast<std::uint64_t>(aBound)));
  }

  bool Chance(int aPercent) { return Pick(100) < aPercent; }
  bool HasFaults() const { return mTime < kFaultsEnd; }
  bool Fault(int aPercent) { return HasFaults() && Chance(aPercent); }

  void SetTime(std::int64_t aTime)
  {
    mTime = aTime;
    mClock.Set(base::FromMicros(kSecond + aTime));
  }

  // Just below the maximum message delay, less the largest clock rate.
  std::int64_t Delay()
  {
    return Fault(15) ? 280 * kMillisecond - Pick(150 * kMillisecond)
                     : 200 + Pick(5'000);
  }

  void Fail(const std::string& aText)
  {
    if (mRun.mViolation.empty()) {
      mRun.mViolation = aText;
    }
    Trace("violation: " + aText);
  }

  void Trace(const std::string& aText)
  {
    constexpr std::size_t kMaxTrace = 80;
    mTrace.push_back(std::to_string(mTime / kMillisecond) + " ms " + aText);
    if (mTrace.size() > kMaxTrace) {
      mTrace.pop_front();
    }
  }

  void At(std::int64_t aDelay, std::function<void()> aRun)
  {
    mEvents.push({ mTime + aDelay, mNextEvent++, std::move(aRun) });
  }

  /// Runs at the instance, after its pause if it is paused.
  void AtNode(const NodeRef& aRef,
              std::int64_t aDelay,
              std::function<void(Node&)> aRun)
  {
    At(aDelay, [this, aRef, run = std::move(aRun)] {
      const auto node = aRef.lock();
      if (!node) {
        return;
      }
      if (mTime < node->mPausedUntil) {
        AtNode(aRef, node->mPausedUntil - mTime, run);
        return;
      }
      run(*node);
    });
  }

  std::shared_ptr<Node> MakeNode()
  {
    // Rates of up to 1% make two clocks drift apart by up to 40 ms during a
    // lease, below the margin.
    auto clock = std::make_unique<NodeClock>(
      mTime,
      1000 * kSecond + Pick(1000 * kSecond),
      1 + static_cast<double>(Pick(20'001) - 10'000) / 1e6);
    const std::string name = "entry-" + std::to_string(mNextNode++);
    auto node = std::make_shared<Node>(name, std::move(clock));
    node->mWriter.SetLiveInstances(kNodes);
    holder::LeaseOptions options;
    options.mLeaseDuration = seconds(2);
    options.mRenewInterval = milliseconds(300);
    options.mClockMargin = milliseconds(100);
    // Workers restart with an empty lease list.
    options.mQuietPeriod = milliseconds(mVariant.mQuietPeriod ? 2500 : 0);
    options.mRequestTimeout = milliseconds(600);
    options.mTakeoverDelay = milliseconds(500);
    options.mScanInterval = milliseconds(100);
    for (auto& it : node->mSites) {
      it.mLease =
        std::make_unique<holder::LeaseMachine>(node->mId, options, *mRandom);
    }
    const NodeRef ref = node;
    AtNode(ref, Pick(20'000), [this, ref](Node&) { Tick(ref); });
    AtNode(ref, Pick(20'000), [this, ref](Node&) { ReadSite(ref); });
    AtNode(ref, Pick(20'000), [this, ref](Node&) { ReadConfig(ref); });
    return node;
  }

  void Tick(const NodeRef& aRef)
  {
    Node& node = *aRef.lock();
    StepJournal(aRef);
    for (std::size_t n = 0; n < kWorkers; ++n) {
      node.mSites[n].mLease->SetPreferred(Chance(HasFaults() ? 60 : 100));
      StepSite(aRef, n);
    }
    Grant(aRef);
    StepSessions(aRef);
    StepPublishes(aRef);
    if (mVariant.mSnapshots && node.mState.IsReady() && Chance(20)) {
      PlanSnapshots(aRef);
    }
    AtNode(aRef, 20'000 + Pick(25'000), [this, aRef](Node&) { Tick(aRef); });
  }

  // The log and its readers.

  bool IsLogReachable(const Node& aNode) const
  {
    return mTime >= aNode.mLogCutUntil;
  }

  bool IsLogDown() const { return mTime < mLogDownUntil; }

  void StepJournal(const NodeRef& aRef)
  {
    Node& node = *aRef.lock();
    node.mWriter.Expire(node.Now());
    if (!node.mIsAppending) {
      const auto wallMs = kRetentionMs + mTime / kMillisecond;
      if (const auto action = node.mWriter.StartAppend(node.Now(), wallMs)) {
        SendAppend(aRef, *action);
      }
    }
    TakeResults(node);
  }

  void SendAppend(const NodeRef& aRef, const journal::AppendAction& aAction)
  {
    Node& node = *aRef.lock();
    const std::uint64_t number = ++node.mAppend;
    node.mIsAppending = true;
    AtNode(aRef, kAppendTimeout, [number](Node& aNode) {
      if (aNode.mIsAppending && aNode.mAppend == number) {
        aNode.mIsAppending = false;
        aNode.mWriter.OnAnswerLost(aNode.Now());
      }
    });
    if (!IsLogReachable(node) || Fault(3)) {
      return;
    }
    const int copies = Fault(3) ? 2 : 1;
    for (int n = 0; n < copies; ++n) {
      const std::int64_t delay = Fault(4) ? Pick(3 * kSecond) : Delay();
      At(delay, [=] { DeliverAppend(aRef, number, aAction.mPayload); });
    }
  }

  void DeliverAppend(const NodeRef& aRef,
                     std::uint64_t aNumber,
                     const std::string& aPayload)
  {
    const auto offset =
      mLog.Append("site", aPayload, mClock.Now() + seconds(1));
    if (offset) {
      ApplyToOracle(aPayload);
    }
    if (Fault(5)) {
      return;
    }
    AtNode(aRef, Delay(), [=](Node& aNode) {
      if (!aNode.mIsAppending || aNode.mAppend != aNumber ||
          !IsLogReachable(aNode)) {
        return;
      }
      aNode.mIsAppending = false;
      if (offset) {
        aNode.mWriter.OnAppended(offset.value());
      } else {
        aNode.mWriter.OnUnavailable(aNode.Now());
      }
      TakeResults(aNode);
    });
  }

  void ReadSite(const NodeRef& aRef)
  {
    Node& node = *aRef.lock();
    const std::uint64_t number = ++node.mRead;
    const base::TimePoint sentAt = node.Now();
    const platform::Offset from = node.mReader.NextOffset();
    if (IsLogReachable(node) && !Fault(3)) {
      At(Delay(), [=] {
        auto page =
          mLog.Read("site", from, 1 + Pick(60), mClock.Now() + seconds(1));
        if (!page) {
          return;
        }
        AtNode(aRef, Delay(), [=](Node& aNode) {
          // An answer to an earlier read is dropped.
          if (aNode.mRead == number && IsLogReachable(aNode)) {
            ++aNode.mRead;
            ApplyPage(aNode, page.value(), sentAt);
          }
        });
      });
    }
    const std::int64_t pause = HasFaults() ? 100'000 : 30'000;
    AtNode(aRef, 15'000 + Pick(pause), [this, aRef](Node&) { ReadSite(aRef); });
  }

  void ApplyPage(Node& aNode,
                 const platform::LogPage& aPage,
                 base::TimePoint aIssuedAt)
  {
    const auto result = aNode.mReader.OnPage(aPage, aIssuedAt);
    aNode.mState.ApplyPage(result, kRetentionMs + mTime / kMillisecond);
    aNode.mState.SetCaughtUp(aNode.mReader.CaughtUpTime());
    for (const auto& it : result.mBatches) {
      if (it.mBatch.mWriter == aNode.mId.mValue) {
        aNode.mWriter.OnRead(it.mBatch.mSequence, it.mOffset);
      }
    }
    aNode.mWriter.OnCaughtUp(aNode.mReader.CaughtUpTime());
    TakeResults(aNode);
  }

  bool IsKnown(const Node& aNode, const journal::SiteRecord& aRecord) const
  {
    if (const auto* task = std::get_if<tasks::TaskRecord>(&aRecord)) {
      const auto* accept = std::get_if<tasks::AcceptRecord>(task);
      return accept != nullptr && aNode.mState.IsTaskKnown(accept->mSpec.mTask);
    }
    const auto* key = std::get_if<requests::KeyRecord>(&aRecord);
    const auto* intent =
      key != nullptr ? std::get_if<requests::IntentRecord>(key) : nullptr;
    return intent != nullptr && aNode.mState.FindKey(intent->mKey).mState !=
                                  requests::KeyState::Unclaimed;
  }

  /// As JournalService::Submit, with the result passed to `aDone`.
  void Submit(Node& aNode,
              const std::vector<journal::SiteRecord>& aRecords,
              base::TimePoint aDeadline,
              const SubmitDone& aDone)
  {
    const auto position = aNode.mState.GetWriterPosition();
    if (!aNode.mState.IsReady()) {
      aDone(base::MakeError(base::ErrorKind::LogUnavailable));
      return;
    }
    if (aRecords.size() == 1 && IsKnown(aNode, aRecords.front())) {
      aDone(journal::kNotAppended);
      return;
    }
    std::vector<std::string> encoded;
    encoded.reserve(aRecords.size());
    for (const auto& it : aRecords) {
      encoded.push_back(journal::EncodeRecord(it));
    }
    const journal::Ticket ticket = aNode.mNextTicket++;
    const auto added =
      aNode.mWriter.Add(ticket, std::move(encoded), position, aDeadline);
    if (!added) {
      aDone(added.error());
      return;
    }
    aNode.mSubmissions[ticket] = { aRecords, aDeadline, {}, aDone };
  }

  void TakeResults(Node& aNode)
  {
    std::vector<std::pair<SubmitDone, base::Result<platform::Offset>>> ended;
    for (const auto& it : aNode.mWriter.TakeResults()) {
      const auto found = aNode.mSubmissions.find(it.mTicket);
      if (found == aNode.mSubmissions.end()) {
        continue;
      }
      if (it.mOffset) {
        found->second.mOffset = it.mOffset.value();
      } else {
        ended.emplace_back(found->second.mDone, it.mOffset);
        aNode.mSubmissions.erase(found);
      }
    }
    for (auto it = aNode.mSubmissions.begin();
         it != aNode.mSubmissions.end();) {
      const Submission& each = it->second;
      if (each.mOffset && aNode.mState.NextOffset() > *each.mOffset) {
        ended.emplace_back(each.mDone, *each.mOffset);
      } else if (aNode.Now() >= each.mDeadline + seconds(1)) {
        ended.emplace_back(each.mDone,
                           base::MakeError(base::ErrorKind::AnswerLost));
      } else {
        ++it;
        continue;
      }
      it = aNode.mSubmissions.erase(it);
    }
    for (const auto& it : ended) {
      it.first(it.second);
    }
  }

  void PlanSnapshots(const NodeRef& aRef)
  {
    Node& node = *aRef.lock();
    std::vector<base::InstanceId> live;
    for (const auto& it : mNodes) {
      live.push_back(it->mId);
    }
    const auto plan = node.mPlanner.Plan(
      node.mState, live, kRetentionMs + mTime / kMillisecond);
    if (!plan.empty()) {
      mRun.mSnapshots += plan.size();
      Submit(node, plan, node.Now() + seconds(2), [](const auto&) {});
    }
  }

  // The oracle reads every record at once.
  void ApplyToOracle(const std::string& aPayload)
  {
    const auto batch = journal::DecodeBatch(aPayload);
    for (const auto& bytes : batch.value().mRecords) {
      CheckEnd(journal::DecodeRecord(bytes).value());
    }
    bool isAtEnd = false;
    while (!isAtEnd) {
      const auto page = mLog.Read(
        "site", mOracleReader.NextOffset(), 100, mClock.Now() + seconds(1));
      const auto result = mOracleReader.OnPage(page.value(), mClock.Now());
      mOracle.ApplyPage(result, kRetentionMs + mTime / kMillisecond);
      mOracle.SetCaughtUp(mOracleReader.CaughtUpTime());
      isAtEnd = mOracleReader.NextOffset() >= page.value().mEnd;
    }
    for (const auto& bytes : batch.value().mRecords) {
      const auto record = journal::DecodeRecord(bytes);
      if (const auto* it = std::get_if<tasks::TaskRecord>(&record.value())) {
        CheckTask(tasks::TaskOf(*it));
      } else if (const auto* snapshot =
                   std::get_if<journal::TaskSnapshotRecord>(&record.value())) {
        CheckTask(snapshot->mTask.mSpec.mTask);
      } else if (const auto* key =
                   std::get_if<requests::KeyRecord>(&record.value())) {
        CheckKey(requests::KeyOf(*key));
      }
    }
  }

  std::vector<worker::TaskReport> TasksOf(FakeWorker& aWorker)
  {
    auto report = aWorker.Poll(mClock.Now() + seconds(1));
    if (!report) {
      return {};
    }
    return report.value().mTasks;
  }

  static bool IsRunning(const worker::TaskReport& aTask)
  {
    return aTask.mPhase == worker::TaskPhase::Running ||
           aTask.mPhase == worker::TaskPhase::Checkpointing;
  }

  /// An end record may only take effect for an attempt that does not run.
  void CheckEnd(const journal::SiteRecord& aRecord)
  {
    const auto* record = std::get_if<tasks::TaskRecord>(&aRecord);
    const auto* end =
      record != nullptr ? std::get_if<tasks::EndRecord>(record) : nullptr;
    if (end == nullptr) {
      return;
    }
    const auto task = mOracle.FindTask(end->mTask);
    if (!task || !tasks::HasLiveAttempt(task->mState) ||
        task->mLastAttempt != end->mAttempt) {
      return;
    }
    Trace("end of " + end->mTask.mValue + "/" + std::to_string(end->mAttempt) +
          ": " + std::string(tasks::NameOf(end->mOutcome)));
    for (const auto& worker : mWorkers) {
      for (const auto& it : TasksOf(*worker)) {
        if (it.mTask == end->mTask && it.mAttempt == end->mAttempt &&
            IsRunning(it)) {
          Fail("P2: end record of a running attempt");
        }
      }
    }
  }

  void CheckTask(const base::TaskId& aTask)
  {
    const auto task = mOracle.FindTask(aTask);
    const bool hasEnded = mEnded.count(aTask) != 0;
    if (!task) {
      if (mAccepted.count(aTask) != 0 && !hasEnded) {
        Fail("accepted task " + aTask.mValue + " was lost");
      }
      return;
    }
    if (tasks::IsEnded(task->mState)) {
      mEnded.insert(aTask);
    } else if (hasEnded) {
      Fail("P3: ended task " + aTask.mValue + " came back");
    }
    std::int64_t& newest = mNewestAttempt[aTask];
    if (task->mLastAttempt < newest) {
      Fail("P2: an attempt of " + aTask.mValue + " came back");
    }
    newest = std::max(newest, task->mLastAttempt);
  }

  void CheckKey(const base::RequestId& aKey)
  {
    const auto key = mOracle.FindKey(aKey);
    if (key.mState == requests::KeyState::Finished &&
        key.mOutcome->mOutcome == requests::Outcome::NotRun) {
      mNotRunKeys.insert(aKey);
      if (mKeyRuns[aKey] > 0) {
        Fail("P5: " + aKey.mValue + " is recorded as not run, but ran");
      }
    }
  }

  // Workers and tasks.

  void StepSite(const NodeRef& aRef, std::size_t aSite)
  {
    Node& node = *aRef.lock();
    Site& site = node.mSites[aSite];
    for (const auto& it : site.mLease->Step(node.Now())) {
      Perform(aRef, aSite, it);
    }
    if (!site.mRunner) {
      return;
    }
    if (node.mState.IsReady()) {
      std::optional<std::int64_t> inheritedBefore;
      if (node.mState.CaughtUpTime() >= site.mAcquiredAt) {
        inheritedBefore =
          mVariant.mReleaseInherited ? node.mState.NextOffset() : 0;
      }
      site.mRunner->SetGrants(GrantsOn(node, aSite), inheritedBefore);
    }
    const holder::RunnerOutput output = site.mRunner->Step(node.Now());
    for (const auto& it : output.mRecords) {
      SendRecord(aRef, it);
    }
    for (const auto& it : output.mCommands) {
      // Some commands wait for a connection.
      const std::int64_t wait = Fault(10) ? 200 * kMillisecond : kMillisecond;
      AtNode(aRef, Pick(wait), [this, aRef, aSite, it](Node&) {
        SendCommand(aRef, aSite, it);
      });
    }
  }

  std::vector<holder::GrantedAttempt> GrantsOn(const Node& aNode,
                                               std::size_t aSite) const
  {
    std::vector<holder::GrantedAttempt> result;
    for (const auto& it :
         aNode.mState.LiveAttemptsOn(mWorkers[aSite]->Name())) {
      const auto task = aNode.mState.FindTask(it.mTask);
      result.push_back({ it.mTask,
                         it.mAttempt,
                         task->mSpec.mBatchClass,
                         task->mSpec.mPayload,
                         task->mSpec.mDeclared,
                         task->mCheckpoint,
                         it.mCancelRequested,
                         it.mState != tasks::TaskState::Granted,
                         it.mGrantedOffset });
    }
    return result;
  }

  /// Records stay true, so they are sent until they are in the log.
  void SendRecord(const NodeRef& aRef, const tasks::TaskRecord& aRecord)
  {
    Node& node = *aRef.lock();
    Submit(node,
           { aRecord },
           node.Now() + seconds(2),
           [this, aRef, aRecord](const auto& aOffset) {
             if (!aOffset) {
               AtNode(aRef, 100'000, [this, aRef, aRecord](Node&) {
                 SendRecord(aRef, aRecord);
               });
             }
           });
  }

  bool IsCut(const Site& aSite) const { return mTime < aSite.mCutUntil; }

  void Perform(const NodeRef& aRef,
               std::size_t aSite,
               const holder::LeaseAction& aAction)
  {
    Node& node = *aRef.lock();
    Site& site = node.mSites[aSite];
    const base::TimePoint far = mClock.Now() + seconds(60);
    FakeWorker& worker = *mWorkers[aSite];
    if (const auto* it = std::get_if<holder::SetLease>(&aAction)) {
      site.mSentAt[it->mRequest] = node.Now();
      ToWorker(site, true, [this, aRef, aSite, far, &worker, place = *it] {
        Report(aRef,
               aSite,
               place.mRequest,
               worker.SetHolderLease(place.mToken, place.mDuration, far));
      });
    } else if (const auto* it = std::get_if<holder::ReadHolders>(&aAction)) {
      site.mSentAt[it->mRequest] = node.Now();
      ToWorker(
        site, true, [this, aRef, aSite, far, &worker, number = it->mRequest] {
          Report(aRef, aSite, number, worker.Poll(far));
        });
    } else if (const auto* it = std::get_if<holder::RemoveLease>(&aAction)) {
      ToWorker(site, true, [this, aRef, aSite, far, &worker, remove = *it] {
        static_cast<void>(worker.RemoveHolderLease(remove.mToken, far));
        AtNode(aRef, Delay(), [aSite, remove](Node& aNode) {
          aNode.mSites[aSite].mLease->OnRemoved(remove.mRequest, aNode.Now());
        });
      });
    } else if (const auto* it = std::get_if<holder::LeaseAcquired>(&aAction)) {
      Trace(it->mToken.mInstance.mValue + " holds " + worker.Name().mValue);
      holder::TaskRunnerOptions options;
      options.mTaskLease = seconds(8);
      options.mCommandTimeout = milliseconds(600);
      options.mMaxMessageDelay = milliseconds(300);
      options.mReleaseAfter = seconds(2);
      site.mAcquiredAt = node.Now();
      site.mLedger = std::make_unique<holder::Ledger>();
      site.mRunner = std::make_unique<holder::TaskRunner>(
        *site.mLease, *site.mLedger, options);
    } else {
      Trace(node.mId.mValue + " ends hold of " + worker.Name().mValue);
      site.mRunner.reset();
      site.mLedger.reset();
    }
  }

  void ToWorker(const Site& aSite,
                bool aDuplicable,
                const std::function<void()>& aRun)
  {
    const int copies = aDuplicable && Fault(3) ? 2 : 1;
    for (int n = 0; n < copies && !IsCut(aSite); ++n) {
      if (Fault(4)) {
        continue;
      }
      const bool late = mVariant.mLateMessages && Fault(5);
      At(late ? Pick(6 * kSecond) : Delay(), aRun);
    }
  }

  void Report(const NodeRef& aRef,
              std::size_t aSite,
              std::uint64_t aRequest,
              base::Result<worker::WorkerReport> aReport)
  {
    if (!aReport || Fault(4)) {
      return;
    }
    AtNode(aRef, Delay(), [=, report = aReport.value()](Node& aNode) mutable {
      Site& site = aNode.mSites[aSite];
      if (IsCut(site)) {
        return;
      }
      report.mLeaving = report.mLeaving && mVariant.mSeeLeaving;
      worker::WorkerReport seen = report;
      const auto state = site.mLease->State();
      if (!mVariant.mVerify && state == holder::LeaseState::Verifying) {
        seen.mHolders = { { site.mLease->Token(), 0 } };
      }
      site.mLease->OnReport(aRequest, seen, aNode.Now());
      if (site.mRunner && site.mLease->MaySendCommands(aNode.Now())) {
        site.mRunner->OnReport({ report, site.mSentAt[aRequest] });
      }
      StepSite(aRef, aSite);
    });
  }

  void SendCommand(const NodeRef& aRef,
                   std::size_t aSite,
                   const holder::Command& aCommand)
  {
    Node& node = *aRef.lock();
    const Site& site = node.mSites[aSite];
    const base::TimePoint now = node.Now();
    const bool allowed = site.mLease->Token() == aCommand.mHeader.mToken &&
                         site.mLease->MaySendCommands(now) &&
                         now < aCommand.mDeadline;
    if (mVariant.mCheckBeforeSend && !allowed) {
      return;
    }
    // The transport never repeats a start.
    const bool start =
      std::holds_alternative<worker::StartTask>(aCommand.mBody);
    ToWorker(site, !start, [=] {
      const auto outcome =
        holder::ToCommandOutcome(Execute(*mWorkers[aSite], aCommand));
      if (Fault(8)) {
        return;
      }
      AtNode(aRef, Delay(), [=](Node& aNode) {
        Site& target = aNode.mSites[aSite];
        if (target.mRunner && !IsCut(target) &&
            target.mLease->Token() == aCommand.mHeader.mToken) {
          target.mRunner->OnResult(aCommand.mNumber, outcome);
        }
      });
    });
  }

  base::Result<void> Execute(FakeWorker& aWorker,
                             const holder::Command& aCommand)
  {
    const worker::CommandHeader& header = aCommand.mHeader;
    const base::TimePoint far = mClock.Now() + seconds(60);
    if (mVariant.mWorkerChecksNotAfter && aWorker.Now() > header.mNotAfter) {
      return base::MakeError(base::ErrorKind::StaleCommand);
    }
    if (const auto* it = std::get_if<worker::StartTask>(&aCommand.mBody)) {
      auto result = aWorker.Start(header, *it, far);
      if (result) {
        CheckStart(aWorker, header, *it);
      }
      CheckLeaving(aWorker, "start");
      return result;
    }
    if (const auto* it = std::get_if<holder::RenewTasks>(&aCommand.mBody)) {
      return aWorker.Renew(header, it->mTasks, it->mLeaseExpiresAt, far);
    }
    if (const auto* it = std::get_if<holder::CheckpointTask>(&aCommand.mBody)) {
      return aWorker.Checkpoint(header, it->mTask, far);
    }
    if (const auto* it = std::get_if<holder::ThrottleTask>(&aCommand.mBody)) {
      return aWorker.Throttle(header, it->mTask, it->mPercent, far);
    }
    if (const auto* it = std::get_if<holder::StopTask>(&aCommand.mBody)) {
      return aWorker.Stop(header, it->mTask, far);
    }
    return aWorker.Acknowledge(
      header, std::get<holder::AcknowledgeTask>(aCommand.mBody).mTask, far);
  }

  void CheckLeaving(const FakeWorker& aWorker, const std::string& aWhat)
  {
    const auto it = mLeavingSince.find(aWorker.Name());
    if (it != mLeavingSince.end() && mTime > it->second + kLeavingGrace) {
      Fail("P7: " + aWhat + " sent to a leaving worker");
    }
  }

  void CheckStart(FakeWorker& aWorker,
                  const worker::CommandHeader& aHeader,
                  const worker::StartTask& aStart)
  {
    ++mRun.mStarts;
    const worker::AttemptKey key{ aStart.mTask, aStart.mAttempt };
    const std::string name =
      aStart.mTask.mValue + "/" + std::to_string(aStart.mAttempt);
    Trace(aHeader.mToken.mInstance.mValue + " starts " + name + " on " +
          aWorker.Name().mValue);
    if (!mStarted.insert(key).second) {
      Fail("P2: attempt " + name + " started twice");
    }
    const auto task = mOracle.FindTask(aStart.mTask);
    if (!task || !tasks::HasLiveAttempt(task->mState) ||
        task->mLastAttempt != aStart.mAttempt ||
        task->mWorker != aWorker.Name()) {
      Fail("P2: " + name + " started without a live grant");
      return;
    }
    if (task->mCheckpoint != aStart.mCheckpoint) {
      Fail("P3: " + name + " resumed from another checkpoint");
    }
    base::Resources sum;
    for (const auto& other : mWorkers) {
      for (const auto& it : TasksOf(*other)) {
        const bool isSelf =
          other.get() == &aWorker && it.mAttempt == aStart.mAttempt;
        if (it.mTask == aStart.mTask && IsRunning(it) && !isSelf) {
          Fail("P2: " + name + " overlaps another attempt");
        }
        if (other.get() == &aWorker && IsRunning(it)) {
          sum += it.mReserved;
        }
      }
    }
    if (!base::Fits(sum, kCapacity)) {
      Fail("P1: capacity of " + aWorker.Name().mValue + " exceeded");
    }
  }

  void Grant(const NodeRef& aRef)
  {
    Node& node = *aRef.lock();
    const auto n = static_cast<std::size_t>(Pick(kWorkers));
    const Site& site = node.mSites[n];
    if (!node.mState.IsReady() || !site.mLedger || !Chance(40)) {
      return;
    }
    for (const auto& it : node.mState.Queued(20)) {
      const worker::AttemptKey key{ it.mTask, it.mNextAttempt };
      if (node.mGranting.count(it.mTask) != 0 ||
          !site.mLedger->CommitGrant(key, it.mDeclared)) {
        continue;
      }
      node.mGranting.insert(it.mTask);
      const tasks::GrantRecord grant{ it.mTask,
                                      it.mNextAttempt,
                                      mWorkers[n]->Name() };
      Submit(
        node,
        { tasks::TaskRecord(grant) },
        node.Now() + seconds(2),
        [this, aRef, n, grant](const auto&) { OnGranted(aRef, n, grant); });
      return;
    }
  }

  void OnGranted(const NodeRef& aRef,
                 std::size_t aSite,
                 const tasks::GrantRecord& aGrant)
  {
    Node& node = *aRef.lock();
    node.mGranting.erase(aGrant.mTask);
    const auto task = node.mState.FindTask(aGrant.mTask);
    const bool won = task && tasks::HasLiveAttempt(task->mState) &&
                     task->mLastAttempt == aGrant.mAttempt &&
                     task->mWorker == aGrant.mWorker;
    if (!won && node.mSites[aSite].mLedger) {
      node.mSites[aSite].mLedger->CancelGrant(
        { aGrant.mTask, aGrant.mAttempt });
    }
  }

  // Requests.

  void BeginRequest(const NodeRef& aRef, const requests::Request& aRequest)
  {
    Node& node = *aRef.lock();
    // A repeat attaches to the session of its key, as in RequestService.
    const bool isRepeat = std::any_of(
      node.mSessions.begin(), node.mSessions.end(), [&](const auto& aEach) {
        return !aEach.second.mResult &&
               aEach.second.mMachine->GetRequest().mId == aRequest.mId;
      });
    if (!node.mState.IsReady() || isRepeat) {
      return;
    }
    requests::Request request = aRequest;
    request.mDeadline = node.Now() + milliseconds(500 + Pick(3000));
    requests::RequestMachineOptions options;
    options.mAttemptTimeout = milliseconds(700);
    options.mHedgeDelay = milliseconds(Chance(50) ? 200 : 0);
    const std::uint64_t number = mNextSession++;
    Session& session = node.mSessions[number];
    session.mNumber = number;
    session.mMachine = std::make_unique<requests::RequestMachine>(
      request, options, node.mBudget, *node.mClock, *mRandom);
    PerformAll(aRef, number, session.mMachine->Start());
  }

  void Post(const NodeRef& aRef,
            std::uint64_t aSession,
            const requests::RequestEvent& aEvent)
  {
    Node& node = *aRef.lock();
    const auto it = node.mSessions.find(aSession);
    if (it != node.mSessions.end()) {
      PerformAll(aRef, aSession, it->second.mMachine->Handle(aEvent));
    }
  }

  void PostLater(const NodeRef& aRef,
                 std::int64_t aDelay,
                 std::uint64_t aSession,
                 const requests::RequestEvent& aEvent)
  {
    AtNode(aRef, aDelay, [=](Node&) { Post(aRef, aSession, aEvent); });
  }

  void PerformAll(const NodeRef& aRef,
                  std::uint64_t aSession,
                  const requests::RequestActions& aActions)
  {
    for (const auto& it : aActions) {
      PerformRequest(aRef, aSession, it);
    }
  }

  void PerformRequest(const NodeRef& aRef,
                      std::uint64_t aSession,
                      const requests::RequestAction& aAction)
  {
    Node& node = *aRef.lock();
    Session& session = node.mSessions[aSession];
    const requests::Request& request = session.mMachine->GetRequest();
    if (const auto* pick = std::get_if<requests::PickTarget>(&aAction)) {
      PostLater(aRef, Pick(5'000), aSession, Route(node, *pick));
    } else if (const auto* send =
                 std::get_if<requests::SendAttempt>(&aAction)) {
      SendAttempt(aRef, aSession, request, *send);
    } else if (std::holds_alternative<requests::AppendIntent>(aAction)) {
      AppendIntent(aRef, aSession, request);
    } else if (const auto* end =
                 std::get_if<requests::AppendOutcome>(&aAction)) {
      requests::OutcomeRecord record{
        request.mId,           node.mId,
        end->mResult.mOutcome, end->mResult.mError.mKind,
        end->mResult.mBody,    false
      };
      Submit(node,
             { requests::KeyRecord(record) },
             node.Now() + seconds(2),
             [](const auto&) {});
    } else {
      OnFinish(session, std::get<requests::Finish>(aAction).mResult);
    }
  }

  requests::RequestEvent Route(const Node& aNode,
                               const requests::PickTarget& aPick)
  {
    const auto first = static_cast<std::size_t>(Pick(kWorkers));
    for (std::size_t n = 0; n < kWorkers; ++n) {
      const std::size_t index = (first + n) % kWorkers;
      const Site& site = aNode.mSites[index];
      const requests::Target target{ requests::TargetKind::HeldWorker,
                                     mWorkers[index]->Name().mValue };
      if (site.mRunner && site.mRunner->MaySendCalls(aNode.Now()) &&
          aPick.mTried.count(target) == 0 &&
          site.mLedger->FreeCallCapacity().mSlots > 0) {
        return requests::TargetOffered{ target };
      }
    }
    return requests::TargetUnavailable{};
  }

  void SendAttempt(const NodeRef& aRef,
                   std::uint64_t aSession,
                   const requests::Request& aRequest,
                   const requests::SendAttempt& aSend)
  {
    Node& node = *aRef.lock();
    const std::size_t index =
      aSend.mTarget.mName == mWorkers[0]->Name().mValue ? 0 : 1;
    const Site& site = node.mSites[index];
    const auto fail = [&](base::ErrorKind aKind) {
      PostLater(aRef,
                Pick(2'000),
                aSession,
                requests::AttemptFailed{
                  aRequest.mId, aSend.mAttempt, base::MakeError(aKind) });
    };
    const base::TimePoint now = node.Now();
    const std::uint64_t call = ++mNextCall;
    if (now >= aSend.mDeadline || !site.mRunner ||
        !site.mRunner->MaySendCalls(now)) {
      fail(base::ErrorKind::WorkerUnavailable);
      return;
    }
    const auto notAfter = site.mLease->Clock().ToEarliestWorkerTime(
      std::min(aSend.mDeadline, site.mLease->Deadline()));
    if (!site.mLedger->BeginCall(call, { notAfter, now + milliseconds(300) })) {
      fail(base::ErrorKind::NoCapacity);
      return;
    }
    // Calls without an answer keep their slot until a report shows the end.
    const auto token = site.mLease->Token();
    AtNode(aRef, 700'000, [=](Node& aNode) {
      Site& own = aNode.mSites[index];
      if (own.mLedger && own.mLease->Token() == token) {
        own.mLedger->MarkAnswerLost(call);
      }
    });
    ToWorker(site, aRequest.mIdempotent, [=] {
      RunCall(aRef, aSession, index, { token, notAfter }, aRequest, aSend);
    });
  }

  void RunCall(const NodeRef& aRef,
               std::uint64_t aSession,
               std::size_t aSite,
               const worker::CommandHeader& aHeader,
               const requests::Request& aRequest,
               const requests::SendAttempt& aSend)
  {
    FakeWorker& worker = *mWorkers[aSite];
    const bool isStale =
      mVariant.mWorkerChecksNotAfter && worker.Now() > aHeader.mNotAfter;
    if (!isStale) {
      CheckLeaving(worker, "request");
    }
    const auto admitted = isStale || mDownWorkers.count(aSite) != 0
                            ? base::Result<AdmittedCall>(
                                base::MakeError(base::ErrorKind::StaleCommand))
                            : worker.Admit(aHeader,
                                           { aRequest.mId,
                                             aSend.mAttempt,
                                             "service",
                                             aRequest.mBody,
                                             aRequest.mIdempotent });
    if (!admitted) {
      // As HttpRemoteWorker: the refused copy of a call that may be repeated
      // proves nothing about the other one.
      const base::Error error =
        aRequest.mIdempotent ? base::MakeError(base::ErrorKind::ConnectionLost)
                             : admitted.error();
      if (mDownWorkers.count(aSite) == 0) {
        PostLater(
          aRef,
          Delay(),
          aSession,
          requests::AttemptFailed{ aRequest.mId, aSend.mAttempt, error });
      }
      return;
    }
    NoteRun(aSession, aRequest);
    if (Fault(8)) {
      return;
    }
    const auto& answer = admitted.value().mAnswer;
    const requests::AttemptAnswered event{ answer.mRequest,
                                           answer.mAttempt,
                                           answer.mBody };
    const std::int64_t end = (admitted.value().mEndsAt - mClock.Now()).count();
    AtNode(aRef, end + Delay(), [=](Node& aNode) {
      DeliverAnswer(aRef, aNode, aSession, event);
    });
    if (Fault(5)) {
      PostLater(aRef, end + Delay(), aSession, event);
    }
  }

  /// Some answers reach another request of the instance.
  void DeliverAnswer(const NodeRef& aRef,
                     Node& aNode,
                     std::uint64_t aSession,
                     requests::AttemptAnswered aAnswer)
  {
    std::uint64_t target = aSession;
    if (Fault(6) && !aNode.mSessions.empty()) {
      auto it = aNode.mSessions.begin();
      std::advance(it, Pick(static_cast<std::int64_t>(aNode.mSessions.size())));
      target = it->first;
      if (!mVariant.mMatchAnswers) {
        aAnswer.mRequest = it->second.mMachine->GetRequest().mId;
      }
    }
    Post(aRef, target, aAnswer);
  }

  void NoteRun(std::uint64_t aSession, const requests::Request& aRequest)
  {
    mRanSessions.insert(aSession);
    if (mNotRunSessions.count(aSession) != 0) {
      Fail("P5: " + aRequest.mId.mValue + " ran after not_run was told");
    }
    const int runs = ++mKeyRuns[aRequest.mId];
    if (aRequest.mIdempotent) {
      return;
    }
    Trace("run of " + aRequest.mId.mValue);
    if (runs > 1) {
      Fail("P6: " + aRequest.mId.mValue + " ran twice");
    }
    if (mNotRunKeys.count(aRequest.mId) != 0) {
      Fail("P5: " + aRequest.mId.mValue + " ran after it was recorded not_run");
    }
  }

  void OnFinish(Session& aSession, const requests::RequestResult& aResult)
  {
    const requests::Request& request = aSession.mMachine->GetRequest();
    if (aSession.mResult) {
      Fail("P4: " + request.mId.mValue + " answered twice");
    }
    aSession.mResult = aResult;
    if (aResult.mOutcome == requests::Outcome::NotRun) {
      mNotRunSessions.insert(aSession.mNumber);
      if (mRanSessions.count(aSession.mNumber) != 0) {
        Fail("P5: " + request.mId.mValue + " ran, but not_run was told");
      }
    } else if (aResult.mOutcome == requests::Outcome::Completed) {
      ++mRun.mCompletedRequests;
      if (aResult.mBody != request.mBody) {
        Fail("P4: " + request.mId.mValue + " got another answer");
      }
      if (mKeyRuns[request.mId] == 0) {
        Fail("P4: " + request.mId.mValue + " completed without a run");
      }
    }
  }

  void AppendIntent(const NodeRef& aRef,
                    std::uint64_t aSession,
                    const requests::Request& aRequest)
  {
    Node& node = *aRef.lock();
    const requests::IntentRecord intent{ aRequest.mId, node.mId };
    const auto done = [this, aRef, aSession, key = aRequest.mId](
                        const base::Result<platform::Offset>& aOffset) {
      Node& self = *aRef.lock();
      const auto known = self.mState.FindKey(key);
      Trace("session " + std::to_string(aSession) + " of " + key.mValue + ": " +
            (aOffset ? "offset " + std::to_string(aOffset.value())
                     : std::string(base::NameOf(aOffset.error().mKind))) +
            ", claimed at " + std::to_string(known.mClaimedOffset) + " by " +
            known.mClaimant.mValue);
      if (!mVariant.mReadIntentBack && aOffset) {
        PostLater(aRef, 0, aSession, requests::IntentWon{});
        return;
      }
      if (known.mState == requests::KeyState::Unclaimed) {
        if (!aOffset && aOffset.error().mKind != base::ErrorKind::AnswerLost) {
          PostLater(aRef, 0, aSession, requests::LogUnavailable{});
        }
        return;
      }
      if (aOffset && known.mState == requests::KeyState::Claimed &&
          known.mClaimant == self.mId &&
          known.mClaimedOffset == aOffset.value()) {
        PostLater(aRef, 0, aSession, requests::IntentWon{});
        return;
      }
      const auto it = self.mSessions.find(aSession);
      if (it != self.mSessions.end()) {
        it->second.mIsWatching = true;
      }
    };
    Submit(node, { requests::KeyRecord(intent) }, aRequest.mDeadline, done);
  }

  bool IsAlive(const base::InstanceId& aInstance) const
  {
    return std::any_of(mNodes.begin(), mNodes.end(), [&](const auto& aEach) {
      return aEach->mId == aInstance && mTime >= aEach->mPausedUntil;
    });
  }

  void StepSessions(const NodeRef& aRef)
  {
    Node& node = *aRef.lock();
    std::vector<std::pair<std::uint64_t, requests::RequestEvent>> events;
    for (auto it = node.mSessions.begin(); it != node.mSessions.end();) {
      Session& session = it->second;
      const auto& request = session.mMachine->GetRequest();
      const bool isOver =
        session.mResult && node.Now() > request.mDeadline + seconds(5);
      if (isOver) {
        it = node.mSessions.erase(it);
        continue;
      }
      const auto key = node.mState.FindKey(request.mId);
      if (session.mIsWatching && key.mState == requests::KeyState::Finished) {
        session.mIsWatching = false;
        events.emplace_back(
          it->first,
          requests::KeyClaimedByOther{ requests::OtherClaimState::Finished,
                                       *key.mOutcome });
      } else if (session.mIsWatching && !IsAlive(key.mClaimant)) {
        session.mIsWatching = false;
        events.emplace_back(it->first,
                            requests::KeyClaimedByOther{
                              requests::OtherClaimState::Abandoned, {} });
      } else if (node.Now() >= session.mMachine->NextWakeUp()) {
        events.emplace_back(it->first, requests::TimerFired{});
      } else if (Fault(1) && Chance(30)) {
        events.emplace_back(it->first, requests::CancelRequested{});
      }
      ++it;
    }
    for (const auto& it : events) {
      Post(aRef, it.first, it.second);
    }
  }

  // Configuration.

  void ReadConfig(const NodeRef& aRef)
  {
    Node& node = *aRef.lock();
    const platform::Offset from = node.mConfig.NextOffset();
    if (IsLogReachable(node) && !Fault(5)) {
      At(Delay(), [=] {
        const auto page =
          mLog.Read("config", from, 1 + Pick(10), mClock.Now() + seconds(1));
        if (!page) {
          return;
        }
        AtNode(aRef, Delay(), [=](Node& aNode) {
          aNode.mConfig.UpdateFirstRetained(page.value().mFirstRetained);
          for (const auto& it : page.value().mRecords) {
            aNode.mConfig.Apply(
              it.mOffset, it.mPayload, page.value().mFirstRetained);
          }
        });
      });
    } else if (Chance(10)) {
      ImportConfig(aRef);
    }
    AtNode(
      aRef, 50'000 + Pick(100'000), [this, aRef](Node&) { ReadConfig(aRef); });
  }

  /// Asks a peer while the log does not answer.
  void ImportConfig(const NodeRef& aRef)
  {
    const auto peer = mNodes[static_cast<std::size_t>(Pick(kNodes))];
    const auto text = peer->mConfig.Export();
    if (!text || peer == aRef.lock() || mTime < peer->mPausedUntil) {
      return;
    }
    AtNode(aRef, Delay(), [this, text = text.value()](Node& aNode) {
      if (!aNode.mConfig.Import(text)) {
        Fail("a peer's configuration was refused");
      }
    });
  }

  void BeginPublish(Node& aNode)
  {
    if (!aNode.mConfig.IsComplete()) {
      return;
    }
    catalog::Profile profile;
    profile.mName = "profile-" + std::to_string(Pick(4));
    profile.mPreset =
      Chance(50) ? catalog::Preset::Throughput : catalog::Preset::Tail;
    catalog::PublishRecord record;
    record.mIdentity = { aNode.mId.mValue, ++aNode.mConfigSequence };
    record.mBaseVersion = aNode.mConfig.CurrentVersion();
    record.mDelta.mChanged.emplace_back(profile);
    record.mDigest =
      catalog::ApplyDelta(*aNode.mConfig.CurrentSet(), record.mDelta)
        .value()
        .Digest();
    aNode.mPublishes.push_back(
      { record.mIdentity, catalog::FormatConfigRecord(record) });
  }

  /// Keeps the state recoverable after the publishes have expired.
  void AppendConfigSnapshot(Node& aNode)
  {
    const auto snapshot =
      aNode.mConfig.MakeSnapshot({ aNode.mId.mValue, ++aNode.mConfigSequence });
    if (snapshot) {
      AppendConfig(aNode, catalog::FormatConfigRecord(snapshot.value()));
    }
  }

  bool AppendConfig(const Node& aNode, const std::string& aPayload)
  {
    if (!IsLogReachable(aNode) || Fault(10)) {
      return false;
    }
    const int copies = Fault(5) ? 2 : 1;
    for (int n = 0; n < copies; ++n) {
      At(Fault(5) ? Pick(2 * kSecond) : Delay(), [this, aPayload] {
        const auto offset =
          mLog.Append("config", aPayload, mClock.Now() + seconds(1));
        if (offset) {
          const auto page =
            mLog.Read("config", offset.value(), 1, mClock.Now() + seconds(1));
          mConfigOracle.Apply(
            offset.value(), aPayload, page.value().mFirstRetained);
        }
      });
    }
    return true;
  }

  void StepPublishes(const NodeRef& aRef)
  {
    Node& node = *aRef.lock();
    // Often enough that lost snapshots do not leave new readers without one.
    if (Pick(60) == 0) {
      AppendConfigSnapshot(node);
    }
    for (auto it = node.mPublishes.begin(); it != node.mPublishes.end();) {
      const auto& identity = it->mIdentity;
      const auto verdict =
        node.mConfig.FindPublishOutcome(identity.mWriter, identity.mSequence);
      if (verdict) {
        CheckVerdict(identity, verdict->mResult);
        it = node.mPublishes.erase(it);
        continue;
      }
      if (it->mSendsLeft > 0 && Chance(10)) {
        --it->mSendsLeft;
        const bool sent = AppendConfig(node, it->mPayload);
        if (sent && !mVariant.mReadVerdictBack) {
          AtNode(aRef, 2 * kSecond, [this, identity](Node&) {
            CheckVerdict(identity, catalog::ApplyResult::Published);
          });
        }
      }
      ++it;
    }
  }

  void CheckVerdict(const catalog::RecordIdentity& aIdentity,
                    catalog::ApplyResult aTold)
  {
    ++mRun.mPublishes;
    const auto truth =
      mConfigOracle.FindPublishOutcome(aIdentity.mWriter, aIdentity.mSequence);
    if (!truth || truth->mResult != aTold) {
      Fail("P9: a publisher was told another verdict than the log's");
    }
  }

  void CheckConfig()
  {
    for (const auto& it : mNodes) {
      const catalog::Version version = it->mConfig.CurrentVersion();
      catalog::Version& newest =
        mConfigVersions.emplace(it->mId, catalog::kNoVersion).first->second;
      if (version < newest) {
        Fail("P9: the configuration of " + it->mId.mValue + " went back");
      }
      if (version == newest) {
        continue;
      }
      newest = version;
      const std::string digest = it->mConfig.CurrentSet()->Digest();
      if (mConfigDigests.emplace(version, digest).first->second != digest) {
        Fail("P9: readers disagree about a version");
      }
    }
  }

  // Callers and faults.

  std::shared_ptr<Node> AnyNode()
  {
    return mNodes[static_cast<std::size_t>(Pick(kNodes))];
  }

  void Call()
  {
    if (!HasFaults()) {
      return;
    }
    const auto node = AnyNode();
    if (mTime >= node->mPausedUntil) {
      CallAt(node);
    }
    At(Pick(120 * kMillisecond), [this] { Call(); });
  }

  void CallAt(const std::shared_ptr<Node>& aNode)
  {
    const std::int64_t kind = Pick(20);
    if (kind < 4) {
      SubmitTask(aNode);
    } else if (kind < 5) {
      Cancel(*aNode);
    } else if (kind < 6) {
      BeginPublish(*aNode);
    } else {
      const bool isIdempotent = kind < 12;
      // Keys of non-idempotent requests are repeated, also at other instances.
      mNextRequest += isIdempotent || Chance(40) ? 1 : 0;
      requests::Request request;
      request.mId = { (isIdempotent ? "request-" : "key-") +
                      std::to_string(mNextRequest -
                                     (isIdempotent ? 0 : Pick(3))) };
      request.mService = "service";
      request.mIdempotent = isIdempotent;
      request.mBody = R"({"id":")" + request.mId.mValue + R"(","work_ms":)" +
                      std::to_string(Pick(5) * 100) + "}";
      // A repeat has the body of the first request.
      request.mBody = mBodies.emplace(request.mId, request.mBody).first->second;
      BeginRequest(aNode, request);
    }
  }

  void SubmitTask(const std::shared_ptr<Node>& aNode)
  {
    tasks::AcceptRecord accept;
    // Callers repeat submissions whose answer they did not get.
    mNextTask += Chance(70) ? 1 : 0;
    accept.mSpec.mTask = { "task-" + std::to_string(mNextTask) };
    accept.mSpec.mCaller = "caller";
    accept.mSpec.mDeclared = { 300 + 100 * (mNextTask % 16),
                               300 + 100 * (mNextTask % 7),
                               mNextTask % 5 == 0 ? 1 : 0 };
    accept.mSpec.mPayload =
      R"({"run_ms":)" + std::to_string(100 + mNextTask % 9 * 400) +
      R"(,"checkpoint_ms":)" + std::to_string(mNextTask % 3 * 100) + "}";
    const base::TaskId task = accept.mSpec.mTask;
    const NodeRef ref = aNode;
    Submit(*aNode,
           { tasks::TaskRecord(accept) },
           aNode->Now() + seconds(2),
           [this, ref, task](const base::Result<platform::Offset>& aOffset) {
             const bool isApplied =
               ref.lock()->mState.FindTask(task).has_value();
             if (aOffset && isApplied) {
               Trace("accepted " + task.mValue);
               mAccepted.insert(task);
             }
           });
    if (!mVariant.mReadAcceptBack) {
      mAccepted.insert(task);
    }
  }

  void Cancel(Node& aNode)
  {
    if (mNextTask == 0) {
      return;
    }
    const std::int64_t number = std::max<std::int64_t>(1, mNextTask - Pick(10));
    const base::TaskId task{ "task-" + std::to_string(number) };
    if (aNode.mState.FindTask(task)) {
      Trace("cancel " + task.mValue);
      Submit(aNode,
             { tasks::TaskRecord(tasks::CancelRecord{ task, "caller" }) },
             aNode.Now() + seconds(2),
             [](const auto&) {});
    }
  }

  void Disturb()
  {
    if (!HasFaults()) {
      return;
    }
    const auto n = static_cast<std::size_t>(Pick(kNodes));
    const auto w = static_cast<std::size_t>(Pick(kWorkers));
    Node& node = *mNodes[n];
    switch (Pick(12)) {
      case 0:
      case 1:
        node.mPausedUntil = mTime + Pick(5 * kSecond);
        Trace(node.mId.mValue + " paused");
        break;
      case 2:
        Trace(node.mId.mValue + " crashed");
        mNodes[n] = MakeNode();
        break;
      case 3:
        DisturbLog();
        break;
      case 4:
        node.mLogCutUntil = mTime + Pick(5 * kSecond);
        Trace(node.mId.mValue + " cut off from the log");
        break;
      case 5:
      case 6:
        node.mSites[w].mCutUntil = mTime + Pick(5 * kSecond);
        Trace(node.mId.mValue + " cut off from worker " + std::to_string(w));
        break;
      case 7:
        RestartWorker(w);
        break;
      case 8:
        mWorkers[w]->SetFailAll(true);
        At(Pick(2 * kSecond), [this, w] { mWorkers[w]->SetFailAll(false); });
        break;
      case 9:
        Leave(w);
        break;
      default:
        Evict(node, w);
        break;
    }
    At(100 * kMillisecond + Pick(kSecond), [this] { Disturb(); });
  }

  // Snapshots need the log for some time in every retention period.
  void DisturbLog()
  {
    if (mTime < mLogDownUntil + 3 * kSecond) {
      return;
    }
    const std::int64_t length = Pick(kMaxOutage);
    mLogDownUntil = mTime + length;
    mLog.SetDown(true);
    Trace("log down");
    At(length, [this] { mLog.SetDown(false); });
  }

  void RestartWorker(std::size_t aWorker)
  {
    FakeWorker& worker = *mWorkers[aWorker];
    Trace("restart of " + worker.Name().mValue);
    // What the restart killed without a trace may be started once more.
    for (const auto& it : TasksOf(worker)) {
      mStarted.erase({ it.mTask, it.mAttempt });
    }
    mLeavingSince.erase(worker.Name());
    mDownWorkers.insert(aWorker);
    worker.Crash();
    worker.SetLeaving(false);
    At(Pick(kSecond), [this, aWorker] {
      mDownWorkers.erase(aWorker);
      mWorkers[aWorker]->Restart();
    });
  }

  void Leave(std::size_t aWorker)
  {
    FakeWorker& worker = *mWorkers[aWorker];
    if (mDownWorkers.count(aWorker) != 0) {
      return;
    }
    Trace(worker.Name().mValue + " is leaving");
    mLeavingSince.emplace(worker.Name(), mTime);
    worker.SetLeaving(true);
    At(3 * kSecond + Pick(4 * kSecond),
       [this, aWorker] { RestartWorker(aWorker); });
  }

  void Evict(Node& aNode, std::size_t aSite)
  {
    const auto running = TasksOf(*mWorkers[aSite]);
    if (!aNode.mSites[aSite].mRunner || running.empty()) {
      return;
    }
    const auto& task = running[static_cast<std::size_t>(
      Pick(static_cast<std::int64_t>(running.size())))];
    aNode.mSites[aSite].mRunner->Evict({ task.mTask, task.mAttempt },
                                       aNode.Now() +
                                         milliseconds(300 + Pick(700)));
  }

  void EndFaults()
  {
    Trace("faults end");
    for (const auto& it : mNodes) {
      it->mPausedUntil = std::min(it->mPausedUntil, mTime);
      it->mLogCutUntil = 0;
      for (auto& site : it->mSites) {
        site.mCutUntil = 0;
      }
    }
  }

  // Checks.

  void CheckHolders()
  {
    for (std::size_t n = 0; n < kWorkers; ++n) {
      const auto holders =
        std::count_if(mNodes.begin(), mNodes.end(), [&](const auto& aItem) {
          const Site& site = aItem->mSites[n];
          return site.mRunner && site.mRunner->MaySendCalls(aItem->Now());
        });
      if (holders > 1) {
        Fail("P1: two instances may commit " + mWorkers[n]->Name().mValue);
      }
    }
  }

  std::string FirstUnfinished() const
  {
    for (const auto& it : mAccepted) {
      if (mEnded.count(it) == 0) {
        const auto task = mOracle.FindTask(it);
        return it.mValue + " is " +
               (task ? std::string(tasks::NameOf(task->mState)) : "lost");
      }
    }
    for (const auto& node : mNodes) {
      for (const auto& it : node->mSessions) {
        if (!it.second.mResult) {
          return it.second.mMachine->GetRequest().mId.mValue;
        }
      }
      if (node->mConfig.CurrentVersion() != mConfigOracle.CurrentVersion()) {
        return "configuration of " + node->mId.mValue;
      }
    }
    return {};
  }

  bool IsFinished()
  {
    // Late messages of the faults arrive within some seconds.
    if (mTime < kFaultsEnd + 8 * kSecond || !FirstUnfinished().empty()) {
      return false;
    }
    mRun.mTasksEnded = mEnded.size();
    return true;
  }

  std::unique_ptr<base::Random> mRandom;
  SiteVariant mVariant;
  std::int64_t mTime = 0;
  base::ManualClock mClock;
  std::uint64_t mNextEvent = 0;
  std::priority_queue<Event> mEvents;
  FakeLog mLog;
  std::int64_t mLogDownUntil = 0;
  std::vector<std::unique_ptr<FakeWorker>> mWorkers;
  std::set<std::size_t> mDownWorkers;
  std::map<base::WorkerId, std::int64_t> mLeavingSince;
  std::vector<std::shared_ptr<Node>> mNodes;
  int mNextNode = 0;
  std::int64_t mNextTask = 0;
  std::int64_t mNextRequest = 3;
  std::uint64_t mNextSession = 1;
  std::uint64_t mNextCall = 0;
  std::map<base::RequestId, std::string> mBodies;

  journal::SiteState mOracle;
  journal::StreamReader mOracleReader;
  catalog::ConfigState mConfigOracle;
  std::set<base::TaskId> mAccepted;
  std::set<base::TaskId> mEnded;
  std::map<base::TaskId, std::int64_t> mNewestAttempt;
  std::set<worker::AttemptKey> mStarted;
  std::map<base::RequestId, int> mKeyRuns;
  std::set<base::RequestId> mNotRunKeys;
  std::set<std::uint64_t> mRanSessions;
  std::set<std::uint64_t> mNotRunSessions;
  std::map<base::InstanceId, catalog::Version> mConfigVersions;
  std::map<catalog::Version, std::string> mConfigDigests;
  std::deque<std::string> mTrace;
  SiteRun mRun;
};

} // namespace

SiteRun
RunSiteWorld(std::uint64_t aSeed, const SiteVariant& aVariant)
{
  return World(aSeed, aVariant).Run();
}

} // namespace skylarkhill::testing
