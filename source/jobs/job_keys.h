#ifndef MASTICPASS_JOBS_JOB_KEYS_H
#define MASTICPASS_JOBS_JOB_KEYS_H

#include <optional>
#include <string>
#include <string_view>

#include "decision/jobs/job_types.h"
#include "http/url_escape.h"

// Store keys of jobs and of shard owners. Everything that entry VMs write for the owner has one common
// prefix, so that the owner needs one watch. Records that the owner writes for entry VMs have another prefix.
namespace masticpass::job_keys {

inline constexpr std::string_view input_prefix = "masticpass/in/";
inline constexpr std::string_view accepted_prefix = "masticpass/in/job/";
inline constexpr std::string_view cancel_request_prefix = "masticpass/in/cancel/";
inline constexpr std::string_view hand_over_request_prefix = "masticpass/in/hand-over/";
inline constexpr std::string_view record_prefix = "masticpass/out/";
inline constexpr std::string_view owner_prefix = "masticpass/owner/";

inline std::string accepted(const job_id& job) {
    return std::string(accepted_prefix) + job.value();
}

inline std::string cancel_request(const job_id& job) {
    return std::string(cancel_request_prefix) + job.value();
}

// Prefix of the job records of one queue.
inline std::string queue_record_prefix(const queue_name& queue) {
    return std::string(record_prefix) + url_escape(queue.value()) + "/";
}

inline std::string record(const queue_name& queue, const job_id& job) {
    return queue_record_prefix(queue) + job.value();
}

// Key of a shard's owner, bound to the owner's lease.
inline std::string owner(int shard) {
    return std::string(owner_prefix) + std::to_string(shard);
}

// Additional key of the owner that fences one partition of its record writes.
inline std::string owner_partition(int shard, std::size_t partition) {
    return "masticpass/owner-lane/" + std::to_string(shard) + "/" + std::to_string(partition);
}

// Key of the counter of the owners that a shard has had.
inline std::string term(int shard) {
    return "masticpass/term/" + std::to_string(shard);
}

// Key of the CPU capacity of the largest entry VM that has ever taken part in a shard.
inline std::string largest_vm(int shard) {
    return "masticpass/largest-vm/" + std::to_string(shard);
}

// Key of the request that the owner with this fencing token hands over its shard.
inline std::string hand_over_request(fencing_token_value fencing_token) {
    return std::string(hand_over_request_prefix) + std::to_string(fencing_token);
}

// Key of the list of workers on which a shard's owner may have placed runs.
inline std::string workers(int shard) {
    return "masticpass/workers/" + std::to_string(shard);
}

// Job id of a key with the prefix; nullopt if the key has another prefix.
inline std::optional<job_id> parse_job_id(std::string_view key, std::string_view prefix) {
    if (!key.starts_with(prefix)) {
        return std::nullopt;
    }
    return job_id(std::string(key.substr(prefix.size())));
}

}  // namespace masticpass::job_keys

#endif
