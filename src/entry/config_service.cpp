#include "skylarkhill/entry/config_service.hpp"

#include "skylarkhill/logging/logging.hpp"

#include <algorithm>
#include <utility>

namespace skylarkhill::entry {

using base::ErrorKind;
using base::MakeError;
using timeline::EventKind;

namespace {

constexpr const char* kStream = "config";
constexpr std::int64_t kRecordsPerRead = 64;

} // namespace

ConfigService::ConfigService(ConfigServiceOptions aOptions,
                             platform::LogService& aLog,
                             const base::Clock& aClock,
                             const Instruments& aInstruments)
  : mOptions(std::move(aOptions))
  , mLog(aLog)
  , mClock(aClock)
  , mInstruments(aInstruments)
  , mSnapshotDueAt(aClock.Now() + mOptions.mSnapshotAge)
{
}

ConfigService::~ConfigService()
{
  Stop();
}

void
ConfigService::Start()
{
  mThread = std::thread([this] { Run(); });
}

void
ConfigService::Stop()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mChanged.notify_all();
  if (mThread.joinable()) {
    mThread.join();
  }
}

void
ConfigService::Run()
{
  while (true) {
    const bool hasMore = ReadPage();
    AppendSnapshotIfDue();
    std::unique_lock lock(mMutex);
    if (!hasMore && !mReadRequested) {
      mChanged.wait_for(lock, mOptions.mPollInterval, [this] {
        return mStopping || mReadRequested;
      });
    }
    mReadRequested = false;
    if (mStopping) {
      return;
    }
  }
}

bool
ConfigService::ReadPage()
{
  platform::Offset from = 0;
  {
    const std::lock_guard lock(mMutex);
    from = mState.NextOffset();
  }
  const auto page = mLog.Read(
    kStream, from, kRecordsPerRead, mClock.Now() + mOptions.mReadTimeout);
  const std::lock_guard lock(mMutex);
  if (page.has_value() != mLogAvailable) {
    mLogAvailable = page.has_value();
    const auto kind =
      mLogAvailable ? EventKind::LogRecovered : EventKind::LogUnavailable;
    mInstruments.mTimeline.Record({ kind, {}, {}, {}, {}, {}, 0, kStream });
    logging::Write(mLogAvailable ? logging::Level::Info
                                 : logging::Level::Warning,
                   timeline::NameOf(kind),
                   { { "stream", kStream } });
  }
  if (!page) {
    return false;
  }
  ApplyPage(page.value());
  const bool hasMore = mState.NextOffset() < page.value().mEnd;
  // If records expired before they were read, the set may be outdated; the
  // state is complete again after a snapshot or an import from a peer.
  mReady = mReady || (!hasMore && mState.IsComplete());
  mChanged.notify_all();
  return hasMore;
}

void
ConfigService::ApplyPage(const platform::LogPage& aPage)
{
  mState.UpdateFirstRetained(aPage.mFirstRetained);
  for (const auto& it : aPage.mRecords) {
    const auto result =
      mState.Apply(it.mOffset, it.mPayload, aPage.mFirstRetained);
    mInstruments.mMetrics
      .GetCounter("skylarkhill_config_records_total",
                  "Records read from the config stream by their effect.",
                  { { metrics::LabelKey::Outcome,
                      std::string(catalog::NameOf(result)) } })
      .Add();
    if (result != catalog::ApplyResult::Published &&
        result != catalog::ApplyResult::Restored) {
      continue;
    }
    const std::string version = std::to_string(mState.CurrentVersion());
    mInstruments.mTimeline.Record(
      { EventKind::ConfigApplied, {}, {}, {}, {}, {}, 0, version });
    logging::Write(
      logging::Level::Info, "config_applied", { { "version", version } });
  }
  // A new reader needs the record at the recovery offset and all later ones, so
  // the age of that record determines when the next snapshot is due.
  if (mState.RecoveryOffset() != mRecoveryOffset) {
    mRecoveryOffset = mState.RecoveryOffset();
    mSnapshotDueAt = mClock.Now() + mOptions.mSnapshotAge;
  }
  mInstruments.mMetrics
    .GetGauge("skylarkhill_config_version", "Version of the set in force.")
    .Set(mState.CurrentVersion());
}

void
ConfigService::AppendSnapshotIfDue()
{
  catalog::ConfigRecord record;
  {
    const std::lock_guard lock(mMutex);
    if (mClock.Now() < mSnapshotDueAt || !mReady) {
      return;
    }
    mSnapshotDueAt = mClock.Now() + mOptions.mSnapshotAge;
    auto snapshot = mState.MakeSnapshot({ mOptions.mWriter, ++mSequence });
    if (!snapshot) {
      return;
    }
    record = std::move(snapshot.value());
  }
  // If the append fails, another instance appends a snapshot when its own is
  // due.
  const auto appended = Append(record, mClock.Now() + mOptions.mAppendTimeout);
  static_cast<void>(appended);
}

base::Result<void>
ConfigService::Append(const catalog::ConfigRecord& aRecord,
                      base::TimePoint aDeadline)
{
  const auto offset =
    mLog.Append(kStream, catalog::FormatConfigRecord(aRecord), aDeadline);
  // If the answer was lost, only reading the stream shows whether the append
  // took effect, so the stream is read in both cases.
  if (!offset && offset.error().mKind != ErrorKind::AnswerLost) {
    return offset.error();
  }
  const std::lock_guard lock(mMutex);
  mReadRequested = true;
  mChanged.notify_all();
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

base::Result<catalog::Version>
ConfigService::Publish(catalog::Version aBaseVersion,
                       const catalog::CatalogSet& aTarget,
                       const std::string& aPublisher,
                       base::TimePoint aDeadline)
{
  catalog::PublishRecord record;
  {
    const std::lock_guard lock(mMutex);
    BOOST_OUTCOME_TRY(
      prepared,
      catalog::PreparePublish(mState,
                              aBaseVersion,
                              catalog::Diff(*mState.CurrentSet(), aTarget),
                              aPublisher));
    record = std::move(prepared);
    record.mIdentity = { mOptions.mWriter, ++mSequence };
  }
  const base::TimePoint appendDeadline =
    std::min(aDeadline, mClock.Now() + mOptions.mAppendTimeout);
  BOOST_OUTCOME_TRYV(Append(record, appendDeadline));
  return WaitForPublishOutcome(record, aDeadline);
}

base::Result<catalog::Version>
ConfigService::WaitForPublishOutcome(const catalog::PublishRecord& aRecord,
                                     base::TimePoint aDeadline)
{
  std::unique_lock lock(mMutex);
  std::optional<catalog::PublishOutcome> outcome;
  while (!outcome) {
    outcome = mState.FindPublishOutcome(aRecord.mIdentity.mWriter,
                                        aRecord.mIdentity.mSequence);
    const catalog::Version current = mState.CurrentVersion();
    // Once its base version has been replaced, a record that has not been read
    // yet can no longer take effect, whether or not it was appended.
    if (!outcome && mState.IsComplete() && current > aRecord.mBaseVersion) {
      return MakeError(
        ErrorKind::VersionConflict,
        "the publish did not take effect; the config version is " +
          std::to_string(current));
    }
    const base::TimePoint now = mClock.Now();
    if (outcome || now >= aDeadline || mStopping) {
      break;
    }
    mReadRequested = true;
    mChanged.notify_all();
    mChanged.wait_for(
      lock,
      std::min<base::Duration>(std::chrono::milliseconds(50), aDeadline - now));
  }
  if (!outcome) {
    return MakeError(
      ErrorKind::AnswerLost,
      "the outcome of the publish is unknown; check the current version");
  }
  if (outcome->mResult == catalog::ApplyResult::Published) {
    return outcome->mVersion;
  }
  return MakeError(ErrorKind::VersionConflict,
                   "the publish did not take effect; the config version is " +
                     std::to_string(outcome->mVersion));
}

ConfigView
ConfigService::Current() const
{
  const std::lock_guard lock(mMutex);
  return { mState.CurrentVersion(), mState.CurrentSet() };
}

bool
ConfigService::IsReady() const
{
  const std::lock_guard lock(mMutex);
  return mReady;
}

base::Result<std::string>
ConfigService::Export() const
{
  const std::lock_guard lock(mMutex);
  return mState.Export();
}

base::Result<bool>
ConfigService::Import(const std::string& aText)
{
  const std::lock_guard lock(mMutex);
  auto imported = mState.Import(aText);
  if (imported && imported.value()) {
    mReady = true;
    mInstruments.mTimeline.Record(
      { EventKind::ConfigApplied,
        {},
        {},
        {},
        {},
        {},
        0,
        std::to_string(mState.CurrentVersion()) + " from a peer" });
  }
  return imported;
}

} // namespace skylarkhill::entry
