#include "skylarkhill/holder/absent_worker.hpp"

#include <algorithm>

namespace skylarkhill::holder {

std::vector<tasks::EndRecord>
EndAbsentWorkerAttempts(const AbsentWorker& aWorker,
                        base::Duration aLongestTaskLease,
                        base::Duration aMargin)
{
  const base::TimePoint since =
    std::max(aWorker.mAbsentSince, aWorker.mLastSeen);
  // The worker may have returned to the list since an earlier one was read.
  if (aWorker.mListReadAt < since + aLongestTaskLease + aMargin) {
    return {};
  }
  std::vector<tasks::EndRecord> ends;
  for (const auto& it : aWorker.mGrants) {
    tasks::EndRecord end;
    end.mTask = it.mTask;
    end.mAttempt = it.mAttempt;
    end.mOutcome = tasks::AttemptOutcome::Lost;
    end.mCheckpoint = it.mCheckpoint;
    ends.push_back(end);
  }
  return ends;
}

} // namespace skylarkhill::holder
