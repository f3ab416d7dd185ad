#ifndef SKYLARKHILL_JOURNAL_SITE_RECORD_HPP
#define SKYLARKHILL_JOURNAL_SITE_RECORD_HPP

#include "skylarkhill/platform/log_service.hpp"
#include "skylarkhill/requests/key_record.hpp"
#include "skylarkhill/requests/key_table.hpp"
#include "skylarkhill/tasks/task_record.hpp"
#include "skylarkhill/tasks/task_snapshot.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace skylarkhill::journal {

using platform::Offset;

/// State of an unfinished task after exactly the records up to offset `mAsOf`.
/// In a StatePage, `mAsOf` + 1 is the replay offset and the task may have
/// ended.
struct TaskSnapshotRecord
{
  Offset mAsOf = -1;
  tasks::TaskSnapshot mTask;
};

/// State of a claimed key after exactly the records up to offset `mAsOf`. In a
/// StatePage, `mAsOf` + 1 is the replay offset and the key may be finished.
struct KeySnapshotRecord
{
  Offset mAsOf = -1;
  requests::KeySnapshot mKey;
};

/// Any record of the `site` stream.
using SiteRecord = std::variant<tasks::TaskRecord,
                                requests::KeyRecord,
                                TaskSnapshotRecord,
                                KeySnapshotRecord>;

/// The part of the stream that a writer had applied when it created the records
/// of a batch.
struct WriterPosition
{
  /// Newest offset that the writer had applied; -1 if none.
  Offset mAppliedThrough = -1;
  /// Oldest offset that the log service still retained. Readers remove
  /// tombstones whose records are all older; since they take this from the
  /// batch, all of them do so at the same offset.
  Offset mFirstRetained = 0;
};

/// Records of one writer that were appended together.
struct Batch
{
  /// Instance and incarnation.
  std::string mWriter;
  /// Increases with every batch of a writer.
  std::int64_t mSequence = 0;
  WriterPosition mPosition;
  /// The writer's wall clock, in milliseconds since the Unix epoch. Only used
  /// to decide when to write snapshots.
  std::int64_t mWrittenAtMs = 0;
  /// Encoded records.
  std::vector<std::string> mRecords;
};

} // namespace skylarkhill::journal

#endif // SKYLARKHILL_JOURNAL_SITE_RECORD_HPP
