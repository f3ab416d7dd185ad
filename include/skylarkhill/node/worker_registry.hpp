#ifndef SKYLARKHILL_NODE_WORKER_REGISTRY_HPP
#define SKYLARKHILL_NODE_WORKER_REGISTRY_HPP

#include "skylarkhill/dispatch/worker.hpp"
#include "skylarkhill/node/log_stream_reader.hpp"
#include "skylarkhill/node/loop_profile.hpp"
#include "skylarkhill/node/record_decoder.hpp"
#include "skylarkhill/node/shared_log.hpp"

#include <map>
#include <string>
#include <vector>

namespace skylarkhill::node {

/// A worker and its record in the registry.
struct RegisteredWorker
{
  dispatch::WorkerEntry mEntry;
  std::string mRecord;
};

/// Is told of the changes that a WorkerRegistry reads.
class WorkerListener
{
public:
  virtual ~WorkerListener() = default;
  /// The worker is new or its record has changed.
  virtual void OnWorker(const RegisteredWorker& aWorker) = 0;
  /// The registry does not list the worker any more.
  virtual void OnWorkerGone(const std::string& aWorkerId) = 0;
};

/// The workers that the registry lists. Its stream has a record of every worker
/// each second, so only instances that need it follow it. Not thread-safe.
class WorkerRegistry
{
public:
  WorkerRegistry(AsyncLog& aLog,
                 const base::Clock& aClock,
                 LogStream aStream,
                 const RecordDecoder& aDecoder,
                 LoopProfile& aProfile,
                 WorkerListener& aListener);

  /// Starts or stops following the registry. The workers are forgotten without
  /// notice when it stops.
  void SetFollowing(bool aIsFollowing);
  void Tick() { mReader.Tick(); }
  base::TimePoint NextTickAt() const { return mReader.NextTickAt(); }
  /// See LogStreamReader.
  void SetMaxRateLimitPause(base::Duration aPause)
  {
    mReader.SetMaxRateLimitPause(aPause);
  }
  void SetRetrySeed(std::uint64_t aSeed) { mReader.SetRetrySeed(aSeed); }
  const LogStreamReader& Reader() const { return mReader; }
  /// By id.
  const std::map<std::string, RegisteredWorker>& Workers() const
  {
    return mWorkers;
  }

private:
  void OnSnapshot(const std::vector<LogRecord>& aRecords);
  void OnRecord(const LogRecord& aRecord);
  void Remove(const std::string& aWorkerId);

  const RecordDecoder& mDecoder;
  LoopProfile& mProfile;
  WorkerListener& mListener;
  std::map<std::string, RegisteredWorker> mWorkers;
  LogStreamReader mReader;
};

} // namespace skylarkhill::node

#endif // SKYLARKHILL_NODE_WORKER_REGISTRY_HPP
