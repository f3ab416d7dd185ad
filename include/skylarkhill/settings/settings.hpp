#ifndef SKYLARKHILL_SETTINGS_SETTINGS_HPP
#define SKYLARKHILL_SETTINGS_SETTINGS_HPP

#include "skylarkhill/base/error.hpp"
#include "skylarkhill/settings/secret.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkhill::settings {

/// Minimum severity of the log lines that the process writes.
enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error,
};

/// The identity of this instance.
struct InstanceSettings
{
  std::string mName;
  std::string mDomain;
  std::string mRegion;
};

/// Listening addresses and limits of this instance.
struct ListenSettings
{
  std::string mAddress;
  std::int64_t mPort = 8470;
  std::int64_t mPeerPort = 8471;
  /// Paths of PEM files; empty if the listener does not use TLS.
  std::string mCertificate;
  std::string mKey;
  std::string mCa;
  std::int64_t mMaxRequests = 1024;
  std::int64_t mMaxBodyBytes = 1'048'576;
  std::int64_t mThreads = 256;
};

/// Address of the platform's services.
struct PlatformSettings
{
  std::string mAddress;
  std::int64_t mPort = 0;
};

/// Entry instances that are accepted in addition to those that the platform
/// lists.
struct PeerSettings
{
  /// "address:port" or "[address]:port".
  std::vector<std::string> mAddresses;
};

/// The replicated log that all instances of the site append to and read.
struct LogSettings
{
  /// Appends per second, for all instances of the site together.
  std::int64_t mAppendBudgetPerS = 300;
  std::int64_t mAppendTimeoutMs = 2'000;
  std::int64_t mRetentionS = 86'400;
};

/// The holder leases, by which an entry instance has exclusive control of a
/// worker.
struct HolderSettings
{
  std::int64_t mLeaseMs = 3'000;
  std::int64_t mPollMs = 500;
  std::int64_t mClockMarginMs = 100;
  std::int64_t mTakeoverDelayMs = 1'000;
  std::int64_t mMaxMessageDelayMs = 500;
};

struct TaskSettings
{
  std::int64_t mLeaseMs = 10'000;
};

struct RequestSettings
{
  /// Maximum number of standing requests of each service on this instance,
  /// queued and running.
  std::int64_t mStandingLimit = 128;
  /// Retries in percent of first attempts.
  std::int64_t mRetryBudgetPercent = 10;
};

struct DrainSettings
{
  /// How long the load balancer takes to detect that the instance is not
  /// ready.
  std::int64_t mBalancerNoticeMs = 3'000;
  std::int64_t mDeadlineMs = 30'000;
};

struct OperatorSettings
{
  /// If empty, operator commands are rejected.
  Secret mCredential;
  /// File from which the credential is read.
  std::string mCredentialFile;
};

/// The log lines that the process writes.
struct LogOutputSettings
{
  LogLevel mLevel = LogLevel::Info;
};

/// All settings of a process.
struct Settings
{
  InstanceSettings mInstance;
  ListenSettings mListen;
  PlatformSettings mPlatform;
  PeerSettings mPeers;
  LogSettings mLog;
  HolderSettings mHolder;
  TaskSettings mTasks;
  RequestSettings mRequests;
  DrainSettings mDrain;
  OperatorSettings mOperator;
  LogOutputSettings mLogOutput;
};

/// A problem of a settings file.
struct SettingsFinding
{
  std::string mFile;
  /// Starts at 1. The line of the section if the key is missing.
  std::int64_t mLine = 0;
  /// "section.key".
  std::string mKey;
  std::string mProblem;
};

/// Settings, with all problems that were found.
struct SettingsReadResult
{
  Settings mSettings;
  std::vector<SettingsFinding> mFindings;
};

std::string_view
NameOf(LogLevel aLevel);

/// Reads settings from TOML text without opening the files that they refer to.
/// `aFile` is the file name shown in findings.
SettingsReadResult
ReadSettings(std::string_view aText, const std::string& aFile);

/// Like ReadSettings. InvalidSettings with all findings, one per line.
base::Result<Settings>
ParseSettings(std::string_view aText, const std::string& aFile);

/// Reads a settings file and its credential file, and checks that the TLS files
/// can be read. InvalidSettings with all findings.
base::Result<Settings>
LoadSettings(const std::string& aPath);

/// Formats the settings as "section.key = value", one per line, without
/// secrets.
std::string
FormatSettings(const Settings& aSettings);

/// Formats the findings as "file:line: key: problem", one per line.
std::string
JoinFindings(const std::vector<SettingsFinding>& aFindings);

} // namespace skylarkhill::settings

#endif // SKYLARKHILL_SETTINGS_SETTINGS_HPP
