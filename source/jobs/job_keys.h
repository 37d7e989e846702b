#ifndef MASTICPASS_JOBS_JOB_KEYS_H
#define MASTICPASS_JOBS_JOB_KEYS_H

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "decision/jobs/job_types.h"
#include "http/url_escape.h"

// Store keys of jobs and of shard owners. All keys that entry VMs write for the owner have the prefix
// `input_prefix`, so that the owner needs only one watch. The records that the owner writes for entry VMs
// have the prefix `record_prefix`.
namespace masticpass::job_keys {

inline constexpr std::string_view input_prefix = "masticpass/in/";
inline constexpr std::string_view accepted_prefix = "masticpass/in/job/";
inline constexpr std::string_view cancel_request_prefix = "masticpass/in/cancel/";
inline constexpr std::string_view hand_over_request_prefix = "masticpass/in/hand-over/";
inline constexpr std::string_view record_prefix = "masticpass/out/";
inline constexpr std::string_view owner_prefix = "masticpass/owner/";

// Key of an accepted job.
inline std::string accepted(const job_id& job) {
    return std::string(accepted_prefix) + job.value();
}

// Key of the request to cancel a job.
inline std::string cancel_request(const job_id& job) {
    return std::string(cancel_request_prefix) + job.value();
}

// Prefix of the job records of one queue.
inline std::string queue_record_prefix(const queue_name& queue) {
    return std::string(record_prefix) + url_escape(queue.value()) + "/";
}

// Key of the record with the state of a job.
inline std::string record(const queue_name& queue, const job_id& job) {
    return queue_record_prefix(queue) + job.value();
}

inline constexpr std::size_t keys_per_job = 3;

// Returns all keys of one job.
inline std::array<std::string, keys_per_job> all_of_job(const queue_name& queue, const job_id& job) {
    return {accepted(job), cancel_request(job), record(queue, job)};
}

// Key that exists while a shard has an owner. It is bound to the owner's lease.
inline std::string owner(int shard) {
    return std::string(owner_prefix) + std::to_string(shard);
}

// Additional key under the owner's lease, which fences the writes of one partition of the job records. The
// text of the stored key calls a partition "lane".
inline std::string owner_partition(int shard, std::size_t partition) {
    return "masticpass/owner-lane/" + std::to_string(shard) + "/" + std::to_string(partition);
}

// Key of the record of a shard's latest term: its number and the CPU capacity of the owner's VM.
inline std::string term(int shard) {
    return "masticpass/term/" + std::to_string(shard);
}

// Key of the CPU capacity of the largest entry VM that has ever taken part in the election of a shard's
// owner.
inline std::string largest_vm(int shard) {
    return "masticpass/largest-vm/" + std::to_string(shard);
}

// Key of the request to the owner with this fencing token to hand over its shard.
inline std::string hand_over_request(fencing_token_value fencing_token) {
    return std::string(hand_over_request_prefix) + std::to_string(fencing_token);
}

// Key of the list of workers on which a shard's owners may have placed runs.
inline std::string workers(int shard) {
    return "masticpass/workers/" + std::to_string(shard);
}

// Returns the job id that follows the prefix; nullopt if the key has another prefix.
inline std::optional<job_id> parse_job_id(std::string_view key, std::string_view prefix) {
    if (!key.starts_with(prefix)) {
        return std::nullopt;
    }
    return job_id(std::string(key.substr(prefix.size())));
}

}  // namespace masticpass::job_keys

#endif
