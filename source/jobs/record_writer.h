#ifndef MASTICPASS_JOBS_RECORD_WRITER_H
#define MASTICPASS_JOBS_RECORD_WRITER_H

#include <algorithm>
#include <cstddef>
#include <memory>
#include <vector>

#include <boost/asio/thread_pool.hpp>
#include <tl/expected.hpp>

#include "decision/jobs/job_scheduler.h"
#include "jobs/fenced_writer.h"

namespace masticpass {

// Stores the records of a shard's jobs in lanes that do not wait for each other. Each lane has a key of its
// own under the owner's lease, which each of its transactions expects and writes anew, and a job's record is
// always written in the same lane. So the writes of one record keep their order, and a transaction that is
// carried out late has no effect, as with one writer.
// Load pattern: in a turn several hundred records change within a tenth of a second, and starts wait for
// them; one transaction after the other then takes longer than the tasks. Ownership: borrows the store and
// the metrics. Thread safety: `write` on one thread at a time.
class record_writer {
public:
    static constexpr std::size_t partition_count = 4;

    // `owner`: the key that was created together with those of the lanes.
    record_writer(transactional_store& store, int shard, const fenced_writer::owner_key& owner,
                  metrics_registry& metrics);

    // Returns after all lanes have ended. Errors: the first of any lane; the others may be stored.
    tl::expected<void, fenced_writer::write_error> write(std::vector<record_batch::update> updates);
    // A lane has found that the term is over.
    bool is_superseded() const {
        return std::any_of(partitions_.begin(), partitions_.end(),
                           [](const auto& partition) { return partition->is_superseded(); });
    }

private:
    std::vector<std::unique_ptr<fenced_writer>> partitions_;
    // The caller's thread writes one lane itself.
    boost::asio::thread_pool threads_{partition_count - 1};
};

}  // namespace masticpass

#endif
