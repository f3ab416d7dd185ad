#ifndef SKYLARKHILL_NODE_RECORD_BATCH_HPP
#define SKYLARKHILL_NODE_RECORD_BATCH_HPP

#include "skylarkhill/metrics/registry.hpp"
#include "skylarkhill/node/shared_log.hpp"

#include <cstddef>
#include <deque>
#include <vector>

namespace skylarkhill::node {

/// Records that are stored in the order in which they were added, divided into
/// appends within the limits of the log. A record that the log cannot store is
/// dropped with a log line, so that it does not hold up the others.
class RecordBatch
{
public:
  /// An append gets at most `aTargetBytes`, unless its only record is larger.
  RecordBatch(const LogLimits& aLimits,
              std::size_t aTargetBytes,
              metrics::Registry& aMetrics);

  /// Returns false if the record was dropped.
  bool Add(LogRecord aRecord);
  bool IsEmpty() const { return mAppends.empty(); }
  void Clear() { mAppends.clear(); }

  /// The records of the next append. The batch must not be empty.
  const std::vector<LogRecord>& Next() const { return mAppends.front(); }
  /// The next append has been stored.
  void RemoveNext() { mAppends.pop_front(); }
  /// The log refuses the next append for its content: divides it, or drops its
  /// only record.
  void DivideNext();

private:
  void Drop(const LogRecord& aRecord);

  const LogLimits mLimits;
  const std::size_t mTargetBytes;
  metrics::Counter& mDropped;
  std::deque<std::vector<LogRecord>> mAppends;
  /// Size of the last append.
  std::size_t mLastBytes = 0;
};

} // namespace skylarkhill::node

#endif // SKYLARKHILL_NODE_RECORD_BATCH_HPP
