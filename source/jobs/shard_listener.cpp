// The part of shard_owner that handles the events of its sessions with workers.

#include <array>

#include "jobs/shard_owner.h"
#include "telemetry/log.h"

namespace masticpass {

namespace {

std::string_view to_string(report_coverage coverage) {
    switch (coverage) {
        case report_coverage::unlisted_ends:
            return "unlisted-ends";
        case report_coverage::unreadable_runs:
            return "unreadable-runs";
        case report_coverage::complete:
            return "complete";
    }
    return "complete";
}

}  // namespace

void shard_owner::on_report(const worker_id& worker, const worker_report& report, absl::Time sent_at) {
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const std::optional<report_coverage> earlier_coverage = coverage_of(worker);
        if (scheduler_.handle_report(worker, report, sent_at, dependencies_.time.now())) {
            must_plan_ = true;
            plan_needed_.notify_one();
        }
        log_coverage_change(worker, earlier_coverage);
        if (!report.ended.empty()) {
            must_commit_ = true;
            commit_needed_.notify_one();
        }
    }
    if (!report.ended.empty()) {
        dependencies_.metrics.count({.name = "masticpass_run_ends_total"}, report.ended.size());
    }
}

std::optional<report_coverage> shard_owner::coverage_of(const worker_id& worker) const {
    const auto known = scheduler_.workers().find(worker);
    return known == scheduler_.workers().end() ? std::nullopt : known->second.coverage;
}

void shard_owner::log_coverage_change(const worker_id& worker, std::optional<report_coverage> earlier) {
    const std::optional<report_coverage> present = coverage_of(worker);
    const bool is_ordinary = !earlier && present == report_coverage::complete;
    if (!present || present == earlier || is_ordinary) {
        return;
    }
    log_event(log_severity::info, "worker_coverage_changed",
              {{"worker", worker.value()},
               {"fence", std::to_string(ownership_->fencing_token())},
               {"before", earlier ? std::string(to_string(*earlier)) : "none"},
               {"coverage", std::string(to_string(*present))}});
}

void shard_owner::on_unreachable(const worker_id& worker, worker_error error) {
    // In the order of worker_error.
    static constexpr std::array<std::string_view, 4> error_names = {"unreachable", "other-worker",
                                                                    "superseded", "refused"};
    // The metric counts failed polls of workers; "look" in its name means a poll.
    count("masticpass_look_failures_total", "reason", error_names.at(static_cast<std::size_t>(error)));
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto known = scheduler_.workers().find(worker);
    if (known != scheduler_.workers().end() && known->second.is_reachable) {
        log_event(log_severity::warning, "worker_unreachable",
                  {{"worker", worker.value()},
                   {"reason", std::string(error_names.at(static_cast<std::size_t>(error)))}});
    }
    scheduler_.handle_unreachable(worker);
}

void shard_owner::on_lease_expired(const worker_id& worker) {
    log_event(log_severity::warning, "worker_lease_expired", {{"worker", worker.value()}});
    const std::lock_guard<std::mutex> lock(mutex_);
    scheduler_.handle_lease_expired(worker, dependencies_.time.now());
    must_plan_ = true;
    plan_needed_.notify_one();
}

bool shard_owner::is_wanted(const worker_order& order) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return scheduler_.is_wanted(order);
}

void shard_owner::on_start(const worker_order& order, start_outcome outcome, std::int64_t started_ms) {
    count("masticpass_starts_total", "outcome", to_string(outcome));
    const std::lock_guard<std::mutex> lock(mutex_);
    scheduler_.handle_start_outcome(order, outcome, dependencies_.time.now(), started_ms);
    if (outcome != start_outcome::accepted) {
        must_plan_ = true;
        plan_needed_.notify_one();
    }
}

void shard_owner::on_stop(const worker_order& order, bool is_confirmed, std::int64_t started_ms) {
    const std::lock_guard<std::mutex> lock(mutex_);
    scheduler_.handle_stop_response(order, is_confirmed, dependencies_.time.now(), started_ms);
}

void shard_owner::on_throttle(const worker_order& order, bool is_confirmed, std::int64_t started_ms) {
    const std::lock_guard<std::mutex> lock(mutex_);
    scheduler_.handle_throttle_response(order, is_confirmed, dependencies_.time.now(), started_ms);
}

void shard_owner::on_superseded(const worker_id& worker) {
    log_event(log_severity::warning, "ownership_superseded",
              {{"worker", worker.value()}, {"fence", std::to_string(ownership_->fencing_token())}});
    abandon();
}

std::int64_t shard_owner::last_stored_run_end(const worker_id& worker) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = scheduler_.workers().find(worker);
    return found == scheduler_.workers().end() ? 0 : found->second.last_stored_end;
}

}  // namespace masticpass
