#ifndef MASTICPASS_JOBS_JOB_KEYS_H
#define MASTICPASS_JOBS_JOB_KEYS_H

#include <optional>
#include <string>
#include <string_view>

#include "decision/jobs/job_types.h"
#include "http/url_escape.h"

// Keys of the jobs in the store. What entry VMs write for the owner lies under one prefix, so that one watch
// covers it; what the owner writes for entry VMs lies under another.
namespace masticpass::job_keys {

inline constexpr std::string_view input_prefix = "masticpass/in/";
inline constexpr std::string_view accepted_prefix = "masticpass/in/job/";
inline constexpr std::string_view cancelled_prefix = "masticpass/in/cancel/";
inline constexpr std::string_view hand_over_prefix = "masticpass/in/hand-over/";
inline constexpr std::string_view record_prefix = "masticpass/out/";
inline constexpr std::string_view owner_prefix = "masticpass/owner/";

inline std::string accepted(const job_id& job) {
    return std::string(accepted_prefix) + job.value();
}

inline std::string cancelled(const job_id& job) {
    return std::string(cancelled_prefix) + job.value();
}

// Prefix of the records of one queue.
inline std::string records(const queue_name& queue) {
    return std::string(record_prefix) + url_escape(queue.value()) + "/";
}

inline std::string record(const queue_name& queue, const job_id& job) {
    return records(queue) + job.value();
}

// The lease-bound key of a shard's owner.
inline std::string owner(int shard) {
    return std::string(owner_prefix) + std::to_string(shard);
}

// A further key of the owner, which guards one lane of its writes.
inline std::string owner_lane(int shard, std::size_t lane) {
    return "masticpass/owner-lane/" + std::to_string(shard) + "/" + std::to_string(lane);
}

// Counts the owners that a shard has had.
inline std::string term(int shard) {
    return "masticpass/term/" + std::to_string(shard);
}

// The processor of the largest entry VM that ever took part in a shard.
inline std::string largest_vm(int shard) {
    return "masticpass/largest-vm/" + std::to_string(shard);
}

// The wish that the owner with the fence lets its shard go.
inline std::string hand_over(fencing_token fence) {
    return std::string(hand_over_prefix) + std::to_string(fence);
}

// The workers on which a shard's owner may have placed runs.
inline std::string workers(int shard) {
    return "masticpass/workers/" + std::to_string(shard);
}

// The job of a key with the prefix; nullopt if the key has another one.
inline std::optional<job_id> job_of(std::string_view key, std::string_view prefix) {
    if (!key.starts_with(prefix)) {
        return std::nullopt;
    }
    return job_id(std::string(key.substr(prefix.size())));
}

}  // namespace masticpass::job_keys

#endif
