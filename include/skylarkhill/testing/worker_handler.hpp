#ifndef SKYLARKHILL_TESTING_WORKER_HANDLER_HPP
#define SKYLARKHILL_TESTING_WORKER_HANDLER_HPP

#include "skylarkhill/http/server.hpp"
#include "skylarkhill/testing/fake_worker.hpp"
#include "skylarkhill/testing/response_gate.hpp"

namespace skylarkhill::testing {

/// The HTTP interface of a fake worker: the commands of worker_codec.hpp.
///
/// POST /admin injects faults, with any of these members: "fail_all", "leaving"
/// and "silent" (true or false); "lose_answers" and "mismatch_answers" (number
/// of affected answers); "interference_service", "interference_class" and
/// "interference_percent". While "silent" is true, commands are received, but
/// neither executed nor answered; the other members call the setters of
/// FakeWorker.
///
/// GET /admin returns {"worker", "guard_refusals", "task_runs": [{"task",
/// "attempt", "runs"}], "call_runs": [{"request", "attempt", "runs"}],
/// "executions": [{"task", "attempt", "started_at", "ended_at"}]}. Times are
/// microseconds of the boot clock; "ended_at" is -1 while the attempt runs.
class WorkerHandler : public http::Handler
{
public:
  WorkerHandler(FakeWorker& aWorker, const base::Clock& aClock);

  http::Response Handle(const http::Request& aRequest) override;
  /// Drops the requests held back by "silent".
  void Release();

private:
  http::Response Dispatch(const http::Request& aRequest);
  http::Response DispatchTaskCommand(const std::string& aPath,
                                     const std::string& aBody);
  http::Response SetHolder(const std::string& aBody);
  http::Response RemoveHolder(const std::string& aBody);
  http::Response Start(const std::string& aBody);
  http::Response Renew(const std::string& aBody);
  http::Response Call(const std::string& aBody);
  http::Response HandleAdmin(const http::Request& aRequest);
  base::Result<void> ApplyAdmin(const std::string& aBody);
  http::Response MakeRunReport();

  FakeWorker& mWorker;
  const base::Clock& mClock;
  ResponseGate mGate;
};

} // namespace skylarkhill::testing

#endif // SKYLARKHILL_TESTING_WORKER_HANDLER_HPP
