#include "skylarkhill/testing/scenario_runner.hpp"

#include "skylarkhill/base/json.hpp"
#include "skylarkhill/base/random.hpp"
#include "skylarkhill/http/client.hpp"
#include "skylarkhill/testing/child_process.hpp"
#include "skylarkhill/testing/raw_connection.hpp"
#include "skylarkhill/testing/tcp_relay.hpp"

#include <lua.hpp>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>
#include <map>
#include <memory>
#include <stdexcept>
#include <thread>

namespace skylarkhill::testing {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxRawHeadBytes = std::size_t{ 1 } << 20;

struct HttpCall
{
  http::ClientOptions mServer;
  http::ClientRequest mRequest;
  base::TimePoint mDeadline;
};

base::TimePoint
DeadlineIn(std::int64_t aMilliseconds)
{
  return base::GetBootClock().Now() + milliseconds(aMilliseconds);
}

base::Result<http::Response>
SendHttp(const HttpCall& aCall)
{
  const auto client = http::CreateClient(aCall.mServer, base::GetBootClock());
  return client->Call(aCall.mRequest, aCall.mDeadline);
}

/// Runs the Lua script of a scenario and owns the processes, relays and HTTP
/// calls that it starts.
class Scenario
{
public:
  explicit Scenario(const ScenarioOptions& aOptions)
    : mOptions(aOptions)
    , mDirectory(aOptions.mBinaryDirectory + "/scenarios/" + aOptions.mName)
    , mRandom(base::CreateSeededRandom(aOptions.mSeed))
    , mLua(luaL_newstate(), &lua_close)
  {
    std::filesystem::remove_all(mDirectory);
    std::filesystem::create_directories(mDirectory);
    luaL_openlibs(mLua.get());
    RegisterFunctions();
  }

  ScenarioResult Run()
  {
    const std::string directory = mOptions.mSourceDirectory + "/scenarios/";
    RunFile(directory + "lib/site.lua");
    RunFile(directory + mOptions.mName + ".lua");
    return std::move(mResult);
  }

private:
  using Function = int (Scenario::*)(lua_State*);

  template<Function F>
  static int Invoke(lua_State* aLua)
  {
    auto* self =
      static_cast<Scenario*>(lua_touserdata(aLua, lua_upvalueindex(1)));
    try {
      return (self->*F)(aLua);
    } catch (const std::exception& e) {
      lua_pushstring(aLua, e.what());
    }
    return lua_error(aLua);
  }

  template<Function F>
  void AddFunction(const char* aName)
  {
    lua_pushlightuserdata(mLua.get(), this);
    lua_pushcclosure(mLua.get(), &Invoke<F>, 1);
    lua_setfield(mLua.get(), -2, aName);
  }

  void AddText(const char* aName, const std::string& aText)
  {
    PushText(mLua.get(), aText);
    lua_setfield(mLua.get(), -2, aName);
  }

  void RegisterFunctions()
  {
    lua_newtable(mLua.get());
    AddFunction<&Scenario::Spawn>("spawn");
    AddFunction<&Scenario::Signal>("signal");
    AddFunction<&Scenario::WaitForExit>("wait_exit");
    AddFunction<&Scenario::AddRelay>("relay");
    AddFunction<&Scenario::SetLink>("set_link");
    AddFunction<&Scenario::CallHttp>("http");
    AddFunction<&Scenario::StartHttp>("http_start");
    AddFunction<&Scenario::AwaitHttp>("http_wait");
    AddFunction<&Scenario::SendRaw>("raw");
    AddFunction<&Scenario::ParseJson>("parse_json");
    AddFunction<&Scenario::WriteFile>("write_file");
    AddFunction<&Scenario::ReadClock>("now_ms");
    AddFunction<&Scenario::Sleep>("sleep");
    AddFunction<&Scenario::DrawRandom>("random");
    AddFunction<&Scenario::Report>("report");
    AddText("directory", mDirectory);
    AddText("source_directory", mOptions.mSourceDirectory);
    AddText("binary_directory", mOptions.mBinaryDirectory);
    AddText("network", "127.3." + std::to_string(mOptions.mNetwork) + ".");
    lua_setglobal(mLua.get(), "native");
  }

  void RunFile(const std::string& aFile)
  {
    if (!mResult.mFailure.empty()) {
      return;
    }
    lua_State* lua = mLua.get();
    lua_getglobal(lua, "debug");
    lua_getfield(lua, -1, "traceback");
    const int handler = lua_gettop(lua);
    if (luaL_loadfile(lua, aFile.c_str()) != LUA_OK ||
        lua_pcall(lua, 0, 0, handler) != LUA_OK) {
      const char* text = lua_tostring(lua, -1);
      mResult.mFailure =
        text == nullptr ? "the script raised an error without a message" : text;
    }
    lua_settop(lua, 0);
  }

  static std::string ToText(lua_State* aLua, int aIndex)
  {
    std::size_t length = 0;
    const char* text = lua_tolstring(aLua, aIndex, &length);
    if (text == nullptr) {
      throw std::runtime_error("argument " + std::to_string(aIndex) +
                               " is not a string");
    }
    return { text, length };
  }

  static std::int64_t ToInteger(lua_State* aLua, int aIndex)
  {
    int isNumber = 0;
    const lua_Number number = lua_tonumberx(aLua, aIndex, &isNumber);
    if (isNumber == 0) {
      throw std::runtime_error("argument " + std::to_string(aIndex) +
                               " is not a number");
    }
    return static_cast<std::int64_t>(number);
  }

  static RelayEndpoint ToEndpoint(lua_State* aLua, int aIndex)
  {
    return { ToText(aLua, aIndex),
             static_cast<std::uint16_t>(ToInteger(aLua, aIndex + 1)) };
  }

  static void PushText(lua_State* aLua, std::string_view aText)
  {
    lua_pushlstring(aLua, aText.data(), aText.size());
  }

  /// spawn(name, {program, argument, ...})
  int Spawn(lua_State* aLua)
  {
    const std::string name = ToText(aLua, 1);
    std::vector<std::string> command;
    for (lua_Integer n = 1; n <= luaL_len(aLua, 2); ++n) {
      lua_geti(aLua, 2, n);
      command.push_back(ToText(aLua, -1));
      lua_pop(aLua, 1);
    }
    command.front() = mOptions.mBinaryDirectory + "/" + command.front();
    mProcesses[name] =
      std::make_unique<ChildProcess>(command, mDirectory + "/" + name + ".log");
    return 0;
  }

  /// signal(name, "KILL" | "STOP" | "CONT" | "TERM")
  int Signal(lua_State* aLua)
  {
    static const std::map<std::string, int> kSignals{ { "KILL", SIGKILL },
                                                      { "STOP", SIGSTOP },
                                                      { "CONT", SIGCONT },
                                                      { "TERM", SIGTERM } };
    mProcesses.at(ToText(aLua, 1))->Signal(kSignals.at(ToText(aLua, 2)));
    return 0;
  }

  /// wait_exit(name, milliseconds) -> code or nil
  int WaitForExit(lua_State* aLua)
  {
    const auto code = mProcesses.at(ToText(aLua, 1))
                        ->WaitForExit(DeadlineIn(ToInteger(aLua, 2)));
    code ? lua_pushinteger(aLua, *code) : lua_pushnil(aLua);
    return 1;
  }

  /// relay(name, address, port, target address, target port)
  int AddRelay(lua_State* aLua)
  {
    mRelays[ToText(aLua, 1)] =
      std::make_unique<TcpRelay>(ToEndpoint(aLua, 2), ToEndpoint(aLua, 4));
    return 0;
  }

  /// set_link(name, "open" | "cut" | "silent", delay in milliseconds)
  int SetLink(lua_State* aLua)
  {
    static const std::map<std::string, LinkMode> kModes{
      { "open", LinkMode::Open },
      { "cut", LinkMode::Cut },
      { "silent", LinkMode::Silent }
    };
    mRelays.at(ToText(aLua, 1))
      ->SetMode(kModes.at(ToText(aLua, 2)), milliseconds(ToInteger(aLua, 3)));
    return 0;
  }

  static HttpCall ReadHttpCall(lua_State* aLua)
  {
    HttpCall call;
    call.mRequest.mMethod = ToText(aLua, 1);
    const RelayEndpoint server = ToEndpoint(aLua, 2);
    call.mServer.mAddress = server.mAddress;
    call.mServer.mPort = server.mPort;
    call.mRequest.mTarget = ToText(aLua, 4);
    call.mRequest.mBody = ToText(aLua, 5);
    call.mDeadline = DeadlineIn(ToInteger(aLua, 6));
    if (!lua_isnoneornil(aLua, 7)) {
      call.mRequest.mHeaders.push_back(
        { "Authorization", "Bearer " + ToText(aLua, 7) });
    }
    return call;
  }

  static int PushResponse(lua_State* aLua,
                          const base::Result<http::Response>& aResponse)
  {
    if (aResponse.has_error()) {
      lua_pushnil(aLua);
      PushText(aLua, base::NameOf(aResponse.error().mKind));
    } else {
      lua_pushinteger(aLua, aResponse.value().mStatus);
      PushText(aLua, aResponse.value().mBody);
    }
    return 2;
  }

  /// http(method, address, port, target, body, milliseconds, credential)
  /// -> status, body, or nil, name of the error
  int CallHttp(lua_State* aLua)
  {
    return PushResponse(aLua, SendHttp(ReadHttpCall(aLua)));
  }

  /// http_start(arguments as for http) -> call number; runs in the background
  int StartHttp(lua_State* aLua)
  {
    mCalls.push_back(
      std::async(std::launch::async, &SendHttp, ReadHttpCall(aLua)).share());
    lua_pushinteger(aLua, static_cast<lua_Integer>(mCalls.size()));
    return 1;
  }

  /// http_wait(call number) -> results as for http
  int AwaitHttp(lua_State* aLua)
  {
    const auto n = static_cast<std::size_t>(ToInteger(aLua, 1));
    return PushResponse(aLua, mCalls.at(n - 1).get());
  }

  /// raw(address, port, bytes, milliseconds) -> head of the response, or nil
  int SendRaw(lua_State* aLua)
  {
    const RelayEndpoint server = ToEndpoint(aLua, 1);
    const base::TimePoint deadline = DeadlineIn(ToInteger(aLua, 4));
    RawConnection connection(base::GetBootClock());
    auto sent = connection.Connect(server.mAddress, server.mPort, {}, deadline);
    if (sent) {
      sent = connection.Write(ToText(aLua, 3), deadline);
    }
    if (sent) {
      connection.EndWriting();
    }
    const auto head = connection.ReadHead(kMaxRawHeadBytes, deadline);
    head ? PushText(aLua, head.value()) : lua_pushnil(aLua);
    return 1;
  }

  static void PushJson(lua_State* aLua, const base::JsonValue& aValue)
  {
    const auto category = aValue.category();
    if (category == base::JsonValue::Object ||
        category == base::JsonValue::Array) {
      lua_newtable(aLua);
      lua_Integer n = 0;
      for (const auto& it : aValue) {
        PushJson(aLua, it);
        category == base::JsonValue::Array
          ? lua_seti(aLua, -2, ++n)
          : lua_setfield(aLua, -2, it.name().c_str());
      }
      return;
    }
    if (aValue.isNull()) {
      lua_pushnil(aLua);
    } else if (aValue.isBool()) {
      bool value = false;
      aValue >>= value;
      lua_pushboolean(aLua, value ? 1 : 0);
    } else if (aValue.typeName() == "int") {
      // The parser stores numbers as text; only the type name tells the type.
      std::int64_t value = 0;
      aValue >>= value;
      lua_pushinteger(aLua, value);
    } else if (aValue.typeName() == "double") {
      double value = 0;
      aValue >>= value;
      lua_pushnumber(aLua, value);
    } else {
      std::string value;
      aValue >>= value;
      PushText(aLua, value);
    }
  }

  /// parse_json(text) -> value, or nil, detail
  int ParseJson(lua_State* aLua)
  {
    const auto value = base::ParseJson(ToText(aLua, 1));
    if (value.has_error()) {
      lua_pushnil(aLua);
      PushText(aLua, value.error().mDetail);
      return 2;
    }
    PushJson(aLua, value.value());
    return 1;
  }

  /// write_file(name, text) -> path
  int WriteFile(lua_State* aLua)
  {
    const std::string path = mDirectory + "/" + ToText(aLua, 1);
    std::ofstream(path) << ToText(aLua, 2);
    PushText(aLua, path);
    return 1;
  }

  int ReadClock(lua_State* aLua)
  {
    lua_pushnumber(
      aLua,
      static_cast<double>(base::ToMicros(base::GetBootClock().Now())) / 1000);
    return 1;
  }

  int Sleep(lua_State* aLua)
  {
    std::this_thread::sleep_for(milliseconds(ToInteger(aLua, 1)));
    return 0;
  }

  /// random(n) -> number from 1 to n
  int DrawRandom(lua_State* aLua)
  {
    lua_pushinteger(aLua,
                    static_cast<lua_Integer>(mRandom->Below(
                      static_cast<std::uint64_t>(ToInteger(aLua, 1)))) +
                      1);
    return 1;
  }

  int Report(lua_State* aLua)
  {
    mResult.mReports.push_back(ToText(aLua, 1));
    return 0;
  }

  const ScenarioOptions mOptions;
  const std::string mDirectory;
  const std::unique_ptr<base::Random> mRandom;
  ScenarioResult mResult;
  std::unique_ptr<lua_State, void (*)(lua_State*)> mLua;
  // Members are destroyed in reverse order: processes are killed first, so that
  // pending calls and relays do not wait for them.
  std::vector<std::shared_future<base::Result<http::Response>>> mCalls;
  std::map<std::string, std::unique_ptr<TcpRelay>> mRelays;
  std::map<std::string, std::unique_ptr<ChildProcess>> mProcesses;
};

} // namespace

std::vector<std::string>
ListScenarios(const std::string& aSourceDirectory)
{
  std::vector<std::string> names;
  for (const auto& it :
       std::filesystem::directory_iterator(aSourceDirectory + "/scenarios")) {
    if (it.path().extension() == ".lua") {
      names.push_back(it.path().stem().string());
    }
  }
  std::sort(names.begin(), names.end());
  return names;
}

ScenarioResult
RunScenario(const ScenarioOptions& aOptions)
{
  try {
    Scenario scenario(aOptions);
    return scenario.Run();
  } catch (const std::exception& e) {
    return { e.what(), {} };
  }
}

} // namespace skylarkhill::testing
