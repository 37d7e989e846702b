// The part of shard_owner that loads and watches its inputs: accepted jobs, their records, cancel and
// hand-over requests, and the list of workers of earlier owners.

#include <algorithm>
#include <optional>
#include <utility>

#include <json/json.h>

#include "decision/configuration/json_object_reader.h"
#include "jobs/job_keys.h"
#include "jobs/shard_owner.h"
#include "telemetry/log.h"

namespace masticpass {

namespace {

// Timeout of one watch call. It is short, so that an unresponsive connection is detected soon.
constexpr absl::Duration watch_timeout = absl::Milliseconds(800);
// Delay before the next watch call after changes, so that one call returns all changes of this time.
constexpr absl::Duration watch_batch_delay = absl::Milliseconds(30);

}  // namespace

void shard_owner::input_loop() {
    store_revision revision = 0;
    update_rules();
    while (!load_job_records() || !read_inputs(revision, true) || !load_known_workers() ||
           !vm_controller_.load()) {
        if (!wait_while_running(retry_delay)) {
            return;
        }
    }
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        log_event(log_severity::info, "jobs_loaded",
                  {{"jobs", std::to_string(scheduler_.job_count())},
                   {"revision", std::to_string(revision)},
                   {"fence", std::to_string(ownership_->fencing_token())}});
        loaded_records_.clear();
    }
    are_jobs_loaded_ = true;
    while (is_running()) {
        const auto changes = dependencies_.store.watch(job_keys::input_prefix, revision, watch_timeout, {});
        if (!changes) {
            if (!wait_while_running(retry_delay)) {
                return;
            }
            continue;
        }
        if (changes->compacted) {
            log_event(log_severity::warning, "watch_compacted", {{"after", std::to_string(revision)}});
            if (!read_inputs(revision, false) && !wait_while_running(retry_delay)) {
                return;
            }
            continue;
        }
        revision = std::max(revision, changes->revision);
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            for (const store_change& change : changes->changes) {
                if (!change.removed) {
                    handle_input(change.entry, false);
                }
            }
        }
        if (!changes->changes.empty()) {
            request_plan();
            if (!wait_while_running(watch_batch_delay)) {
                return;
            }
        }
    }
}

bool shard_owner::load_job_records() {
    const auto records = dependencies_.store.read_prefix(job_keys::record_prefix);
    if (!records) {
        return false;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const store_entry& entry : records->entries) {
        const std::size_t slash = entry.key.rfind('/');
        loaded_records_[job_id(entry.key.substr(slash + 1))] = entry.value;
    }
    return true;
}

bool shard_owner::read_inputs(store_revision& revision, bool is_initial) {
    const std::lock_guard<std::mutex> inputs_lock(inputs_mutex_);
    const auto inputs = dependencies_.store.read_prefix(job_keys::input_prefix);
    if (!inputs || inputs->revision < revision) {
        return false;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const store_entry& entry : inputs->entries) {
        if (job_keys::parse_job_id(entry.key, job_keys::accepted_prefix)) {
            handle_input(entry, is_initial);
        }
    }
    // All other inputs may refer to accepted jobs, so they are handled after the jobs.
    for (const store_entry& entry : inputs->entries) {
        if (!job_keys::parse_job_id(entry.key, job_keys::accepted_prefix)) {
            handle_input(entry, is_initial);
        }
    }
    revision = inputs->revision;
    return true;
}

void shard_owner::handle_hand_over_request(const std::string& key) {
    if (key == job_keys::hand_over_request(ownership_->fencing_token())) {
        is_hand_over_requested_ = true;
    } else {
        obsolete_hand_over_requests_.insert(key);
    }
}

void shard_owner::handle_input(const store_entry& entry, bool is_initial) {
    if (entry.key.starts_with(job_keys::hand_over_request_prefix)) {
        handle_hand_over_request(entry.key);
        return;
    }
    if (const auto cancelled = job_keys::parse_job_id(entry.key, job_keys::cancel_request_prefix)) {
        scheduler_.cancel_job(*cancelled);
        must_commit_ = true;
        commit_needed_.notify_one();
        return;
    }
    const auto id = job_keys::parse_job_id(entry.key, job_keys::accepted_prefix);
    if (!id || scheduler_.knows_job(*id) || jobs_with_unreadable_record_.contains(*id)) {
        return;
    }
    auto job = parse_accepted_job(entry.value);
    if (!job) {
        log_event(log_severity::error, "job_unreadable",
                  {{"job", id->value()},
                   {"revision", std::to_string(entry.revision)},
                   {"message", to_string(job.error().front())}});
        return;
    }
    // The fencing token is the revision at which this term began, so an earlier owner may have started tasks
    // of a job with a lower revision.
    const bool is_inherited = is_initial && entry.revision < ownership_->fencing_token();
    // A job keeps its age when the owner changes. The age is limited because the wall clocks of two VMs may
    // differ.
    const absl::Duration age =
        is_initial ? std::clamp(absl::Now() - job->accepted_at, absl::ZeroDuration(), absl::Seconds(60))
                   : absl::ZeroDuration();
    std::optional<job_record> record;
    if (const auto stored = loaded_records_.find(*id); stored != loaded_records_.end()) {
        auto parsed = parse_job_record(stored->second);
        if (!parsed) {
            log_event(log_severity::error, "job_record_unreadable",
                      {{"job", id->value()}, {"message", parsed.error()}});
            jobs_with_unreadable_record_.insert(*id);
            return;
        }
        record = *std::move(parsed);
    }
    scheduler_.add_job(*id, *std::move(job),
                       {.accepted_at = dependencies_.time.now() - age,
                        .sequence_number = next_job_number_++,
                        .is_inherited = is_inherited},
                       record ? &*record : nullptr);
}

bool shard_owner::load_known_workers() {
    const auto stored = dependencies_.store.read(job_keys::workers(options_.shard));
    if (!stored) {
        return stored.error().kind == store_error_kind::not_found;
    }
    const auto value = parse_json(stored->value);
    if (!value || !value->isObject()) {
        log_event(log_severity::error, "workers_record_unreadable",
                  {{"message", value ? "must be a JSON object" : value.error()}});
        return true;
    }
    std::vector<worker_entry> entries;
    for (const std::string& id : value->getMemberNames()) {
        const Json::Value& address = (*value)[id];
        if (address.isString()) {
            entries.push_back({.id = worker_id(id), .address = address.asString()});
        } else {
            log_event(log_severity::error, "workers_record_unreadable",
                      {{"worker", id}, {"message", "the address must be a string"}});
        }
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    scheduler_.add_inherited_workers(entries);
    for (const worker_entry& entry : entries) {
        open_session(entry.id, entry.address);
        known_workers_[entry.id] = entry.address;
    }
    stored_known_workers_ = serialize_known_workers();
    return true;
}

std::string shard_owner::serialize_known_workers() const {
    Json::Value object(Json::objectValue);
    for (const auto& [id, address] : known_workers_) {
        object[id.value()] = address;
    }
    return write_json(object);
}

}  // namespace masticpass
