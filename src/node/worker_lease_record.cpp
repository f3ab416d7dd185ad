#include "skylarkhill/node/worker_lease_record.hpp"

#include "skylarkhill/base/msgpack.hpp"

#include <tuple>

namespace skylarkhill::node {

namespace {

/// The third field is 1 if the incarnation in the last one owes nothing.
/// Versions without the last two fields ignore them, and their records lack
/// them.
using Fields =
  std::tuple<std::int64_t, std::int64_t, std::int64_t, std::int64_t>;

} // namespace

std::string
EncodeWorkerLease(const WorkerLeaseRecord& aRecord)
{
  return base::PackMsgpack(
    Fields{ aRecord.mEpoch,
            aRecord.mRemainingMs,
            aRecord.mIdleIncarnationStartMs.has_value() ? 1 : 0,
            aRecord.mIdleIncarnationStartMs.value_or(0) });
}

base::Result<WorkerLeaseRecord>
DecodeWorkerLease(std::string_view aBytes)
{
  BOOST_OUTCOME_TRY(fields, base::UnpackMsgpack<Fields>(aBytes));
  if (std::get<1>(fields) < 0) {
    return base::MakeError(base::ErrorKind::InvalidArgument,
                           "negative remaining time of a lease");
  }
  WorkerLeaseRecord record;
  record.mEpoch = std::get<0>(fields);
  record.mRemainingMs = std::get<1>(fields);
  if (std::get<2>(fields) == 1) {
    record.mIdleIncarnationStartMs = std::get<3>(fields);
  }
  return record;
}

} // namespace skylarkhill::node
