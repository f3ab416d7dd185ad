#include "skylarkhill/peer/receive_pipes.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkhill::peer {

namespace {

using Pipes = std::vector<ReceivePipes::PipeId>;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Duration kQuietTime = seconds(3);

class ReceivePipesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ReceivePipesTest);
  CPPUNIT_TEST(ReplacedPipeIsKeptWhileItReceives);
  CPPUNIT_TEST(PipeWithoutAStateInAMiddleboxIsClosed);
  CPPUNIT_TEST(PipeInUseIsKept);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a process that cannot exit: an instance that was paused
  // reads frames from the connections that its peer has replaced meanwhile, and
  // closing one of them then can block nng for ever.
  void ReplacedPipeIsKeptWhileItReceives()
  {
    for (int n = 0; n < 10; ++n) {
      mPipes.RecordFrame(1, n == 0, mClock.Now());
      mPipes.RecordFrame(2, true, mClock.Now());
      CPPUNIT_ASSERT(mPipes.TakeUnused(mClock.Now()).empty());
      mClock.Advance(seconds(1));
    }
    // The last frame on the replaced pipe came one second ago.
    mClock.Advance(kQuietTime - seconds(1) - milliseconds(1));
    CPPUNIT_ASSERT(mPipes.TakeUnused(mClock.Now()).empty());
    mClock.Advance(milliseconds(1));
    CPPUNIT_ASSERT(mPipes.TakeUnused(mClock.Now()) == Pipes{ 1 });
  }

  // Guards against keeping connections whose close never arrives, because a
  // middlebox has dropped their state.
  void PipeWithoutAStateInAMiddleboxIsClosed()
  {
    for (ReceivePipes::PipeId n = 1; n <= 3; ++n) {
      mPipes.RecordFrame(n, true, mClock.Now());
    }
    mClock.Advance(kQuietTime);
    CPPUNIT_ASSERT(mPipes.TakeUnused(mClock.Now()) == (Pipes{ 1, 2 }));
    CPPUNIT_ASSERT(mPipes.TakeUnused(mClock.Now()).empty());
  }

  // Guards against closing the connection that the peer uses, also if the peer
  // has used another one in between or sends nothing for a while.
  void PipeInUseIsKept()
  {
    mPipes.RecordFrame(1, true, mClock.Now());
    mPipes.RecordFrame(2, true, mClock.Now());
    mPipes.RecordFrame(1, true, mClock.Now());
    mClock.Advance(10 * kQuietTime);
    CPPUNIT_ASSERT(mPipes.TakeUnused(mClock.Now()) == Pipes{ 2 });
  }

private:
  base::ManualClock mClock;
  ReceivePipes mPipes{ kQuietTime };
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReceivePipesTest);

} // namespace

} // namespace skylarkhill::peer
