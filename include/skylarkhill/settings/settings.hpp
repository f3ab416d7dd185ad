#ifndef SKYLARKHILL_SETTINGS_SETTINGS_HPP
#define SKYLARKHILL_SETTINGS_SETTINGS_HPP

#include "skylarkhill/base/error.hpp"
#include "skylarkhill/settings/secret.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkhill::settings {

/// The least severe log line that is written.
enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error,
};

/// Who this instance is.
struct InstanceSettings
{
  std::string mName;
  std::string mDomain;
  std::string mRegion;
};

/// Where this instance listens, and its limits.
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

/// Where the platform's services are.
struct PlatformSettings
{
  std::string mAddress;
  std::int64_t mPort = 0;
};

/// Entry instances that are accepted besides those in the platform's list.
struct PeerSettings
{
  /// "address:port" or "[address]:port".
  std::vector<std::string> mAddresses;
};

struct LogSettings
{
  /// Appends a second of all instances of the site together.
  std::int64_t mAppendBudgetPerS = 300;
  std::int64_t mAppendTimeoutMs = 2'000;
  std::int64_t mRetentionS = 86'400;
};

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
  /// Standing requests of this instance at one time.
  std::int64_t mStandingLimit = 128;
  /// Retries in percent of first attempts.
  std::int64_t mRetryBudgetPercent = 10;
};

struct DrainSettings
{
  /// How long the load balancer takes to notice that the instance is not
  /// ready.
  std::int64_t mBalancerNoticeMs = 3'000;
  std::int64_t mDeadlineMs = 30'000;
};

struct OperatorSettings
{
  /// Empty if operator commands are refused.
  Secret mCredential;
  /// File that the credential is read from.
  std::string mCredentialFile;
};

struct LogOutputSettings
{
  LogLevel mLevel = LogLevel::Info;
};

/// Everything a process reads from its settings file.
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

/// One problem of a settings file.
struct SettingsFinding
{
  std::string mFile;
  /// From 1 on; of the section if the key is missing.
  std::int64_t mLine = 0;
  /// "section.key".
  std::string mKey;
  std::string mProblem;
};

/// Settings together with all problems of the text.
struct SettingsReadResult
{
  Settings mSettings;
  std::vector<SettingsFinding> mFindings;
};

std::string_view
NameOf(LogLevel aLevel);

/// Reads TOML text without opening any file that it names. `aFile` names the
/// text in findings.
SettingsReadResult
ReadSettings(std::string_view aText, const std::string& aFile);

/// Like ReadSettings. InvalidSettings with all findings, one per line.
base::Result<Settings>
ParseSettings(std::string_view aText, const std::string& aFile);

/// Reads a settings file and the credential file that it names, and checks
/// that the TLS files can be read. InvalidSettings with all findings.
base::Result<Settings>
LoadSettings(const std::string& aPath);

/// One line per key, "section.key = value". Secrets are not shown.
std::string
FormatSettings(const Settings& aSettings);

/// The findings as "file:line: key: problem", one per line.
std::string
JoinFindings(const std::vector<SettingsFinding>& aFindings);

} // namespace skylarkhill::settings

#endif // SKYLARKHILL_SETTINGS_SETTINGS_HPP
