#include "skylarkhill/node/worker_registry.hpp"

#include <set>
#include <utility>

namespace skylarkhill::node {

namespace {

/// Pause after a read that delivered records.
constexpr base::Duration kPause = std::chrono::milliseconds(250);
/// Short, so that one lost read does not delay the news of draining workers
/// beyond its bound.
constexpr base::Duration kWait = std::chrono::milliseconds(500);

} // namespace

WorkerRegistry::WorkerRegistry(AsyncLog& aLog,
                               const base::Clock& aClock,
                               LogStream aStream,
                               const RecordDecoder& aDecoder,
                               LoopProfile& aProfile,
                               WorkerListener& aListener)
  : mDecoder(aDecoder)
  , mProfile(aProfile)
  , mListener(aListener)
  , mReader(aLog,
            aClock,
            std::move(aStream),
            { [this](const LogRecord& aRecord) { OnRecord(aRecord); },
              [this](const std::vector<LogRecord>& aRecords) {
                OnSnapshot(aRecords);
              } })
{
  mReader.SetPause(kPause);
  mReader.SetWait(kWait);
  mReader.Stop();
}

void
WorkerRegistry::SetFollowing(bool aIsFollowing)
{
  if (aIsFollowing != mReader.IsStopped()) {
    return;
  }
  if (aIsFollowing) {
    mReader.Resume();
  } else {
    mReader.Stop();
    mWorkers.clear();
  }
}

void
WorkerRegistry::OnSnapshot(const std::vector<LogRecord>& aRecords)
{
  std::set<std::string> gone;
  for (const auto& [id, worker] : mWorkers) {
    gone.insert(id);
  }
  for (const auto& it : aRecords) {
    OnRecord(it);
    gone.erase(it.mKey);
  }
  for (const auto& it : gone) {
    Remove(it);
  }
}

void
WorkerRegistry::OnRecord(const LogRecord& aRecord)
{
  const LoopProfile::Timer timer(mProfile, LoopPhase::Streams);
  if (aRecord.mValue.empty()) {
    Remove(aRecord.mKey);
    return;
  }
  auto entry = mDecoder.DecodeWorker(aRecord);
  if (!entry) {
    Remove(aRecord.mKey);
    return;
  }
  RegisteredWorker& worker = mWorkers[aRecord.mKey];
  worker = { std::move(*entry), aRecord.mValue };
  mListener.OnWorker(worker);
}

void
WorkerRegistry::Remove(const std::string& aWorkerId)
{
  if (mWorkers.erase(aWorkerId) != 0) {
    mListener.OnWorkerGone(aWorkerId);
  }
}

} // namespace skylarkhill::node
