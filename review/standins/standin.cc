// Stand-ins for the users' platform, for the cases under review/: the log, workers
// and the advice service, and a client for single requests. One program, plain
// sockets, no libraries but the C++ one. Only what the cases need is implemented; it
// follows PROTOCOL.md.
//
//   standin log     --listen IP:PORT [--heartbeat-ms N] [--busy-ms N]
//                   SIGUSR1: answers 503 to the entry instances for N ms
//   standin worker  --listen IP:PORT --id ID --log IP:PORT --service NAME --zone NAME
//                   --labels KIND,RACK --cpu N --mem-mb N --record FILE
//                   [--heartbeat-ms N] [--tickets 1] [--dark-ms N]
//                   SIGUSR1: loses power for N ms
//   standin advice  --listen IP:PORT --good ID,ID --worker ID=IP:PORT ... --valid-ms N
//                   --record FILE
//   standin put     IP:PORT TOPIC KEY FILE     (what the operator writes)
//   standin call    METHOD IP:PORT PATH HOST [FILE]   prints the status and the body

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;
using Lock = std::unique_lock<std::mutex>;

std::int64_t
UnixMs()
{
  return std::chrono::duration_cast<milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

// --- Small helpers --------------------------------------------------------

/// One line a call; shared by several processes, hence a single append.
class Record
{
public:
  void Open(const std::string& aFile) { mFile = aFile; }
  void Write(const std::string& aLine)
  {
    if (mFile.empty()) {
      return;
    }
    const std::lock_guard<std::mutex> lock(mMutex);
    FILE* file = std::fopen(mFile.c_str(), "a");
    if (file != nullptr) {
      const std::string line = std::to_string(UnixMs()) + " " + aLine + "\n";
      std::fwrite(line.data(), 1, line.size(), file);
      std::fclose(file);
    }
  }

private:
  std::string mFile;
  std::mutex mMutex;
};

std::vector<std::string>
Split(const std::string& aText, char aSeparator)
{
  std::vector<std::string> parts;
  std::stringstream in(aText);
  std::string part;
  while (std::getline(in, part, aSeparator)) {
    parts.push_back(part);
  }
  return parts;
}

std::string
ReadFile(const std::string& aName)
{
  std::ifstream in(aName, std::ios::binary);
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

std::string
Quote(const std::string& aText)
{
  std::string out = "\"";
  for (const char it : aText) {
    if (it == '"' || it == '\\') {
      out += '\\';
    }
    out += it;
  }
  return out + "\"";
}

/// The value of a top-level member of a flat JSON object: a string without its
/// quotes, or the text of a number. Empty if there is none.
std::string
Member(const std::string& aJson, const std::string& aName)
{
  const std::string key = "\"" + aName + "\":";
  auto at = aJson.find(key);
  if (at == std::string::npos) {
    return "";
  }
  at += key.size();
  if (aJson[at] != '"') {
    const auto end = aJson.find_first_of(",}", at);
    return aJson.substr(at, end - at);
  }
  std::string text;
  for (++at; at < aJson.size() && aJson[at] != '"'; ++at) {
    if (aJson[at] == '\\') {
      ++at;
    }
    text += aJson[at];
  }
  return text;
}

std::int64_t
Number(const std::string& aJson, const std::string& aName)
{
  return std::atoll(Member(aJson, aName).c_str());
}

std::string
Base64(const std::string& aBytes)
{
  static const char* kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t n = 0; n < aBytes.size(); n += 3) {
    std::uint32_t group = 0;
    for (std::size_t i = 0; i < 3; ++i) {
      group = group << 8 |
              (n + i < aBytes.size() ? static_cast<unsigned char>(aBytes[n + i]) : 0U);
    }
    for (std::size_t i = 0; i < 4; ++i) {
      out += n + i > aBytes.size() ? '=' : kDigits[group >> (18 - 6 * i) & 63];
    }
  }
  return out;
}

std::uint64_t
ParseBigEndian(const std::string& aBytes, std::size_t aAt, int aCount)
{
  std::uint64_t value = 0;
  for (int n = 0; n < aCount; ++n) {
    value = value << 8 | static_cast<unsigned char>(aBytes[aAt + static_cast<std::size_t>(n)]);
  }
  return value;
}

std::string
FormatBigEndian(std::uint64_t aValue, int aCount)
{
  std::string out;
  for (int n = aCount - 1; n >= 0; --n) {
    out += static_cast<char>(aValue >> (8 * n) & 255);
  }
  return out;
}

// --- HTTP -----------------------------------------------------------------

struct Request
{
  std::string mMethod;
  std::string mPath;
  std::map<std::string, std::string> mQuery;
  std::map<std::string, std::string> mHeaders;
  std::string mBody;
};

struct Response
{
  int mStatus = 200;
  std::string mBody = "{}";
};

sockaddr_in
ParseAddress(const std::string& aText)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  const auto colon = aText.find(':');
  if (inet_pton(AF_INET, aText.substr(0, colon).c_str(), &address.sin_addr) != 1) {
    std::cerr << "not an address: " << aText << "\n";
    std::exit(2);
  }
  address.sin_port = htons(static_cast<std::uint16_t>(std::atoi(aText.c_str() + colon + 1)));
  return address;
}

bool
SendAll(int aSocket, const std::string& aBytes)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const auto n = send(aSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

/// Reads a head and a body of Content-Length bytes; false at the end of the input.
bool
ReadMessage(int aSocket, std::string& aBuffer, std::string& aHead, std::string& aBody)
{
  std::size_t length = 0;
  std::size_t end = std::string::npos;
  for (;;) {
    if (end == std::string::npos) {
      end = aBuffer.find("\r\n\r\n");
      if (end != std::string::npos) {
        aHead = aBuffer.substr(0, end + 2);
        std::string lower = aHead;
        std::transform(lower.begin(), lower.end(), lower.begin(), ::tolower);
        const auto at = lower.find("\r\ncontent-length:");
        length = at == std::string::npos
                   ? 0
                   : static_cast<std::size_t>(std::atoll(lower.c_str() + at + 17));
      }
    }
    if (end != std::string::npos && aBuffer.size() >= end + 4 + length) {
      aBody = aBuffer.substr(end + 4, length);
      aBuffer.erase(0, end + 4 + length);
      return true;
    }
    char bytes[65536];
    const auto n = recv(aSocket, bytes, sizeof(bytes), 0);
    if (n <= 0) {
      return false;
    }
    aBuffer.append(bytes, static_cast<std::size_t>(n));
  }
}

Request
ParseRequest(const std::string& aHead, std::string aBody)
{
  Request request;
  request.mBody = std::move(aBody);
  std::stringstream in(aHead);
  std::string line;
  std::getline(in, line);
  const auto words = Split(line, ' ');
  if (words.size() < 2) {
    return request;
  }
  request.mMethod = words[0];
  const auto mark = words[1].find('?');
  request.mPath = words[1].substr(0, mark);
  if (mark != std::string::npos) {
    for (const auto& it : Split(words[1].substr(mark + 1), '&')) {
      const auto equals = it.find('=');
      std::string value = equals == std::string::npos ? "" : it.substr(equals + 1);
      std::string text;
      for (std::size_t n = 0; n < value.size(); ++n) {
        if (value[n] == '%' && n + 2 < value.size()) {
          text += static_cast<char>(std::strtol(value.substr(n + 1, 2).c_str(), nullptr, 16));
          n += 2;
        } else {
          text += value[n];
        }
      }
      request.mQuery[it.substr(0, equals)] = text;
    }
  }
  while (std::getline(in, line)) {
    const auto colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), ::tolower);
    std::string value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    while (!value.empty() && (value.back() == '\r' || value.back() == ' ')) {
      value.pop_back();
    }
    request.mHeaders[name] = value;
  }
  return request;
}

using Handler = std::function<Response(const Request&)>;

/// Changes when a worker loses power. Connections of an earlier life, and those that
/// arrive while there is no power, stay open and are never answered.
std::atomic<int> gLife{ 0 };
std::atomic<bool> gHasPower{ true };

/// Reads and ignores what arrives.
void
StaySilent(int aSocket)
{
  char bytes[4096];
  while (recv(aSocket, bytes, sizeof(bytes), 0) > 0) {
  }
  close(aSocket);
}

void
ServeConnection(int aSocket, const Handler& aHandler)
{
  const int life = gLife;
  const auto isLost = [&] { return life != gLife || !gHasPower; };
  if (isLost()) {
    StaySilent(aSocket);
    return;
  }
  const int on = 1;
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  std::string buffer;
  std::string head;
  std::string body;
  while (ReadMessage(aSocket, buffer, head, body)) {
    if (isLost()) {
      StaySilent(aSocket);
      return;
    }
    const Response response = aHandler(ParseRequest(head, body));
    if (isLost()) {
      StaySilent(aSocket);
      return;
    }
    if (!SendAll(aSocket,
                 "HTTP/1.1 " + std::to_string(response.mStatus) +
                   " -\r\nContent-Type: application/json\r\nContent-Length: " +
                   std::to_string(response.mBody.size()) + "\r\n\r\n" + response.mBody)) {
      break;
    }
  }
  close(aSocket);
}

void
Serve(const std::string& aAddress, const Handler& aHandler)
{
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = ParseAddress(aAddress);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(listener, 512) != 0) {
    std::cerr << "cannot listen on " << aAddress << "\n";
    std::exit(2);
  }
  for (;;) {
    const int connection = accept(listener, nullptr, nullptr);
    if (connection >= 0) {
      std::thread([connection, &aHandler] { ServeConnection(connection, aHandler); }).detach();
    }
  }
}

/// Status 0: no response.
Response
Call(const std::string& aAddress,
     const std::string& aMethod,
     const std::string& aTarget,
     const std::string& aHeaders,
     const std::string& aBody)
{
  Response response;
  response.mStatus = 0;
  response.mBody.clear();
  const int connection = socket(AF_INET, SOCK_STREAM, 0);
  timeval timeout{ 5, 0 };
  setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  const sockaddr_in address = ParseAddress(aAddress);
  std::string buffer;
  std::string head;
  if (connect(connection, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0 &&
      SendAll(connection,
              aMethod + " " + aTarget + " HTTP/1.1\r\n" + aHeaders +
                "Content-Type: application/json\r\nContent-Length: " +
                std::to_string(aBody.size()) + "\r\n\r\n" + aBody) &&
      ReadMessage(connection, buffer, head, response.mBody)) {
    const auto space = head.find(' ');
    response.mStatus = space == std::string::npos ? 0 : std::atoi(head.c_str() + space);
  }
  close(connection);
  return response;
}

// --- The log --------------------------------------------------------------

/// DEPLOY.md: `record_bytes` and `call_bytes`.
constexpr std::size_t kRecordBytes = 262144;
constexpr std::size_t kCallBytes = 2097152;

class Log
{
public:
  explicit Log(milliseconds aHeartbeat)
    : mHeartbeat(aHeartbeat)
  {
    std::thread([this] { ExpireWorkers(); }).detach();
  }

  void SetBusy(bool aIsBusy) { mIsBusy = aIsBusy; }

  Response Handle(const Request& aRequest)
  {
    if (mIsBusy && aRequest.mPath != "/put") {
      return { 503, "{}" };
    }
    if (aRequest.mPath == "/api/log-append") {
      return Append(aRequest);
    }
    if (aRequest.mPath == "/api/log-read") {
      return Read(aRequest);
    }
    if (aRequest.mPath == "/api/log-newest") {
      return Newest(aRequest);
    }
    if (aRequest.mPath == "/put") {
      return Put(aRequest);
    }
    return { 404, "{}" };
  }

private:
  struct Entry
  {
    std::string mKey;
    std::string mValue;
  };
  struct Writer
  {
    std::int64_t mEpoch = -1;
    std::int64_t mSequence = 0;
    /// The last five appends and their responses.
    std::deque<std::pair<std::int64_t, std::string>> mResponses;
  };
  struct Stream
  {
    std::vector<Entry> mEntries;
    std::map<std::string, std::size_t> mNewest;
    std::map<std::string, Writer> mWriters;
  };

  static std::string Get(const Request& aRequest, const std::string& aName)
  {
    const auto found = aRequest.mQuery.find(aName);
    return found == aRequest.mQuery.end() ? "" : found->second;
  }

  Stream& StreamOf(const Request& aRequest)
  {
    return mStreams[Get(aRequest, "topic") + "/" + Get(aRequest, "part")];
  }

  static void Add(Stream& aStream, Entry aEntry)
  {
    if (aEntry.mValue.empty()) {
      aStream.mNewest.erase(aEntry.mKey);
    } else {
      aStream.mNewest[aEntry.mKey] = aStream.mEntries.size();
    }
    aStream.mEntries.push_back(std::move(aEntry));
  }

  /// What the operator and the workers write.
  Response Put(const Request& aRequest)
  {
    const Lock lock(mMutex);
    Stream& stream = StreamOf(aRequest);
    const std::string key = Get(aRequest, "key");
    Add(stream, { key, aRequest.mBody });
    if (Get(aRequest, "topic") == "keyed.servers") {
      mHeardAt[key] = Clock::now();
    }
    mChanged.notify_all();
    return {};
  }

  /// "It is removed when the minion has left, or after three heartbeat intervals of
  /// silence."
  void ExpireWorkers()
  {
    for (;;) {
      std::this_thread::sleep_for(milliseconds(50));
      const Lock lock(mMutex);
      for (auto it = mHeardAt.begin(); it != mHeardAt.end();) {
        if (Clock::now() - it->second > 3 * mHeartbeat) {
          Add(mStreams["keyed.servers/0"], { it->first, "" });
          mChanged.notify_all();
          it = mHeardAt.erase(it);
        } else {
          ++it;
        }
      }
    }
  }

  Response Append(const Request& aRequest)
  {
    std::vector<Entry> entries;
    const std::string& body = aRequest.mBody;
    for (std::size_t at = 0; at + 4 <= body.size();) {
      const auto length = static_cast<std::size_t>(ParseBigEndian(body, at, 4));
      at += 4;
      if (length > kRecordBytes || at + length > body.size() || length == 0) {
        return { 400, "{\"reason\":\"record\"}" };
      }
      const auto key = static_cast<std::size_t>(static_cast<unsigned char>(body[at]));
      entries.push_back(
        { body.substr(at + 1, key), body.substr(at + 1 + key, length - 1 - key) });
      at += length;
    }
    if (body.size() > kCallBytes + 4 * entries.size()) {
      return { 400, "{\"reason\":\"call\"}" };
    }
    std::this_thread::sleep_for(milliseconds(1));
    const Lock lock(mMutex);
    Stream& stream = StreamOf(aRequest);
    const std::string end = std::to_string(stream.mEntries.size());
    const std::string producer = Get(aRequest, "producer");
    const std::int64_t epoch = std::atoll(Get(aRequest, "epoch").c_str());
    const std::int64_t sequence = std::atoll(Get(aRequest, "seq").c_str());
    if (!producer.empty()) {
      Writer& writer = stream.mWriters[producer];
      if (epoch < writer.mEpoch) {
        return { 409, "{\"reason\":\"fenced\"}" };
      }
      if (epoch == writer.mEpoch) {
        for (const auto& it : writer.mResponses) {
          if (it.first == sequence) {
            return { 200, it.second };
          }
        }
        if (sequence != writer.mSequence + 1) {
          return { 409,
                   "{\"reason\":\"seq\",\"seq\":" + std::to_string(writer.mSequence + 1) + "}" };
        }
      }
    }
    if (aRequest.mQuery.count("as_of") != 0 && Get(aRequest, "as_of") != end) {
      return { 412, "{\"end\":" + end + "}" };
    }
    const std::size_t offset = stream.mEntries.size();
    for (auto& it : entries) {
      Add(stream, std::move(it));
    }
    const std::string answer = "{\"offset\":" + std::to_string(offset) +
                               ",\"end\":" + std::to_string(stream.mEntries.size()) + "}";
    if (!producer.empty()) {
      Writer& writer = stream.mWriters[producer];
      if (epoch != writer.mEpoch) {
        writer.mResponses.clear();
      }
      writer.mEpoch = epoch;
      writer.mSequence = sequence;
      writer.mResponses.emplace_back(sequence, answer);
      if (writer.mResponses.size() > 5) {
        writer.mResponses.pop_front();
      }
    }
    mChanged.notify_all();
    return { 200, answer };
  }

  Response Read(const Request& aRequest)
  {
    const auto from = static_cast<std::size_t>(std::atoll(Get(aRequest, "from").c_str()));
    const auto wait = milliseconds(std::atoll(Get(aRequest, "wait_ms").c_str()));
    std::size_t limit = static_cast<std::size_t>(std::atoll(Get(aRequest, "max_kb").c_str())) * 1024;
    limit = limit == 0 ? std::size_t{ 1 } << 20 : limit;
    Lock lock(mMutex);
    Stream& stream = StreamOf(aRequest);
    mChanged.wait_for(lock, wait, [&] { return stream.mEntries.size() > from; });
    Response response;
    response.mBody = FormatBigEndian(stream.mEntries.size(), 8) + FormatBigEndian(0, 8);
    for (std::size_t n = from; n < stream.mEntries.size(); ++n) {
      const Entry& it = stream.mEntries[n];
      const std::size_t size = 1 + it.mKey.size() + it.mValue.size();
      if (response.mBody.size() + size + 4 > limit) {
        break;
      }
      response.mBody += FormatBigEndian(size, 4) + static_cast<char>(it.mKey.size()) + it.mKey +
                        it.mValue;
    }
    return response;
  }

  Response Newest(const Request& aRequest)
  {
    constexpr std::size_t kItems = 500;
    constexpr std::size_t kBytes = std::size_t{ 1 } << 20;
    const Lock lock(mMutex);
    Stream& stream = StreamOf(aRequest);
    const std::string after = Get(aRequest, "depends_on");
    auto it = after.empty() ? stream.mNewest.begin() : stream.mNewest.upper_bound(after);
    std::string items;
    std::size_t count = 0;
    for (; it != stream.mNewest.end() && count < kItems && items.size() < kBytes; ++it, ++count) {
      items += std::string(items.empty() ? "" : ",") + "{\"key\":" + Quote(it->first) +
               ",\"value\":\"" + Base64(stream.mEntries[it->second].mValue) +
               "\",\"offset\":" + std::to_string(it->second) + "}";
    }
    return { 200,
             "{\"items\":[" + items +
               "],\"more\":" + (it == stream.mNewest.end() ? "false" : "true") +
               ",\"end\":" + std::to_string(stream.mEntries.size()) + "}" };
  }

  const milliseconds mHeartbeat;
  std::atomic<bool> mIsBusy{ false };
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::string, Stream> mStreams;
  std::map<std::string, Clock::time_point> mHeardAt;
};

// --- A worker -------------------------------------------------------------

/// DEPLOY.md, `hold_max_ms` of the example.
constexpr std::int64_t kMaxLeaseMs = 6000;

struct WorkerOptions
{
  std::string mListen;
  std::string mId;
  std::string mLog;
  std::string mService;
  std::string mZone;
  std::string mLabels;
  std::int64_t mCpu = 16000;
  std::int64_t mMemoryMb = 64000;
  std::int64_t mHeartbeatMs = 1000;
  bool mNeedsTickets = false;
};

/// Runs tasks as their `spec` says: "run MS USE" works for MS milliseconds and uses
/// USE thousandths of a core, "serve TAIL" serves with that tail until it is stopped.
class Worker
{
public:
  Worker(WorkerOptions aOptions, Record& aRecord)
    : mOptions(std::move(aOptions))
    , mRecord(aRecord)
    , mStartedAt(Clock::now())
    , mBorn(UnixMs())
  {
    mRecord.Write("worker " + mOptions.mId + " begins a life");
    std::thread([this] { Beat(); }).detach();
    std::thread([this] { EndRuns(); }).detach();
  }

  /// Loses power: everything ends, nothing is answered, nothing is remembered. Begins
  /// its next life after `aDark`, under the same id.
  void LosePower(milliseconds aDark)
  {
    {
      const Lock lock(mMutex);
      gHasPower = false;
      ++gLife;
      mRecord.Write("worker " + mOptions.mId + " loses power with " +
                    std::to_string(mRuns.size()) + " runs");
      mRuns.clear();
      mEnds.clear();
      mHighestEnded.clear();
      mLastEnd = 0;
      mToken = 0;
      mLeaseMs = 0;
    }
    std::this_thread::sleep_for(aDark);
    const Lock lock(mMutex);
    mStartedAt = Clock::now();
    mBorn = UnixMs();
    gHasPower = true;
    mRecord.Write("worker " + mOptions.mId + " begins a life");
  }

  Response Handle(const Request& aRequest)
  {
    const auto target = aRequest.mHeaders.find("target-instance");
    if (aRequest.mPath == "/life") {
      return { 200, "{\"born\":" + std::to_string(mBorn) + "}" };
    }
    if (target != aRequest.mHeaders.end() && target->second != mOptions.mId) {
      return Answer(421, "");
    }
    Lock lock(mMutex);
    const std::string& body = aRequest.mBody;
    const std::int64_t token = Number(body, "fencing_token");
    if (token < mToken) {
      return Answer(409, "fence");
    }
    mToken = token;
    if (aRequest.mPath == "/api/run-start") {
      return Start(body);
    }
    if (aRequest.mPath == "/api/run-stop") {
      Stop(Member(body, "task"), Number(body, "attempt"));
      return Answer(200, "");
    }
    if (aRequest.mPath == "/api/pace") {
      return Answer(200, "");
    }
    if (aRequest.mPath == "/api/hold") {
      return Hold(body, lock);
    }
    return Answer(404, "");
  }

private:
  struct Run
  {
    std::string mTask;
    std::int64_t mAttempt = 0;
    std::int64_t mBeganMs = 0;
    /// 0: lasts.
    std::int64_t mLengthMs = 0;
    std::int64_t mTailOrUse = 0;
  };
  struct End
  {
    std::int64_t mNumber = 0;
    std::string mTask;
    std::int64_t mAttempt = 0;
    std::string mHow;
  };

  /// The worker's own clock counts from its start.
  std::int64_t NowMs() const
  {
    return std::chrono::duration_cast<milliseconds>(Clock::now() - mStartedAt).count();
  }

  Response Answer(int aStatus, const std::string& aReason) const
  {
    return { aStatus,
             "{\"clock_ms\":" + std::to_string(NowMs()) + ",\"born\":" + std::to_string(mBorn) +
               (aReason.empty() ? "" : ",\"reason\":\"" + aReason + "\"") + "}" };
  }

  void ExtendLease(const std::string& aBody)
  {
    const std::int64_t until = Number(aBody, "deadline_ms");
    mLeaseMs = std::max(mLeaseMs, std::min(until, NowMs() + kMaxLeaseMs));
  }

  Response Start(const std::string& aBody)
  {
    Run run;
    run.mTask = Member(aBody, "task");
    run.mAttempt = Number(aBody, "attempt");
    if (Number(aBody, "deadline_ms") < NowMs()) {
      return Answer(409, "late");
    }
    if (run.mAttempt <= mHighestEnded[run.mTask]) {
      ExtendLease(aBody);
      return Answer(409, "old");
    }
    for (const Run& it : mRuns) {
      if (it.mTask == run.mTask && it.mAttempt == run.mAttempt) {
        ExtendLease(aBody);
        return Answer(200, "");
      }
    }
    if (mOptions.mNeedsTickets) {
      // A ticket is "BORN:VALID_UNTIL", see Advice.
      const auto parts = Split(Member(aBody, "token"), ':');
      if (parts.size() != 2 || std::atoll(parts[0].c_str()) != mBorn ||
          std::atoll(parts[1].c_str()) < UnixMs()) {
        mRecord.Write("worker " + mOptions.mId + " refuses " + run.mTask + " run " +
                      std::to_string(run.mAttempt) + ": ticket " + Member(aBody, "token"));
        return Answer(409, "ticket");
      }
    }
    ExtendLease(aBody);
    const auto words = Split(Member(aBody, "spec"), ' ');
    run.mBeganMs = NowMs();
    if (words.size() >= 3 && words[0] == "run") {
      run.mLengthMs = std::atoll(words[1].c_str());
      run.mTailOrUse = std::atoll(words[2].c_str());
    } else if (words.size() >= 2) {
      run.mTailOrUse = std::atoll(words[1].c_str());
    }
    mRuns.push_back(run);
    mRecord.Write("worker " + mOptions.mId + " starts " + run.mTask + " run " +
                  std::to_string(run.mAttempt));
    return Answer(200, "");
  }

  void Stop(const std::string& aTask, std::int64_t aAttempt)
  {
    mHighestEnded[aTask] = std::max(mHighestEnded[aTask], aAttempt);
    for (std::size_t n = 0; n < mRuns.size(); ++n) {
      if (mRuns[n].mTask == aTask && mRuns[n].mAttempt <= aAttempt) {
        EndRun(n--, "stopped");
      }
    }
  }

  void EndRun(std::size_t aIndex, const std::string& aHow)
  {
    const Run run = mRuns[aIndex];
    mRuns.erase(mRuns.begin() + static_cast<std::ptrdiff_t>(aIndex));
    mHighestEnded[run.mTask] = std::max(mHighestEnded[run.mTask], run.mAttempt);
    mEnds.push_back({ ++mLastEnd, run.mTask, run.mAttempt, aHow });
    mRecord.Write("worker " + mOptions.mId + " ends " + run.mTask + " run " +
                  std::to_string(run.mAttempt) + ": " + aHow);
    mEnded.notify_all();
  }

  void EndRuns()
  {
    for (;;) {
      std::this_thread::sleep_for(milliseconds(10));
      const Lock lock(mMutex);
      const std::int64_t now = NowMs();
      for (std::size_t n = 0; n < mRuns.size(); ++n) {
        if (now > mLeaseMs) {
          EndRun(n--, "lapsed");
        } else if (mRuns[n].mLengthMs > 0 && now >= mRuns[n].mBeganMs + mRuns[n].mLengthMs) {
          EndRun(n--, "done");
        }
      }
    }
  }

  Response Hold(const std::string& aBody, Lock& aLock)
  {
    if (!Member(aBody, "deadline_ms").empty()) {
      ExtendLease(aBody);
    }
    const std::int64_t cursor = Number(aBody, "ack_cursor");
    while (!mEnds.empty() && mEnds.front().mNumber <= cursor) {
      const End& end = mEnds.front();
      mRecord.Write("worker " + mOptions.mId + " forgets end " + std::to_string(end.mNumber) +
                    " of " + end.mTask + " run " + std::to_string(end.mAttempt) + ": " + end.mHow +
                    ", ack_cursor " + std::to_string(cursor));
      mEnds.pop_front();
    }
    const std::int64_t before = mLastEnd;
    mEnded.wait_for(aLock, milliseconds(std::min<std::int64_t>(Number(aBody, "wait_ms"), 2000)), [&] {
      return !mEnds.empty() || mLastEnd > before;
    });
    const std::int64_t now = NowMs();
    std::string running;
    for (const Run& it : mRuns) {
      const std::int64_t length = it.mLengthMs > 0 ? it.mLengthMs : 250;
      const std::int64_t percent = std::min<std::int64_t>(100, (now - it.mBeganMs) * 100 / length);
      running += std::string(running.empty() ? "" : ",") + "[" + Quote(it.mTask) + "," +
                 std::to_string(it.mAttempt) + ",\"\"," + std::to_string(percent) + "," +
                 std::to_string(it.mTailOrUse) + "]";
    }
    std::string ended;
    std::size_t count = 0;
    for (const End& it : mEnds) {
      if (++count > 500) {
        break;
      }
      ended += std::string(ended.empty() ? "" : ",") + "[" + std::to_string(it.mNumber) + "," +
               Quote(it.mTask) + "," + std::to_string(it.mAttempt) + "," + Quote(it.mHow) + ",\"\"]";
    }
    return { 200,
             "{\"clock_ms\":" + std::to_string(now) + ",\"born\":" + std::to_string(mBorn) +
               ",\"running\":[" + running + "],\"finished\":[" + ended + "]}" };
  }

  void Beat()
  {
    for (std::int64_t sequence = 1;; ++sequence) {
      const auto labels = Split(mOptions.mLabels, ',');
      std::string names;
      for (const auto& it : labels) {
        names += std::string(names.empty() ? "" : ",") + Quote(it);
      }
      if (!gHasPower) {
        std::this_thread::sleep_for(milliseconds(20));
        continue;
      }
      Call(mOptions.mLog,
           "POST",
           "/put?topic=keyed.servers&part=0&key=" + mOptions.mId,
           "",
           "{\"service\":" + Quote(mOptions.mService) + ",\"address\":" + Quote(mOptions.mListen) +
             ",\"zone\":" + Quote(mOptions.mZone) +
             ",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_ms\":0,\"capacity\":{\"cpu\":" +
             std::to_string(mOptions.mCpu) + ",\"mem_mb\":" + std::to_string(mOptions.mMemoryMb) +
             ",\"gpu\":0},\"labels\":[" + names + "],\"clock_ms\":" + std::to_string(NowMs()) +
             ",\"born\":" + std::to_string(mBorn) + ",\"seq\":" + std::to_string(sequence) + "}");
      std::this_thread::sleep_for(milliseconds(mOptions.mHeartbeatMs));
    }
  }

  const WorkerOptions mOptions;
  Record& mRecord;
  Clock::time_point mStartedAt;
  std::atomic<std::int64_t> mBorn;
  std::mutex mMutex;
  std::condition_variable mEnded;
  std::int64_t mToken = 0;
  std::int64_t mLeaseMs = 0;
  std::vector<Run> mRuns;
  std::deque<End> mEnds;
  std::int64_t mLastEnd = 0;
  std::map<std::string, std::int64_t> mHighestEnded;
};

// --- The advice service ---------------------------------------------------

class Advice
{
public:
  std::vector<std::string> mGood;
  std::map<std::string, std::string> mWorkers;
  std::int64_t mValidMs = 3000;
  Record* mRecord = nullptr;

  /// The tickets of a worker hold in the life that it has now.
  Response Handle(const Request& aRequest)
  {
    std::this_thread::sleep_for(milliseconds(20));
    std::string rows;
    for (const auto& it : mGood) {
      if (aRequest.mBody.find(Quote(it)) == std::string::npos) {
        continue;
      }
      const Response life = Call(mWorkers[it], "GET", "/life", "", "");
      if (life.mStatus != 200) {
        continue;
      }
      rows += std::string(rows.empty() ? "" : ",") + "[" + Quote(it) + ",\"" +
              Member(life.mBody, "born") + ":" + std::to_string(UnixMs() + mValidMs) + "\"]";
    }
    mRecord->Write("advice asked " + aRequest.mBody + ": good [" + rows + "]");
    return { 200, "{\"good\":[" + rows + "],\"valid_ms\":" + std::to_string(mValidMs) + "}" };
  }
};

// --- Programs -------------------------------------------------------------

class Options
{
public:
  Options(int aCount, char** aWords)
  {
    for (int n = 2; n + 1 < aCount; n += 2) {
      mValues.emplace_back(std::string(aWords[n]).substr(2), aWords[n + 1]);
    }
  }
  std::string Get(const std::string& aName, const std::string& aDefault = "") const
  {
    for (const auto& it : mValues) {
      if (it.first == aName) {
        return it.second;
      }
    }
    return aDefault;
  }
  std::int64_t GetInt(const std::string& aName, std::int64_t aDefault) const
  {
    return std::atoll(Get(aName, std::to_string(aDefault)).c_str());
  }
  const std::vector<std::pair<std::string, std::string>>& All() const { return mValues; }

private:
  std::vector<std::pair<std::string, std::string>> mValues;
};

/// Blocks SIGUSR1 in this thread and in those that it starts.
sigset_t
BlockSignal()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGUSR1);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

int
RunLog(const Options& aOptions)
{
  const sigset_t signals = BlockSignal();
  Log log(milliseconds(aOptions.GetInt("heartbeat-ms", 1000)));
  std::thread([&log, signals, busy = aOptions.GetInt("busy-ms", 4500)] {
    for (int signal = 0; sigwait(&signals, &signal) == 0;) {
      log.SetBusy(true);
      std::this_thread::sleep_for(milliseconds(busy));
      log.SetBusy(false);
    }
  }).detach();
  Serve(aOptions.Get("listen"), [&](const Request& aRequest) { return log.Handle(aRequest); });
  return 0;
}

int
RunWorker(const Options& aOptions)
{
  Record record;
  record.Open(aOptions.Get("record"));
  WorkerOptions options;
  options.mListen = aOptions.Get("listen");
  options.mId = aOptions.Get("id");
  options.mLog = aOptions.Get("log");
  options.mService = aOptions.Get("service");
  options.mZone = aOptions.Get("zone");
  options.mLabels = aOptions.Get("labels");
  options.mCpu = aOptions.GetInt("cpu", options.mCpu);
  options.mMemoryMb = aOptions.GetInt("mem-mb", options.mMemoryMb);
  options.mHeartbeatMs = aOptions.GetInt("heartbeat-ms", options.mHeartbeatMs);
  options.mNeedsTickets = aOptions.GetInt("tickets", 0) != 0;
  const sigset_t signals = BlockSignal();
  Worker worker(options, record);
  std::thread([&worker, signals, dark = aOptions.GetInt("dark-ms", 500)] {
    for (int signal = 0; sigwait(&signals, &signal) == 0;) {
      worker.LosePower(milliseconds(dark));
    }
  }).detach();
  Serve(options.mListen, [&](const Request& aRequest) { return worker.Handle(aRequest); });
  return 0;
}

int
RunAdvice(const Options& aOptions)
{
  Record record;
  record.Open(aOptions.Get("record"));
  Advice advice;
  advice.mGood = Split(aOptions.Get("good"), ',');
  advice.mValidMs = aOptions.GetInt("valid-ms", 3000);
  advice.mRecord = &record;
  for (const auto& it : aOptions.All()) {
    const auto equals = it.second.find('=');
    if (it.first == "worker") {
      advice.mWorkers[it.second.substr(0, equals)] = it.second.substr(equals + 1);
    }
  }
  Serve(aOptions.Get("listen"),
        [&](const Request& aRequest) { return advice.Handle(aRequest); });
  return 0;
}

} // namespace

int
main(int aCount, char** aWords)
{
  signal(SIGPIPE, SIG_IGN);
  const std::string verb = aCount > 1 ? aWords[1] : "";
  if (verb == "log") {
    return RunLog(Options(aCount, aWords));
  }
  if (verb == "worker") {
    return RunWorker(Options(aCount, aWords));
  }
  if (verb == "advice") {
    return RunAdvice(Options(aCount, aWords));
  }
  if (verb == "put" && aCount == 6) {
    return Call(aWords[2],
                "POST",
                std::string("/put?topic=") + aWords[3] + "&part=0&key=" + aWords[4],
                "",
                ReadFile(aWords[5]))
                 .mStatus == 200
             ? 0
             : 1;
  }
  if (verb == "call" && aCount >= 6) {
    const Response response = Call(aWords[3],
                                   aWords[2],
                                   aWords[4],
                                   std::string("Host: ") + aWords[5] + "\r\nDeadline-Ms: 3000\r\n",
                                   aCount > 6 ? ReadFile(aWords[6]) : "");
    std::cout << response.mStatus << " " << response.mBody << "\n";
    return 0;
  }
  std::cerr << "usage: standin log | worker | advice | put | call\n";
  return 2;
}
