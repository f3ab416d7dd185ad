#ifndef SKYLARKHILL_TESTING_RESPONSE_GATE_HPP
#define SKYLARKHILL_TESTING_RESPONSE_GATE_HPP

#include <condition_variable>
#include <mutex>

namespace skylarkhill::testing {

/// Blocks request handlers while closed, as in a server that accepts requests
/// and does not respond.
class ResponseGate
{
public:
  void SetClosed(bool aClosed);
  bool IsClosed() const;
  /// Blocks until the gate is open.
  void Wait();

private:
  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  bool mIsClosed = false;
};

} // namespace skylarkhill::testing

#endif // SKYLARKHILL_TESTING_RESPONSE_GATE_HPP
