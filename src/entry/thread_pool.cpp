#include "skylarkhill/entry/thread_pool.hpp"

#include <utility>

namespace skylarkhill::entry {

ThreadPool::ThreadPool(std::size_t aMaxThreads)
  : mMaxThreads(aMaxThreads)
{
}

ThreadPool::~ThreadPool()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mChanged.notify_all();
  for (auto& it : mThreads) {
    it.join();
  }
}

// Functions are never queued behind busy threads, because an attempt that
// starts late has less time until its deadline.
bool
ThreadPool::TrySubmit(std::function<void()> aFunction)
{
  const std::lock_guard lock(mMutex);
  if (mStopping) {
    return false;
  }
  if (mQueue.size() >= mIdleThreads) {
    if (mThreads.size() >= mMaxThreads) {
      return false;
    }
    mThreads.emplace_back([this] { Run(); });
  }
  mQueue.push_back(std::move(aFunction));
  mChanged.notify_one();
  return true;
}

void
ThreadPool::Run()
{
  std::unique_lock lock(mMutex);
  while (true) {
    ++mIdleThreads;
    mChanged.wait(lock, [this] { return mStopping || !mQueue.empty(); });
    --mIdleThreads;
    if (mQueue.empty()) {
      return;
    }
    auto function = std::move(mQueue.front());
    mQueue.pop_front();
    lock.unlock();
    function();
    lock.lock();
  }
}

} // namespace skylarkhill::entry
