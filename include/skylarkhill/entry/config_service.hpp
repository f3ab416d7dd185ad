#ifndef SKYLARKHILL_ENTRY_CONFIG_SERVICE_HPP
#define SKYLARKHILL_ENTRY_CONFIG_SERVICE_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/error.hpp"
#include "skylarkhill/catalog/config_state.hpp"
#include "skylarkhill/catalog/publish.hpp"
#include "skylarkhill/entry/instruments.hpp"
#include "skylarkhill/platform/log_service.hpp"

#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace skylarkhill::entry {

struct ConfigServiceOptions
{
  /// Instance and incarnation, as "name/incarnation".
  std::string mWriter;
  base::Duration mPollInterval = std::chrono::milliseconds(250);
  base::Duration mReadTimeout = std::chrono::seconds(2);
  base::Duration mAppendTimeout = std::chrono::seconds(2);
  /// A snapshot is appended once the oldest record that a new reader needs has
  /// reached this age.
  base::Duration mSnapshotAge = std::chrono::hours(12);
};

/// The current catalog set and its version.
struct ConfigView
{
  catalog::Version mVersion = catalog::kNoVersion;
  std::shared_ptr<const catalog::CatalogSet> mSet;
};

/// Reads the `config` stream and publishes to it. Thread-safe.
class ConfigService
{
public:
  /// The references must outlive the service.
  ConfigService(ConfigServiceOptions aOptions,
                platform::LogService& aLog,
                const base::Clock& aClock,
                const Instruments& aInstruments);
  ~ConfigService();
  ConfigService(const ConfigService&) = delete;
  ConfigService& operator=(const ConfigService&) = delete;

  void Start();
  void Stop();

  /// Publishes `aTarget` as the successor of `aBaseVersion` and waits until the
  /// log shows whether it took effect. InvalidSet, VersionConflict (with the
  /// version that took effect instead), LogUnavailable; AnswerLost: the outcome
  /// is unknown.
  base::Result<catalog::Version> Publish(catalog::Version aBaseVersion,
                                         const catalog::CatalogSet& aTarget,
                                         const std::string& aPublisher,
                                         base::TimePoint aDeadline);

  ConfigView Current() const;
  /// True once the stream has been read to its end with complete state, or a
  /// peer's state has been imported.
  bool IsReady() const;

  /// Serializes the state for a peer. Errors: NotFound while it is incomplete.
  base::Result<std::string> Export() const;
  /// Replaces the state by a peer's state if that is newer; true if it was.
  base::Result<bool> Import(const std::string& aText);

private:
  void Run();
  /// Reads one page; true if there may be more.
  bool ReadPage();
  void ApplyPage(const platform::LogPage& aPage);
  void AppendSnapshotIfDue();
  base::Result<void> Append(const catalog::ConfigRecord& aRecord,
                            base::TimePoint aDeadline);
  base::Result<catalog::Version> WaitForPublishOutcome(
    const catalog::PublishRecord& aRecord,
    base::TimePoint aDeadline);

  const ConfigServiceOptions mOptions;
  platform::LogService& mLog;
  const base::Clock& mClock;
  const Instruments mInstruments;

  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  catalog::ConfigState mState;
  std::int64_t mSequence = 0;
  base::TimePoint mSnapshotDueAt;
  platform::Offset mRecoveryOffset = -1;
  bool mReady = false;
  bool mReadRequested = false;
  bool mLogAvailable = true;
  bool mStopping = false;
  std::thread mThread;
};

} // namespace skylarkhill::entry

#endif // SKYLARKHILL_ENTRY_CONFIG_SERVICE_HPP
