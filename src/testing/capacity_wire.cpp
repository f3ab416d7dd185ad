#include "skylarkhill/catalog/publish.hpp"
#include "skylarkhill/journal/record_codec.hpp"
#include "skylarkhill/peer/codec.hpp"
#include "skylarkhill/peer/frame.hpp"
#include "skylarkhill/testing/capacity.hpp"
#include "skylarkhill/testing/capacity_samples.hpp"
#include "skylarkhill/worker/worker_codec.hpp"

#include <initializer_list>

namespace skylarkhill::testing {

namespace {

using Sizes = std::initializer_list<std::int64_t>;

template<typename Measure>
CostSeries
MeasureEncodedLengths(std::string aName,
                      std::string aSizeUnit,
                      Sizes aSizes,
                      Measure aMeasure)
{
  CostSeries series{ std::move(aName), "bytes", std::move(aSizeUnit), {} };
  for (const std::int64_t size : aSizes) {
    series.mPoints.push_back(
      { static_cast<double>(size), static_cast<double>(aMeasure(size)) });
  }
  return series;
}

/// A batch of `aCount` records of the same kind.
template<typename Make>
std::size_t
BatchLength(std::int64_t aCount, Make aMake)
{
  journal::Batch batch;
  batch.mWriter = "entry-1.1700000000000";
  batch.mSequence = 100'000;
  for (std::int64_t n = 0; n < aCount; ++n) {
    batch.mRecords.push_back(journal::EncodeRecord(aMake(n)));
  }
  return journal::EncodeBatch(batch).size();
}

std::size_t
HeartbeatLength(std::int64_t aWorkers, std::int64_t aServices)
{
  peer::Frame frame;
  frame.mSender = { "127.4.0.1", 18471 };
  frame.mSessionId = 1;
  frame.mPayload =
    peer::EncodeMessage(SampleHeartbeat(aWorkers, aServices)).value();
  return peer::EncodeFrame(frame).value().size();
}

std::size_t
ConfigChangeLength(std::int64_t aChanges)
{
  catalog::PublishRecord record;
  record.mIdentity = { "entry-1.1700000000000", 100 };
  record.mBaseVersion = 1000;
  record.mDigest = catalog::CatalogSet().Digest();
  record.mPublisher = "operator";
  for (std::int64_t n = 0; n < aChanges; ++n) {
    record.mDelta.mChanged.emplace_back(SampleTeam(n));
  }
  return catalog::FormatConfigRecord(record).size();
}

std::size_t
PollLength(std::int64_t aTasks)
{
  worker::HolderCommand command{ { { "entry-1" }, 1000 },
                                 std::chrono::seconds(6) };
  return worker::FormatHolderCommand(command).size() +
         worker::FormatReport(SampleWorkerReport(aTasks)).size();
}

} // namespace

std::vector<CostSeries>
MeasureEncodedSizes()
{
  using journal::SiteRecord;
  using tasks::TaskRecord;
  const Sizes counts{ 1, 10, 100 };
  return {
    MeasureEncodedLengths(
      "accept_wire",
      "accept record in a batch, 100-byte payload",
      counts,
      [](std::int64_t aCount) {
        return BatchLength(aCount, [](std::int64_t aNumber) {
          return SiteRecord(TaskRecord(SampleAccept(aNumber)));
        });
      }),
    MeasureEncodedLengths(
      "grant_wire",
      "grant record in a batch",
      counts,
      [](std::int64_t aCount) {
        return BatchLength(aCount, [](std::int64_t aNumber) {
          return SiteRecord(TaskRecord(SampleGrant(aNumber)));
        });
      }),
    MeasureEncodedLengths(
      "started_wire",
      "started record in a batch",
      counts,
      [](std::int64_t aCount) {
        return BatchLength(aCount, [](std::int64_t aNumber) {
          return SiteRecord(TaskRecord(SampleStarted(aNumber)));
        });
      }),
    MeasureEncodedLengths(
      "end_wire",
      "end record in a batch",
      counts,
      [](std::int64_t aCount) {
        return BatchLength(aCount, [](std::int64_t aNumber) {
          return SiteRecord(TaskRecord(SampleEnd(aNumber)));
        });
      }),
    MeasureEncodedLengths(
      "heartbeat_wire_workers",
      "worker held",
      { 10, 100, 1000 },
      [](std::int64_t aSize) { return HeartbeatLength(aSize, 3); }),
    MeasureEncodedLengths(
      "heartbeat_wire_services",
      "service",
      { 5, 50, 500 },
      [](std::int64_t aSize) { return HeartbeatLength(10, aSize); }),
    MeasureEncodedLengths("config_change_wire",
                          "changed object (team)",
                          counts,
                          ConfigChangeLength),
    MeasureEncodedLengths("poll_wire",
                          "task on the worker (bodies of request and response)",
                          { 0, 7, 14 },
                          PollLength),
  };
}

} // namespace skylarkhill::testing
