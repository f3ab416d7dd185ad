#ifndef SKYLARKHILL_ENTRY_PEER_NETWORK_HPP
#define SKYLARKHILL_ENTRY_PEER_NETWORK_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/entry/config_service.hpp"
#include "skylarkhill/entry/instruments.hpp"
#include "skylarkhill/entry/request_service.hpp"
#include "skylarkhill/membership/view.hpp"
#include "skylarkhill/peer/message.hpp"
#include "skylarkhill/peer/transport.hpp"
#include "skylarkhill/platform/instance_list.hpp"

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace skylarkhill::entry {

struct PeerNetworkOptions
{
  membership::Self mSelf;
  membership::ViewOptions mView;
  peer::TransportOptions mTransport;
  /// Peers that are accepted in addition to those in the platform's instance
  /// list.
  std::set<peer::PeerAddress> mConfiguredPeers;
  /// Between fetches of the platform's instance list.
  base::Duration mListInterval = std::chrono::seconds(1);
  base::Duration mListTimeout = std::chrono::seconds(2);
};

/// Local state that is sent to peers in heartbeats.
struct LocalStatus
{
  std::map<std::string, std::int64_t> mFreeSlots;
  /// The held workers that this instance can use; see WorkerStatus::mUsable.
  std::vector<base::WorkerId> mHeldWorkers;
};

/// Membership and messages between entry instances. Thread-safe.
class PeerNetwork
  : public PeerClient
  , private peer::MessageSink
{
public:
  /// The references must outlive the network.
  PeerNetwork(PeerNetworkOptions aOptions,
              platform::InstanceList& aInstanceList,
              const base::Clock& aClock,
              ConfigService& aConfig,
              const Instruments& aInstruments);
  ~PeerNetwork() override;
  PeerNetwork(const PeerNetwork&) = delete;
  PeerNetwork& operator=(const PeerNetwork&) = delete;

  /// Listens and starts the threads. ConnectionLost if it cannot listen.
  /// `aRequests` must remain valid until Stop returns.
  base::Result<void> Start(RequestService& aRequests,
                           std::function<LocalStatus()> aGetLocalStatus);
  void Stop();

  std::vector<requests::Candidate> Candidates(
    const std::string& aService) const override;
  base::Result<void> Forward(const base::InstanceId& aPeer,
                             const requests::Request& aRequest,
                             std::int64_t aAttempt,
                             base::TimePoint aDeadline) override;
  void SendResponse(const base::InstanceId& aPeer,
                    const base::RequestId& aRequest,
                    std::int64_t aAttempt,
                    const requests::RequestResult& aResult) override;
  bool IsAlive(const base::InstanceId& aClaimant) const override;

  /// Tells all peers that this instance is leaving.
  void AnnounceLeaving();
  /// The worker answered a poll.
  void OnWorkerPolled(const base::WorkerId& aWorker, bool aLeaving);

  /// The instance list that was last fetched from the platform.
  std::vector<platform::InstanceInfo> ListedInstances() const;
  bool MayReceiveWork(const base::WorkerId& aWorker) const override;
  bool IsPreferredHolder(const base::WorkerId& aWorker) const;
  /// Live entry instances of all known failure domains, including this one.
  std::vector<base::InstanceId> LiveEntryInstances() const;
  std::optional<base::TimePoint> AbsentSince(
    const base::WorkerId& aWorker) const;
  std::optional<base::TimePoint> LastSeen(const base::WorkerId& aWorker) const;
  /// When the platform's newest list was asked for.
  base::TimePoint ListReadAt() const;

private:
  void OnMessage(peer::ReceivedMessage aMessage) override;
  void Handle(const peer::Heartbeat& aMessage,
              const peer::ReceivedMessage& aReceived);
  void Handle(const peer::ForwardRequest& aMessage,
              const peer::ReceivedMessage& aReceived);
  void Handle(const peer::ForwardResponse& aMessage,
              const peer::ReceivedMessage& aReceived);
  void Handle(const peer::StateFetch& aMessage,
              const peer::ReceivedMessage& aReceived);
  void Handle(const peer::StatePage& aMessage,
              const peer::ReceivedMessage& aReceived);
  void RunHeartbeats();
  void RunListFetches();
  void FetchInstanceList();
  void UpdateAllowedPeers();
  void SendHeartbeats();
  void FetchConfigIfNewer(const peer::Heartbeat& aHeartbeat,
                          const peer::PeerAddress& aPeer);
  std::optional<peer::PeerAddress> AddressOf(
    const base::InstanceId& aInstance) const;
  base::Result<void> Send(const peer::PeerAddress& aPeer,
                          const peer::Message& aMessage,
                          base::TimePoint aDeadline,
                          peer::AgePolicy aAgePolicy);
  /// Returns false if the network is stopping.
  bool SleepUnlessStopping(base::Duration aTime);

  const PeerNetworkOptions mOptions;
  platform::InstanceList& mInstanceList;
  const base::Clock& mClock;
  ConfigService& mConfig;
  const Instruments mInstruments;
  std::function<LocalStatus()> mGetLocalStatus;
  RequestService* mRequests = nullptr;
  std::unique_ptr<peer::Transport> mTransport;

  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  membership::View mView;
  std::vector<platform::InstanceInfo> mListedInstances;
  base::TimePoint mListReadAt;
  /// When the last heartbeat of each peer was received.
  std::map<base::InstanceId, base::TimePoint> mLastHeartbeatAt;
  /// Peers whose appearance has been recorded in the timeline.
  std::set<base::InstanceId> mAppearedPeers;
  /// Pages received so far of the state that is being fetched from a peer.
  std::string mConfigPages;
  std::uint64_t mConfigFetchId = 0;
  std::int64_t mNextConfigPage = 0;
  bool mStopping = false;
  std::vector<std::thread> mThreads;
};

} // namespace skylarkhill::entry

#endif // SKYLARKHILL_ENTRY_PEER_NETWORK_HPP
