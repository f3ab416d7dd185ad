#ifndef SKYLARKHILL_ENTRY_API_HANDLER_HPP
#define SKYLARKHILL_ENTRY_API_HANDLER_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/entry/config_service.hpp"
#include "skylarkhill/entry/instruments.hpp"
#include "skylarkhill/entry/request_service.hpp"
#include "skylarkhill/entry/task_service.hpp"
#include "skylarkhill/http/server.hpp"
#include "skylarkhill/settings/secret.hpp"

#include <functional>

namespace skylarkhill::entry {

struct ApiOptions
{
  base::InstanceId mInstance;
  settings::Secret mOperatorCredential;
  /// True while the load balancer may send new requests here.
  std::function<bool()> mIsReady;
};

/// The HTTP interface of an entry instance for callers and operators.
class ApiHandler : public http::Handler
{
public:
  /// The references must outlive the handler.
  ApiHandler(ApiOptions aOptions,
             const base::Clock& aClock,
             RequestService& aRequests,
             TaskService& aTasks,
             ConfigService& aConfig,
             const Instruments& aInstruments);

  http::Response Handle(const http::Request& aRequest) override;

private:
  http::Response Route(const http::Request& aRequest);
  base::Result<http::Response> PostRequest(const http::Request& aRequest);
  base::Result<http::Response> GetRequest(const std::string& aKey);
  base::Result<http::Response> PostTask(const http::Request& aRequest);
  base::Result<http::Response> GetTask(const std::string& aId);
  base::Result<http::Response> DeleteTask(const http::Request& aRequest,
                                          const std::string& aId);
  base::Result<http::Response> PostConfig(const http::Request& aRequest);
  base::Result<http::Response> GetConfig() const;
  base::Result<http::Response> GetTimeline(const http::Request& aRequest) const;
  bool IsOperator(const http::Request& aRequest) const;

  const ApiOptions mOptions;
  const base::Clock& mClock;
  RequestService& mRequests;
  TaskService& mTasks;
  ConfigService& mConfig;
  const Instruments mInstruments;
};

} // namespace skylarkhill::entry

#endif // SKYLARKHILL_ENTRY_API_HANDLER_HPP
