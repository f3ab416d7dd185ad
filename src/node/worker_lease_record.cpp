#include "skylarkhill/node/worker_lease_record.hpp"

#include "skylarkhill/base/msgpack.hpp"

#include <tuple>

namespace skylarkhill::node {

namespace {

using Fields = std::tuple<std::int64_t, std::int64_t>;

} // namespace

std::string
EncodeWorkerLease(const WorkerLeaseRecord& aRecord)
{
  return base::PackMsgpack(Fields{ aRecord.mEpoch, aRecord.mRemainingMs });
}

base::Result<WorkerLeaseRecord>
DecodeWorkerLease(std::string_view aBytes)
{
  BOOST_OUTCOME_TRY(fields, base::UnpackMsgpack<Fields>(aBytes));
  if (std::get<1>(fields) < 0) {
    return base::MakeError(base::ErrorKind::InvalidArgument,
                           "negative remaining time of a lease");
  }
  return WorkerLeaseRecord{ std::get<0>(fields), std::get<1>(fields) };
}

} // namespace skylarkhill::node
