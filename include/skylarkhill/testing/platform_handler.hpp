#ifndef SKYLARKHILL_TESTING_PLATFORM_HANDLER_HPP
#define SKYLARKHILL_TESTING_PLATFORM_HANDLER_HPP

#include "skylarkhill/http/server.hpp"
#include "skylarkhill/testing/fake_instance_list.hpp"
#include "skylarkhill/testing/fake_log.hpp"
#include "skylarkhill/testing/response_gate.hpp"

#include <atomic>
#include <cstdint>

namespace skylarkhill::testing {

/// The HTTP interface of the platform stand-in:
/// POST /log/<stream>, GET /log/<stream>?from=N&max=M, GET /instances, and
///
/// POST /admin with any of these members:
/// "down": true or false; "silent": accept and never answer;
/// "slow_ms": delay of every answer; "lose_answers": the next N appends take
/// effect and are not answered; "lose_appends": the next N appends are lost;
/// "expire_stream" and "expire_before": expire records; "lag_ms": lag of later
/// changes of the list; "put": an instance object; "leaving": an instance name;
/// "remove": an instance name.
///
/// GET /admin: {"appends", "reads", "fetches"}, the requests so far.
class PlatformHandler : public http::Handler
{
public:
  PlatformHandler(FakeLog& aLog, FakeInstanceList& aInstances);

  http::Response Handle(const http::Request& aRequest) override;
  /// Releases the requests that are held by "silent".
  void Release();

private:
  http::Response Dispatch(const http::Request& aRequest);
  http::Response HandleLog(const http::Request& aRequest);
  http::Response Append(const std::string& aStream, const std::string& aBody);
  http::Response Read(const std::string& aStream,
                      const http::Request& aRequest);
  http::Response FetchInstances();
  http::Response HandleAdmin(const http::Request& aRequest);
  base::Result<void> ApplyAdmin(const std::string& aBody);
  http::Response MakeCounterReport() const;

  FakeLog& mLog;
  FakeInstanceList& mInstances;
  ResponseGate mGate;
  std::atomic<std::int64_t> mAppends{ 0 };
  std::atomic<std::int64_t> mReads{ 0 };
  std::atomic<std::int64_t> mFetches{ 0 };
};

} // namespace skylarkhill::testing

#endif // SKYLARKHILL_TESTING_PLATFORM_HANDLER_HPP
