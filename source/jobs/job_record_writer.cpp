#include "jobs/job_record_writer.h"

#include <array>
#include <latch>
#include <utility>

#include <absl/hash/hash.h>
#include <boost/asio/post.hpp>

#include "jobs/job_keys.h"
#include "telemetry/guarded_call.h"

namespace masticpass {

job_record_writer::job_record_writer(transactional_store& store, int shard,
                                     const fenced_writer::owner_key& owner, metrics_registry& metrics) {
    for (std::size_t partition = 0; partition < partition_count; ++partition) {
        fenced_writer::owner_key key = owner;
        key.key = job_keys::owner_partition(shard, partition);
        partitions_.push_back(std::make_unique<fenced_writer>(store, key, metrics));
    }
}

tl::expected<void, fenced_writer::write_error> job_record_writer::write(
    std::vector<record_batch::update> updates) {
    std::array<std::vector<store_write>, partition_count> writes;
    for (record_batch::update& update : updates) {
        const std::size_t partition = absl::Hash<job_id>{}(update.job) % partition_count;
        writes.at(partition).push_back(
            {.key = job_keys::record(update.queue, update.job), .value = std::move(update.record)});
    }
    std::array<tl::expected<void, fenced_writer::write_error>, partition_count> results;
    const auto write_partition = [&](std::size_t partition) {
        results.at(partition) = tl::unexpected(fenced_writer::write_error::unavailable);
        call_guarded("write-records", [&] {
            results.at(partition) = partitions_[partition]->write(std::move(writes.at(partition)), {});
        });
    };
    std::latch pending_partitions(partition_count - 1);
    for (std::size_t partition = 1; partition < partition_count; ++partition) {
        if (writes.at(partition).empty()) {
            pending_partitions.count_down();
            continue;
        }
        boost::asio::post(threads_, [&write_partition, &pending_partitions, partition] {
            write_partition(partition);
            pending_partitions.count_down();
        });
    }
    write_partition(0);
    pending_partitions.wait();
    for (const auto& result : results) {
        if (!result) {
            return result;
        }
    }
    return {};
}

}  // namespace masticpass
