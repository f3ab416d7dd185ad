#include "skylarkhill/settings/settings.hpp"

#include "skylarkhill/base/name_table.hpp"

// The parser asserts that "[" is followed by a key. In a build with assertions,
// a malformed file such as "[!]" would abort the process.
#define TOML_ASSERT(expr) static_assert(true)
#include <toml++/toml.h>

#include <algorithm>
#include <arpa/inet.h>
#include <fstream>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <utility>

namespace skylarkhill::settings {

namespace {

constexpr base::NameTable<LogLevel, 4> kLogLevelNames{ {
  { LogLevel::Debug, "debug" },
  { LogLevel::Info, "info" },
  { LogLevel::Warning, "warning" },
  { LogLevel::Error, "error" },
} };

constexpr std::int64_t kMaxPort = 65'535;
constexpr std::int64_t kMaxRequests = 100'000;
constexpr std::int64_t kMaxBodyBytes = 67'108'864;
constexpr std::int64_t kMaxThreads = 4'096;
constexpr std::int64_t kMaxAppendsPerS = 100'000;
constexpr std::int64_t kMaxDurationMs = 600'000;
constexpr std::int64_t kMaxRetentionS = 31'536'000;
constexpr std::int64_t kMinIntervalMs = 10;
constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kMinCredentialLength = 16;

/// The format that a string value must have.
enum class TextFormat
{
  /// Letters, digits, dots, dashes, underscores; required.
  Name,
  /// An IP address; required.
  Address,
  /// Any text; optional.
  OptionalText,
};

/// Calls a method of `aVisitor` for every key. This is the only list of the
/// keys; the reader and the formatter are visitors.
template<typename SettingsType, typename Visitor>
void
VisitKeys(SettingsType& aSettings, Visitor& aVisitor)
{
  auto& instance = aSettings.mInstance;
  aVisitor.Section("instance");
  aVisitor.Text("name", instance.mName, TextFormat::Name);
  aVisitor.Text("domain", instance.mDomain, TextFormat::Name);
  aVisitor.Text("region", instance.mRegion, TextFormat::Name);

  auto& listen = aSettings.mListen;
  aVisitor.Section("listen");
  aVisitor.Text("address", listen.mAddress, TextFormat::Address);
  aVisitor.Number("port", listen.mPort, 1, kMaxPort);
  aVisitor.Number("peer_port", listen.mPeerPort, 1, kMaxPort);
  aVisitor.Text("certificate", listen.mCertificate, TextFormat::OptionalText);
  aVisitor.Text("key", listen.mKey, TextFormat::OptionalText);
  aVisitor.Text("ca", listen.mCa, TextFormat::OptionalText);
  aVisitor.Number("max_requests", listen.mMaxRequests, 1, kMaxRequests);
  aVisitor.Number("max_body_bytes", listen.mMaxBodyBytes, 1, kMaxBodyBytes);
  aVisitor.Number("threads", listen.mThreads, 1, kMaxThreads);

  auto& platform = aSettings.mPlatform;
  aVisitor.Section("platform");
  aVisitor.Text("address", platform.mAddress, TextFormat::Address);
  aVisitor.RequiredNumber("port", platform.mPort, 1, kMaxPort);

  aVisitor.Section("peers");
  aVisitor.Endpoints("addresses", aSettings.mPeers.mAddresses);

  auto& log = aSettings.mLog;
  aVisitor.Section("log");
  aVisitor.Number(
    "append_budget_per_s", log.mAppendBudgetPerS, 1, kMaxAppendsPerS);
  aVisitor.Number(
    "append_timeout_ms", log.mAppendTimeoutMs, kMinIntervalMs, kMaxDurationMs);
  aVisitor.Number("retention_s", log.mRetentionS, 1, kMaxRetentionS);

  auto& holder = aSettings.mHolder;
  aVisitor.Section("holder");
  aVisitor.Number("lease_ms", holder.mLeaseMs, kMinIntervalMs, kMaxDurationMs);
  aVisitor.Number("poll_ms", holder.mPollMs, kMinIntervalMs, kMaxDurationMs);
  aVisitor.Number("clock_margin_ms", holder.mClockMarginMs, 1, kMaxDurationMs);
  aVisitor.Number(
    "takeover_delay_ms", holder.mTakeoverDelayMs, 0, kMaxDurationMs);
  aVisitor.Number(
    "max_message_delay_ms", holder.mMaxMessageDelayMs, 1, kMaxDurationMs);

  aVisitor.Section("tasks");
  aVisitor.Number(
    "lease_ms", aSettings.mTasks.mLeaseMs, kMinIntervalMs, kMaxDurationMs);

  auto& requests = aSettings.mRequests;
  aVisitor.Section("requests");
  aVisitor.Number("standing_limit", requests.mStandingLimit, 0, kMaxThreads);
  aVisitor.Number("retry_budget_percent", requests.mRetryBudgetPercent, 0, 100);

  auto& drain = aSettings.mDrain;
  aVisitor.Section("drain");
  aVisitor.Number(
    "balancer_notice_ms", drain.mBalancerNoticeMs, 0, kMaxDurationMs);
  aVisitor.Number(
    "deadline_ms", drain.mDeadlineMs, kMinIntervalMs, kMaxDurationMs);

  aVisitor.Section("operator");
  aVisitor.Credential("credential", aSettings.mOperator.mCredential);
  aVisitor.Text("credential_file",
                aSettings.mOperator.mCredentialFile,
                TextFormat::OptionalText);

  aVisitor.Section("log_output");
  aVisitor.Level("level", aSettings.mLogOutput.mLevel);
}

bool
IsName(std::string_view aText)
{
  constexpr std::string_view kAllowed = "abcdefghijklmnopqrstuvwxyz"
                                        "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                        "0123456789._-";
  return !aText.empty() && aText.size() <= kMaxNameLength &&
         aText.find_first_not_of(kAllowed) == std::string_view::npos;
}

bool
IsAddress(const std::string& aText)
{
  in6_addr buf{};
  return inet_pton(AF_INET, aText.c_str(), &buf) == 1 ||
         inet_pton(AF_INET6, aText.c_str(), &buf) == 1;
}

bool
IsPort(const std::string& aText)
{
  constexpr std::size_t kMaxDigits = 5;
  if (aText.empty() || aText.size() > kMaxDigits ||
      aText.find_first_not_of("0123456789") != std::string::npos) {
    return false;
  }
  const int port = std::stoi(aText);
  return port >= 1 && port <= kMaxPort;
}

bool
IsEndpoint(const std::string& aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string::npos || !IsPort(aText.substr(colon + 1))) {
    return false;
  }
  const std::string host = aText.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    return IsAddress(host.substr(1, host.size() - 2));
  }
  return host.find(':') == std::string::npos && IsAddress(host);
}

/// Fills settings from a TOML table and collects all findings.
class Reader
{
public:
  Reader(const toml::table& aRoot, const std::string& aFile)
    : mRoot(aRoot)
    , mFile(aFile)
  {
  }

  void Section(const std::string& aName)
  {
    mSection = aName;
    mKnownKeys[aName];
    const toml::node* node = mRoot.get(aName);
    mTable = node == nullptr ? nullptr : node->as_table();
    if (node != nullptr && mTable == nullptr) {
      AddFinding(LineOf(*node), aName, "must be a section");
    }
  }

  void Text(const std::string& aKey, std::string& aValue, TextFormat aFormat)
  {
    const toml::node* node = Find(aKey);
    if (node == nullptr) {
      if (aFormat != TextFormat::OptionalText) {
        AddKeyFinding(aKey, "is missing");
      }
      return;
    }
    const auto text = node->value_exact<std::string>();
    if (!text) {
      AddKeyFinding(aKey, "must be a string");
    } else if (aFormat == TextFormat::Name && !IsName(*text)) {
      AddKeyFinding(
        aKey, "must have 1 to 64 letters, digits, dots, dashes, underscores");
    } else if (aFormat == TextFormat::Address && !IsAddress(*text)) {
      AddKeyFinding(aKey, "must be an IP address");
    } else {
      aValue = *text;
    }
  }

  void Number(const std::string& aKey,
              std::int64_t& aValue,
              std::int64_t aLow,
              std::int64_t aHigh)
  {
    const toml::node* node = Find(aKey);
    if (node == nullptr) {
      return;
    }
    const auto number = node->value_exact<std::int64_t>();
    if (!number) {
      AddKeyFinding(aKey, "must be an integer");
    } else if (*number < aLow || *number > aHigh) {
      AddKeyFinding(aKey,
                    "must be between " + std::to_string(aLow) + " and " +
                      std::to_string(aHigh));
    } else {
      aValue = *number;
    }
  }

  void RequiredNumber(const std::string& aKey,
                      std::int64_t& aValue,
                      std::int64_t aLow,
                      std::int64_t aHigh)
  {
    Number(aKey, aValue, aLow, aHigh);
    if (Find(aKey) == nullptr) {
      AddKeyFinding(aKey, "is missing");
    }
  }

  void Endpoints(const std::string& aKey, std::vector<std::string>& aValue)
  {
    const toml::node* node = Find(aKey);
    if (node == nullptr) {
      return;
    }
    const toml::array* list = node->as_array();
    if (list == nullptr) {
      AddKeyFinding(aKey, "must be a list of \"address:port\"");
      return;
    }
    for (const auto& it : *list) {
      const auto text = it.value_exact<std::string>();
      if (!text || !IsEndpoint(*text)) {
        AddFinding(LineOf(it),
                   QualifiedKey(aKey),
                   "must be a list of \"address:port\" with IP "
                   "addresses; an IPv6 address must be in brackets");
      } else {
        aValue.push_back(*text);
      }
    }
  }

  // Findings must never contain the credential.
  void Credential(const std::string& aKey, Secret& aValue)
  {
    std::string text;
    Text(aKey, text, TextFormat::OptionalText);
    if (Find(aKey) != nullptr && text.size() < kMinCredentialLength) {
      AddKeyFinding(aKey, "must have at least 16 characters");
    }
    aValue = Secret(std::move(text));
  }

  void Level(const std::string& aKey, LogLevel& aValue)
  {
    const toml::node* node = Find(aKey);
    if (node == nullptr) {
      return;
    }
    const auto level = base::FindValue(
      kLogLevelNames, node->value_exact<std::string>().value_or(""));
    if (!level) {
      AddKeyFinding(aKey, "must be one of debug, info, warning, error");
    } else {
      aValue = *level;
    }
  }

  /// Adds a finding for every section and key that is not known.
  void RejectUnknown()
  {
    for (const auto& [section, node] : mRoot) {
      const std::string name(section.str());
      const auto known = mKnownKeys.find(name);
      if (known == mKnownKeys.end()) {
        AddFinding(section.source().begin.line, name, "is unknown");
      } else if (const auto* table = node.as_table()) {
        RejectUnknownKeys(name, *table, known->second);
      }
    }
  }

  /// Adds a finding for `aKey` in `aSection`.
  void AddFindingAt(const std::string& aSection,
                    const std::string& aKey,
                    std::string aProblem)
  {
    mSection = aSection;
    mTable = mRoot[aSection].as_table();
    AddKeyFinding(aKey, std::move(aProblem));
  }

  /// Returns the findings, sorted by line.
  std::vector<SettingsFinding> TakeFindings()
  {
    std::stable_sort(
      mFindings.begin(),
      mFindings.end(),
      [](const SettingsFinding& aLeft, const SettingsFinding& aRight) {
        return aLeft.mLine < aRight.mLine;
      });
    return std::move(mFindings);
  }

private:
  static std::int64_t LineOf(const toml::node& aNode)
  {
    return aNode.source().begin.line;
  }

  std::string QualifiedKey(const std::string& aKey) const
  {
    return mSection + "." + aKey;
  }

  const toml::node* Find(const std::string& aKey)
  {
    mKnownKeys[mSection].insert(aKey);
    return mTable == nullptr ? nullptr : mTable->get(aKey);
  }

  void AddFinding(std::int64_t aLine, std::string aKey, std::string aProblem)
  {
    mFindings.push_back({ mFile, aLine, std::move(aKey), std::move(aProblem) });
  }

  // Adds a finding at the line of the key, or of its section if the key is
  // missing.
  void AddKeyFinding(const std::string& aKey, std::string aProblem)
  {
    const toml::node* node = Find(aKey);
    std::int64_t line = 1;
    if (node != nullptr) {
      line = LineOf(*node);
    } else if (mTable != nullptr) {
      line = LineOf(*mTable);
    }
    AddFinding(line, QualifiedKey(aKey), std::move(aProblem));
  }

  void RejectUnknownKeys(const std::string& aSection,
                         const toml::table& aTable,
                         const std::set<std::string>& aKnownKeys)
  {
    for (const auto& [key, node] : aTable) {
      const std::string name(key.str());
      if (aKnownKeys.count(name) == 0) {
        std::string qualified = aSection;
        qualified.append(".").append(name);
        AddFinding(key.source().begin.line, std::move(qualified), "is unknown");
      }
    }
  }

  const toml::table& mRoot;
  const std::string& mFile;
  std::string mSection;
  const toml::table* mTable = nullptr;
  std::map<std::string, std::set<std::string>> mKnownKeys;
  std::vector<SettingsFinding> mFindings;
};

/// Formats every key as "section.key = value".
class Formatter
{
public:
  void Section(const std::string& aName) { mSection = aName; }

  void Text(const std::string& aKey, const std::string& aValue, TextFormat)
  {
    Line(aKey) << aValue << '\n';
  }

  void Number(const std::string& aKey,
              std::int64_t aValue,
              std::int64_t,
              std::int64_t)
  {
    Line(aKey) << aValue << '\n';
  }

  void RequiredNumber(const std::string& aKey,
                      std::int64_t aValue,
                      std::int64_t,
                      std::int64_t)
  {
    Line(aKey) << aValue << '\n';
  }

  void Endpoints(const std::string& aKey,
                 const std::vector<std::string>& aValue)
  {
    Line(aKey);
    const char* separator = "";
    for (const auto& it : aValue) {
      mOut << separator << it;
      separator = ", ";
    }
    mOut << '\n';
  }

  void Credential(const std::string& aKey, const Secret& aValue)
  {
    Line(aKey) << aValue << '\n';
  }

  void Level(const std::string& aKey, LogLevel aValue)
  {
    Line(aKey) << NameOf(aValue) << '\n';
  }

  std::string Finish() const { return mOut.str(); }

private:
  std::ostream& Line(const std::string& aKey)
  {
    return mOut << mSection << '.' << aKey << " = ";
  }

  std::string mSection;
  std::ostringstream mOut;
};

void
CheckTls(const ListenSettings& aListen, Reader& aReader)
{
  if (aListen.mCertificate.empty() != aListen.mKey.empty()) {
    const char* missing = aListen.mKey.empty() ? "key" : "certificate";
    aReader.AddFindingAt(
      "listen",
      missing,
      "is missing: 'certificate' and 'key' must be set together");
  }
  if (!aListen.mCa.empty() && aListen.mCertificate.empty()) {
    aReader.AddFindingAt("listen", "ca", "needs 'certificate' and 'key'");
  }
}

void
CheckLeases(const Settings& aSettings, Reader& aReader)
{
  const HolderSettings& holder = aSettings.mHolder;
  // The lease must survive one lost poll.
  if (holder.mLeaseMs <= 2 * holder.mPollMs + holder.mClockMarginMs) {
    aReader.AddFindingAt("holder",
                         "lease_ms",
                         "must exceed twice 'poll_ms' plus 'clock_margin_ms'");
  }
  // The next holder must be able to renew the task leases that it takes over.
  if (aSettings.mTasks.mLeaseMs <=
      holder.mLeaseMs + holder.mTakeoverDelayMs + holder.mMaxMessageDelayMs) {
    aReader.AddFindingAt(
      "tasks",
      "lease_ms",
      "must exceed the sum of 'holder.lease_ms', "
      "'holder.takeover_delay_ms' and 'holder.max_message_delay_ms'");
  }
}

/// Checks the constraints that involve more than one key.
void
CheckRelations(const Settings& aSettings, Reader& aReader)
{
  CheckTls(aSettings.mListen, aReader);
  CheckLeases(aSettings, aReader);
  if (aSettings.mListen.mPort == aSettings.mListen.mPeerPort) {
    aReader.AddFindingAt("listen", "peer_port", "must differ from 'port'");
  }
  // Each standing request occupies one thread. The limit applies to each
  // service, so this check keeps one service from occupying all threads, but
  // not several services together.
  if (aSettings.mRequests.mStandingLimit >= aSettings.mListen.mThreads) {
    aReader.AddFindingAt(
      "requests", "standing_limit", "must be below 'listen.threads'");
  }
  if (aSettings.mDrain.mBalancerNoticeMs >= aSettings.mDrain.mDeadlineMs) {
    aReader.AddFindingAt(
      "drain", "deadline_ms", "must exceed 'balancer_notice_ms'");
  }
  if (!aSettings.mOperator.mCredential.IsEmpty() &&
      !aSettings.mOperator.mCredentialFile.empty()) {
    aReader.AddFindingAt("operator",
                         "credential_file",
                         "cannot be set together with 'credential'");
  }
}

std::optional<std::string>
ReadFile(const std::string& aPath)
{
  std::ifstream in(aPath, std::ios::binary);
  std::ostringstream text;
  if (!in || !(text << in.rdbuf())) {
    return std::nullopt;
  }
  return text.str();
}

std::string
TrimEnd(std::string aText)
{
  const std::size_t last = aText.find_last_not_of(" \t\r\n");
  aText.erase(last == std::string::npos ? 0 : last + 1);
  return aText;
}

void
CheckReadable(const std::string& aPath,
              const std::string& aKey,
              Reader& aReader)
{
  if (!aPath.empty() && !std::ifstream(aPath)) {
    aReader.AddFindingAt(
      "listen", aKey, "refers to a file that cannot be read");
  }
}

void
ReadCredentialFile(OperatorSettings& aOperator, Reader& aReader)
{
  if (aOperator.mCredentialFile.empty()) {
    return;
  }
  const auto text = ReadFile(aOperator.mCredentialFile);
  aOperator.mCredential = Secret(TrimEnd(text.value_or("")));
  if (!text || aOperator.mCredential.Reveal().size() < kMinCredentialLength) {
    aReader.AddFindingAt(
      "operator",
      "credential_file",
      "must name a readable file with at least 16 characters");
  }
}

void
ReadFiles(Settings& aSettings, Reader& aReader)
{
  CheckReadable(aSettings.mListen.mCertificate, "certificate", aReader);
  CheckReadable(aSettings.mListen.mKey, "key", aReader);
  CheckReadable(aSettings.mListen.mCa, "ca", aReader);
  ReadCredentialFile(aSettings.mOperator, aReader);
}

/// Whether the files that the settings refer to are opened.
enum class ReferencedFiles
{
  Ignore,
  Read,
};

SettingsReadResult
ReadTable(const toml::table& aRoot,
          const std::string& aFile,
          ReferencedFiles aFiles)
{
  SettingsReadResult result;
  Reader reader(aRoot, aFile);
  VisitKeys(result.mSettings, reader);
  reader.RejectUnknown();
  CheckRelations(result.mSettings, reader);
  if (aFiles == ReferencedFiles::Read) {
    ReadFiles(result.mSettings, reader);
  }
  result.mFindings = reader.TakeFindings();
  return result;
}

SettingsReadResult
ReadText(std::string_view aText,
         const std::string& aFile,
         ReferencedFiles aFiles)
{
  try {
    return ReadTable(toml::parse(aText, aFile), aFile, aFiles);
  } catch (const toml::parse_error& e) {
    SettingsReadResult result;
    result.mFindings.push_back(
      { aFile, e.source().begin.line, "", std::string(e.description()) });
    return result;
  }
}

base::Result<Settings>
ToResult(SettingsReadResult aResult)
{
  if (!aResult.mFindings.empty()) {
    return base::MakeError(base::ErrorKind::InvalidSettings,
                           JoinFindings(aResult.mFindings));
  }
  return std::move(aResult.mSettings);
}

} // namespace

std::string_view
NameOf(LogLevel aLevel)
{
  return base::FindName(kLogLevelNames, aLevel);
}

SettingsReadResult
ReadSettings(std::string_view aText, const std::string& aFile)
{
  return ReadText(aText, aFile, ReferencedFiles::Ignore);
}

base::Result<Settings>
ParseSettings(std::string_view aText, const std::string& aFile)
{
  return ToResult(ReadSettings(aText, aFile));
}

base::Result<Settings>
LoadSettings(const std::string& aPath)
{
  const auto text = ReadFile(aPath);
  if (!text) {
    return base::MakeError(base::ErrorKind::InvalidSettings,
                           aPath + ": file cannot be read");
  }
  return ToResult(ReadText(*text, aPath, ReferencedFiles::Read));
}

std::string
FormatSettings(const Settings& aSettings)
{
  Formatter formatter;
  VisitKeys(aSettings, formatter);
  return formatter.Finish();
}

std::string
JoinFindings(const std::vector<SettingsFinding>& aFindings)
{
  std::string text;
  for (const auto& it : aFindings) {
    text.append(text.empty() ? "" : "\n").append(it.mFile).append(":");
    text.append(std::to_string(it.mLine)).append(": ");
    if (!it.mKey.empty()) {
      text.append(it.mKey).append(": ");
    }
    text.append(it.mProblem);
  }
  return text;
}

} // namespace skylarkhill::settings
