#ifndef SKYLARKHILL_TESTING_CAPACITY_SAMPLES_HPP
#define SKYLARKHILL_TESTING_CAPACITY_SAMPLES_HPP

#include "skylarkhill/catalog/catalog_set.hpp"
#include "skylarkhill/holder/granted_attempt.hpp"
#include "skylarkhill/peer/message.hpp"
#include "skylarkhill/requests/key_record.hpp"
#include "skylarkhill/tasks/task_record.hpp"
#include "skylarkhill/worker/remote_worker.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace skylarkhill::testing {

// Records and messages of typical size for capacity measurements.

std::string
SampleTaskId(std::int64_t aNumber);

std::string
SampleWorkerId(std::int64_t aNumber);

tasks::AcceptRecord
SampleAccept(std::int64_t aNumber);

tasks::GrantRecord
SampleGrant(std::int64_t aNumber);

tasks::StartedRecord
SampleStarted(std::int64_t aNumber);

tasks::EndRecord
SampleEnd(std::int64_t aNumber);

requests::IntentRecord
SampleIntent(std::int64_t aNumber);

requests::OutcomeRecord
SampleOutcome(std::int64_t aNumber);

/// `aObjects` objects: one pool, one batch class and otherwise teams.
catalog::CatalogSet
SampleCatalogSet(std::int64_t aObjects);

catalog::Team
SampleTeam(std::int64_t aNumber);

peer::Heartbeat
SampleHeartbeat(std::int64_t aWorkers, std::int64_t aServices);

worker::WorkerReport
SampleWorkerReport(std::int64_t aTasks);

std::vector<holder::GrantedAttempt>
SampleGrantedAttempts(std::int64_t aTasks);

/// A worker that runs `aTasks` tasks and accepts every command.
std::unique_ptr<worker::RemoteWorker>
CreateSampleWorker(std::int64_t aTasks, const base::Clock& aClock);

} // namespace skylarkhill::testing

#endif // SKYLARKHILL_TESTING_CAPACITY_SAMPLES_HPP
