#include "support/serving_simulation.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <queue>

namespace masticpass::measure {
namespace {

constexpr double failure_time = 0.02;

struct end_event {
    double time = 0.0;
    std::size_t job = 0;
    int server = 0;
    bool failed = false;
    occupant kind = occupant::short_kind;

    bool operator>(const end_event& other) const { return time > other.time; }
};

// The maximum run time of short work in the scheduler, in seconds.
constexpr double maximum_short_run_time = 1.0;

occupant occupant_of(const traced_job& job, size_class size) {
    if (job.short_kind) {
        return job.run_time > maximum_short_run_time ? occupant::overlong : occupant::short_kind;
    }
    return size == size_class::long_work ? occupant::long_kind : occupant::long_kind_as_short;
}

bool is_failing(const serving_trace& trace, int server, double now) {
    return std::any_of(trace.faults.begin(), trace.faults.end(), [&](const server_fault& fault) {
        return fault.server == server && fault.from <= now && now < fault.to;
    });
}

constexpr double never = std::numeric_limits<double>::infinity();

class simulation {
public:
    simulation(const serving_trace& trace, serving_policy& policy)
        : trace_(trace),
          policy_(policy),
          attempt_counts_(trace.jobs.size(), 0),
          slot_seconds_at_arrival_(trace.jobs.size()) {}

    serving_result run() {
        while (true) {
            const double arrival = next_arrival();
            const double end = next_end();
            const double now = std::min({arrival, end, next_wake_up_});
            if (now == never) {
                return std::move(result_);
            }
            advance(now);
            if (now == end) {
                finish(now);
            } else if (now == arrival) {
                result_.short_jobs += trace_.jobs[next_job_].short_kind ? 1 : 0;
                slot_seconds_at_arrival_[next_job_] = slot_seconds_;
                policy_.handle_arrival(next_job_++, now);
            }
            while (const auto choice = policy_.choose_next(now)) {
                start(*choice, now);
            }
            next_wake_up_ = policy_.next_wake_up(now);
        }
    }

private:
    void advance(double now) {
        for (std::size_t kind = 0; kind < occupant_kinds; ++kind) {
            slot_seconds_[kind] += occupied_slots_[kind] * (now - last_update_);
        }
        last_update_ = now;
    }

    void record_wait(std::size_t job, double now) {
        short_wait entry{.wait = now - trace_.jobs[job].arrival};
        for (std::size_t kind = 0; kind < occupant_kinds; ++kind) {
            entry.slot_seconds[kind] = slot_seconds_[kind] - slot_seconds_at_arrival_[job][kind];
        }
        result_.short_waits.push_back(entry.wait);
        result_.short_wait_causes.push_back(entry);
    }

    double next_arrival() const {
        if (next_job_ < trace_.jobs.size()) {
            return trace_.jobs[next_job_].arrival;
        }
        return never;
    }

    double next_end() const {
        if (ends_.empty()) {
            return never;
        }
        return ends_.top().time;
    }

    void start(const policy_choice& choice, double now) {
        const traced_job& job = trace_.jobs[choice.job];
        ++result_.attempts;
        if (attempt_counts_[choice.job]++ > 0) {
            ++result_.retries;
        } else if (job.short_kind) {
            record_wait(choice.job, now);
        }
        const bool fails = is_failing(trace_, choice.server, now);
        const occupant kind = occupant_of(job, choice.size);
        ++occupied_slots_[static_cast<std::size_t>(kind)];
        ends_.push({.time = now + (fails ? failure_time : job.run_time),
                    .job = choice.job,
                    .server = choice.server,
                    .failed = fails,
                    .kind = kind});
    }

    void finish(double now) {
        const end_event ended = ends_.top();
        ends_.pop();
        --occupied_slots_[static_cast<std::size_t>(ended.kind)];
        const traced_job& job = trace_.jobs[ended.job];
        if (ended.failed) {
            const auto event =
                result_.attempts % 2 == 0 ? attempt_event::server_refused : attempt_event::connection_lost;
            policy_.handle_end(ended.job, ended.server, result_of(event, true, "fault"), now);
            return;
        }
        if (now <= job.deadline) {
            result_.worth_on_time += job.worth;
            ++result_.on_time;
        }
        if (now <= trace_.horizon) {
            result_.work_completed += job.run_time;
            ++result_.jobs_completed;
        }
        policy_.handle_end(ended.job, ended.server, {}, now);
    }

    const serving_trace& trace_;
    serving_policy& policy_;
    std::vector<int> attempt_counts_;
    // Slot-seconds used by each kind of occupant until `last_update_`; `occupied_slots_` holds the slots that
    // each kind occupies since then.
    std::array<double, occupant_kinds> slot_seconds_ = {};
    std::vector<std::array<double, occupant_kinds>> slot_seconds_at_arrival_;
    std::array<int, occupant_kinds> occupied_slots_ = {};
    double last_update_ = 0.0;
    std::priority_queue<end_event, std::vector<end_event>, std::greater<>> ends_;
    std::size_t next_job_ = 0;
    double next_wake_up_ = never;
    serving_result result_;
};

}  // namespace

serving_result simulate(const serving_trace& trace, serving_policy& policy) {
    return simulation(trace, policy).run();
}

}  // namespace masticpass::measure
