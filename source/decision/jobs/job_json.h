#ifndef MASTICPASS_DECISION_JOBS_JOB_JSON_H
#define MASTICPASS_DECISION_JOBS_JOB_JSON_H

#include <string>
#include <string_view>

#include <absl/time/time.h>
#include <tl/expected.hpp>

#include "decision/configuration/configuration_problem.h"
#include "decision/jobs/job_types.h"
#include "decision/jobs/tracked_job.h"

// JSON encoding of jobs in the store and on the system's own interface. All functions are pure and may be
// called from any thread.
namespace masticpass {

// Limits for one job, so that a wrong number cannot exhaust the memory of its owner.
inline constexpr int maximum_job_steps = 200;
inline constexpr int maximum_job_tasks = 20000;
inline constexpr std::size_t maximum_payload_bytes = 4000;
inline constexpr int maximum_job_occurrences = 100000;

// Returns every error in the specification with its path: counts and amounts out of range, and steps that
// depend on themselves, on later steps or on steps that do not exist.
configuration_problems check_job(const job_specification& job);

std::string write_job_specification(const job_specification& job);
tl::expected<job_specification, configuration_problems> parse_job_specification(std::string_view text);

// An accepted job as it is stored.
struct accepted_job {
    queue_name queue = {};
    // Wall-clock time at which an entry VM accepted the job.
    absl::Time accepted_at = {};
    job_specification specification = {};
};

std::string write_accepted_job(const accepted_job& job);
tl::expected<accepted_job, configuration_problems> parse_accepted_job(std::string_view text);

std::string write_job_record(const job_record& record);
// The error describes the first problem found.
tl::expected<job_record, std::string> parse_job_record(std::string_view text);

}  // namespace masticpass

#endif
