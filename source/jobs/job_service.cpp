#include "jobs/job_service.h"

#include "jobs/job_keys.h"
#include "telemetry/log.h"

namespace masticpass {

bool job_service::is_store_failing() const {
    const absl::MutexLock lock(&mutex_);
    return clock_.now() < store_failed_at_ + store_failure_backoff;
}

void job_service::record_store_availability(bool is_available) {
    const absl::MutexLock lock(&mutex_);
    store_failed_at_ = is_available ? absl::InfinitePast() : clock_.now();
}

submit_result job_service::submit(const job_id& id, const accepted_job& job, absl::Time deadline) {
    if (is_store_failing()) {
        return intake_.may_be_stored(id) ? submit_result::unknown : submit_result::refused;
    }
    const submit_result result = intake_.submit(id, job, deadline);
    record_store_availability(result == submit_result::accepted);
    return result;
}

job_service::job_status job_service::find_status(const queue_name& queue, const job_id& id) {
    const auto entry = store_.read(job_keys::record(queue, id));
    if (!entry) {
        return {.result = entry.error().kind == store_error_kind::not_found
                              ? lookup_result::unknown_job
                              : lookup_result::store_unavailable};
    }
    const auto record = parse_job_record(entry->value);
    if (!record) {
        log_event(log_severity::error, "job_record_unreadable",
                  {{"job", id.value()},
                   {"revision", std::to_string(entry->revision)},
                   {"message", record.error()}});
        return {.result = lookup_result::store_unavailable};
    }
    return {.result = lookup_result::found, .phase = record->phase};
}

job_service::lookup_result job_service::cancel(const queue_name& queue, const job_id& id) {
    const job_status current = find_status(queue, id);
    if (current.result != lookup_result::found || is_final(current.phase)) {
        return current.result;
    }
    const auto written =
        store_.transact({.expectations = {{.key = job_keys::cancel_request(id), .revision = 0}},
                         .writes = {{.key = job_keys::cancel_request(id), .value = "{}"}}});
    if (written || written.error().error.kind == store_error_kind::conflict) {
        return lookup_result::found;
    }
    log_event(log_severity::warning, "cancel_failed",
              {{"job", id.value()}, {"reason", std::string(to_string(written.error().error.kind))}});
    return lookup_result::store_unavailable;
}

std::optional<std::int64_t> job_service::count_pending(const queue_name& queue) {
    const auto records = store_.read_prefix(job_keys::queue_record_prefix(queue));
    if (!records) {
        return std::nullopt;
    }
    // The record of a job has this value until its first task starts. Most records need not be parsed,
    // because they are equal to it.
    const std::string initial_record = write_job_record({});
    std::int64_t count = 0;
    for (const store_entry& entry : records->entries) {
        if (entry.value == initial_record) {
            ++count;
            continue;
        }
        const auto record = parse_job_record(entry.value);
        count += record && record->phase == job_phase::queued && !record->is_timed ? 1 : 0;
    }
    return count;
}

}  // namespace masticpass
