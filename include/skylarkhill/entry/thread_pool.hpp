#ifndef SKYLARKHILL_ENTRY_THREAD_POOL_HPP
#define SKYLARKHILL_ENTRY_THREAD_POOL_HPP

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace skylarkhill::entry {

/// Runs functions on a bounded number of threads, which are started on demand.
/// Thread-safe.
class ThreadPool
{
public:
  explicit ThreadPool(std::size_t aMaxThreads);
  /// Waits for all submitted functions.
  ~ThreadPool();
  ThreadPool(const ThreadPool&) = delete;
  ThreadPool& operator=(const ThreadPool&) = delete;

  /// Runs `aFunction` on an idle or new thread. False if all threads are busy
  /// and no more may be started; the function is then not run.
  bool TrySubmit(std::function<void()> aFunction);

private:
  void Run();

  const std::size_t mMaxThreads;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::deque<std::function<void()>> mQueue;
  std::vector<std::thread> mThreads;
  std::size_t mIdleThreads = 0;
  bool mStopping = false;
};

} // namespace skylarkhill::entry

#endif // SKYLARKHILL_ENTRY_THREAD_POOL_HPP
