#ifndef MASTICPASS_JOBS_JOB_RECORD_WRITER_H
#define MASTICPASS_JOBS_JOB_RECORD_WRITER_H

#include <algorithm>
#include <cstddef>
#include <memory>
#include <vector>

#include <boost/asio/thread_pool.hpp>
#include <tl/expected.hpp>

#include "decision/jobs/job_scheduler.h"
#include "jobs/fenced_writer.h"

namespace masticpass {

// Stores the records of a shard's jobs in partitions that are written concurrently. Each partition has a key
// of its own under the owner's lease, which each of its transactions expects and rewrites. The record of a
// job always belongs to the same partition. The writes of a record therefore keep their order, and a delayed
// transaction has no effect, as with a single writer. Load pattern: in a burst several hundred records change
// within 100 ms, and task starts wait until these records are stored; sequential transactions would take
// longer than the tasks. Ownership: borrows the store and the metrics. Thread safety: `write` must be called
// on one thread at a time.
//
// Unlike conditional_writer, which changes one record that several processes may change and compares the
// record's own revision, this class writes many records that only the shard's owner changes, and compares the
// revisions of the owner's partition keys instead of those of the records.
class job_record_writer {
public:
    static constexpr std::size_t partition_count = 4;

    // `owner` is the owner key. It was created in the same transaction as the partition keys.
    job_record_writer(transactional_store& store, int shard, const fenced_writer::owner_key& owner,
                      metrics_registry& metrics);

    // Returns after the writes of all partitions have ended. If several partitions fail, the error of the
    // first of them in partition order is returned. After an error the updates of the other partitions may be
    // stored.
    tl::expected<void, fenced_writer::write_error> write(std::vector<record_batch::update> updates);
    // Returns whether a write of a partition has found that the term has ended.
    bool is_superseded() const {
        return std::any_of(partitions_.begin(), partitions_.end(),
                           [](const auto& partition) { return partition->is_superseded(); });
    }

private:
    std::vector<std::unique_ptr<fenced_writer>> partitions_;
    // Threads for all partitions but one, which the caller's thread writes.
    boost::asio::thread_pool threads_{partition_count - 1};
};

}  // namespace masticpass

#endif
