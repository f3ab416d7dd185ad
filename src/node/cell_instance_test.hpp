#ifndef SKYLARKHILL_NODE_CELL_INSTANCE_TEST_HPP
#define SKYLARKHILL_NODE_CELL_INSTANCE_TEST_HPP

#include "skylarkhill/node/node.hpp"

#include "cell_site_test.hpp"
#include "fake_shared_log_test.hpp"
#include "fake_worker_client_test.hpp"

namespace skylarkhill::node {

/// An instance of a site of several cells over an in-memory log.
struct CellInstance
{
  CellInstance(FakeLogState& aState,
               FakeWorkers& aWorkers,
               const base::Clock& aClock,
               const NodeOptions& aOptions)
    : mWallClock(aClock)
    , mLog(aState)
    , mClients(aWorkers, aClock)
    , mProfile(aClock, mMetrics)
    , mNode(aOptions,
            mLog,
            mLog,
            mClients,
            mDecoder,
            aClock,
            mWallClock,
            mProfile,
            mMetrics)
  {
    mLog.mClock = &aClock;
    mLog.mKeepsLostAppends = true;
  }

  metrics::Registry mMetrics;
  SimulatedWallClock mWallClock;
  FakeSharedLog mLog;
  FakeWorkerClients mClients;
  DomainDecoder mDecoder;
  LoopProfile mProfile;
  Node mNode;
  base::TimePoint mPausedUntil;
};

} // namespace skylarkhill::node

#endif // SKYLARKHILL_NODE_CELL_INSTANCE_TEST_HPP
