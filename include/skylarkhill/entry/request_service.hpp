#ifndef SKYLARKHILL_ENTRY_REQUEST_SERVICE_HPP
#define SKYLARKHILL_ENTRY_REQUEST_SERVICE_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/random.hpp"
#include "skylarkhill/entry/config_service.hpp"
#include "skylarkhill/entry/instruments.hpp"
#include "skylarkhill/entry/service_admission.hpp"
#include "skylarkhill/entry/thread_pool.hpp"
#include "skylarkhill/entry/worker_manager.hpp"
#include "skylarkhill/journal/journal_service.hpp"
#include "skylarkhill/requests/forwarder.hpp"
#include "skylarkhill/requests/request_machine.hpp"
#include "skylarkhill/requests/target_picker.hpp"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace skylarkhill::entry {

/// Interface through which the request service reaches other entry instances.
class PeerClient
{
public:
  virtual ~PeerClient() = default;
  /// Peers that hold workers of the service, with the free slots from their
  /// heartbeats.
  virtual std::vector<requests::Candidate> Candidates(
    const std::string& aService) const = 0;
  /// Asks a peer to run one attempt. On an error nothing was sent.
  virtual base::Result<void> Forward(const base::InstanceId& aPeer,
                                     const requests::Request& aRequest,
                                     std::int64_t aAttempt,
                                     base::TimePoint aDeadline) = 0;
  /// Sends the result of an attempt that a peer has forwarded.
  virtual void SendResponse(const base::InstanceId& aPeer,
                            const base::RequestId& aRequest,
                            std::int64_t aAttempt,
                            const requests::RequestResult& aResult) = 0;
  /// True if the instance may still be working on the keys that it claimed.
  virtual bool IsAlive(const base::InstanceId& aInstance) const = 0;
  /// False if any source reports that the worker is leaving.
  virtual bool MayReceiveWork(const base::WorkerId& aWorker) const = 0;
};

struct RequestServiceOptions
{
  /// Instance and incarnation, as "name/incarnation"; identifies this instance
  /// as the claimant of a key.
  base::InstanceId mClaimant;
  std::uint64_t mIncarnation = 0;
  /// Maximum number of standing (long-lived) requests of each service on this
  /// instance, queued and running.
  std::int64_t mStandingLimit = 128;
  std::int64_t mRetryBudgetPercent = 10;
  /// Threads for worker calls and for appends to the log.
  std::size_t mMaxThreads = 128;
};

/// Runs caller requests and forwarded attempts. Thread-safe.
class RequestService
{
public:
  /// The references must outlive the service.
  RequestService(RequestServiceOptions aOptions,
                 const base::Clock& aClock,
                 WorkerManager& aWorkers,
                 const ConfigService& aConfig,
                 journal::JournalService& aJournal,
                 const journal::SiteState& aState,
                 PeerClient& aPeers,
                 const Instruments& aInstruments);
  ~RequestService();
  RequestService(const RequestService&) = delete;
  RequestService& operator=(const RequestService&) = delete;

  /// Runs one request and returns the result for the caller by the request's
  /// deadline. Blocks. `aIsFirstSend`: the caller states that it has not sent
  /// this key before.
  requests::RequestResult Run(const requests::Request& aRequest,
                              bool aIsFirstSend);

  /// The outcome of the request with this key, or nothing while it is in
  /// progress. NotFound if the log has no request with this key.
  base::Result<std::optional<requests::RequestResult>> Lookup(
    const base::RequestId& aKey) const;

  /// Runs an attempt that a peer has forwarded to this instance.
  void OnForwarded(const requests::ForwardedAttempt& aAttempt);
  /// Handles the answer of a peer to an attempt that was forwarded to it.
  void OnPeerAnswered(const requests::PeerAnswered& aAnswer);

  /// Free slots per service on the workers that this instance holds.
  std::map<std::string, std::int64_t> FreeSlots() const;
  /// Requests of callers and forwarded attempts.
  std::int64_t CountInProgress() const;
  /// Refuses forwarded attempts from now on.
  void StopAccepting();

private:
  struct ActiveRequest;
  using ActiveRequestPtr = std::shared_ptr<ActiveRequest>;

  const catalog::Service* FindService(const ConfigView& aConfig,
                                      const std::string& aName) const;
  std::vector<requests::Candidate> HeldWorkerCandidates(
    const std::string& aService) const;
  requests::RequestResult RunActiveRequest(const ActiveRequestPtr& aActive,
                                           base::TimePoint aArrivedAt);
  requests::RequestResult AwaitResult(const ActiveRequestPtr& aActive,
                                      base::TimePoint aDeadline) const;
  /// All slots of the usable held workers, whether or not they serve the
  /// service, plus the free slots of peers for the service; at least 1.
  std::int64_t ReachableSlots(const std::string& aService) const;
  bool IsKnownNotRun(const base::RequestId& aKey,
                     base::TimePoint aArrivedAt) const;
  requests::RequestResult ProcessEvents(const ActiveRequestPtr& aActive);
  void Perform(const ActiveRequestPtr& aActive,
               const requests::RequestAction& aAction);
  void PickTarget(const ActiveRequestPtr& aActive,
                  const requests::PickTarget& aAction);
  void SendAttempt(const ActiveRequestPtr& aActive,
                   const requests::SendAttempt& aAction);
  /// Requires mForwardMutex.
  void EndInFlight(const ActiveRequestPtr& aActive, std::int64_t aAttempt);
  base::Result<std::string> CallWhenSlotFree(WorkerAgent& aAgent,
                                             const requests::Request& aRequest,
                                             std::int64_t aAttempt,
                                             base::TimePoint aDeadline) const;
  void CallWorker(const ActiveRequestPtr& aActive,
                  const requests::SendAttempt& aAction);
  void ForwardToPeer(const ActiveRequestPtr& aActive,
                     const requests::SendAttempt& aAction);
  void AppendIntent(const ActiveRequestPtr& aActive);
  void WatchClaim(const ActiveRequestPtr& aActive);
  void AppendOutcome(const requests::Request& aRequest,
                     const requests::RequestResult& aResult);
  void PerformForwardActions(const requests::ForwardActions& aActions);
  void RunForwarded(const requests::RunOnWorker& aAction);
  void RecordResult(const requests::Request& aRequest,
                    const requests::RequestResult& aResult,
                    base::TimePoint aStartedAt);
  ServiceAdmission& AdmissionFor(const std::string& aService);

  const RequestServiceOptions mOptions;
  const base::Clock& mClock;
  WorkerManager& mWorkers;
  const ConfigService& mConfig;
  journal::JournalService& mJournal;
  const journal::SiteState& mState;
  PeerClient& mPeers;
  const Instruments mInstruments;
  const std::unique_ptr<requests::TargetPicker> mTargetPicker;

  /// Guards the forwarder, its random generator and the attempts in flight.
  mutable std::mutex mForwardMutex;
  std::unique_ptr<base::Random> mRandom;
  requests::InFlightTable mInFlight;
  requests::Forwarder mForwarder;

  mutable std::mutex mActiveRequestsMutex;
  std::unique_ptr<base::Random> mSeedSource;
  std::map<base::RequestId, ActiveRequestPtr> mActiveRequests;

  mutable std::mutex mAdmissionsMutex;
  std::map<std::string, std::unique_ptr<ServiceAdmission>> mAdmissions;

  ThreadPool mThreadPool;
};

} // namespace skylarkhill::entry

#endif // SKYLARKHILL_ENTRY_REQUEST_SERVICE_HPP
