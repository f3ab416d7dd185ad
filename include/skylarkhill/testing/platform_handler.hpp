#ifndef SKYLARKHILL_TESTING_PLATFORM_HANDLER_HPP
#define SKYLARKHILL_TESTING_PLATFORM_HANDLER_HPP

#include "skylarkhill/http/server.hpp"
#include "skylarkhill/testing/fake_instance_list.hpp"
#include "skylarkhill/testing/fake_log.hpp"
#include "skylarkhill/testing/response_gate.hpp"

#include <atomic>
#include <cstdint>

namespace skylarkhill::testing {

/// The HTTP interface of the simulated platform:
/// POST /log/<stream>, GET /log/<stream>?from=N&max=M, GET /instances.
///
/// POST /admin injects faults and changes the list, with any of these members:
/// "down": true or false; "silent": requests are accepted but not answered;
/// "slow_ms": delay of every answer; "lose_answers": the next N appends take
/// effect but are not answered; "lose_appends": the next N appends have no
/// effect and are not answered; "expire_stream" and "expire_before": records of
/// the stream before this offset expire; "lag_ms": time until later changes of
/// the list are visible; "put": an instance object; "leaving": an instance
/// name; "remove": an instance name.
///
/// GET /admin returns the request counts {"appends", "reads", "fetches"}.
class PlatformHandler : public http::Handler
{
public:
  PlatformHandler(FakeLog& aLog, FakeInstanceList& aInstances);

  http::Response Handle(const http::Request& aRequest) override;
  /// Drops the requests held back by "silent".
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
