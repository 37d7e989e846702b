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

    bool operator>(const end_event& other) const { return time > other.time; }
};

bool is_failing(const serving_trace& trace, int server, double now) {
    return std::any_of(trace.faults.begin(), trace.faults.end(), [&](const server_fault& fault) {
        return fault.server == server && fault.from <= now && now < fault.to;
    });
}

constexpr double never = std::numeric_limits<double>::infinity();

class simulation {
public:
    simulation(const serving_trace& trace, serving_policy& policy)
        : trace_(trace), policy_(policy), started_(trace.jobs.size(), 0) {}

    simulation_result run() {
        while (true) {
            const double arrival = next_arrival();
            const double end = next_end();
            const double now = std::min({arrival, end, wake_up_});
            if (now == never) {
                return std::move(result_);
            }
            if (now == end) {
                finish(now);
            } else if (now == arrival) {
                result_.short_jobs += trace_.jobs[arrived_].short_kind ? 1 : 0;
                policy_.arrived(arrived_++, now);
            }
            while (const auto choice = policy_.next(now)) {
                start(*choice, now);
            }
            wake_up_ = policy_.wake_up(now);
        }
    }

private:
    double next_arrival() const {
        if (arrived_ < trace_.jobs.size()) {
            return trace_.jobs[arrived_].arrival;
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
        if (started_[choice.job]++ > 0) {
            ++result_.retries;
        } else if (job.short_kind) {
            result_.short_waits.push_back(now - job.arrival);
        }
        const bool fails = is_failing(trace_, choice.server, now);
        ends_.push({.time = now + (fails ? failure_time : job.run_time),
                    .job = choice.job,
                    .server = choice.server,
                    .failed = fails});
    }

    void finish(double now) {
        const end_event ended = ends_.top();
        ends_.pop();
        const traced_job& job = trace_.jobs[ended.job];
        if (ended.failed) {
            const auto event =
                result_.attempts % 2 == 0 ? attempt_event::stated_not_run : attempt_event::connection_lost;
            policy_.ended(ended.job, ended.server, result_of(event, true, "fault"), now);
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
        policy_.ended(ended.job, ended.server, {}, now);
    }

    const serving_trace& trace_;
    serving_policy& policy_;
    std::vector<int> started_;
    std::priority_queue<end_event, std::vector<end_event>, std::greater<>> ends_;
    std::size_t arrived_ = 0;
    double wake_up_ = never;
    simulation_result result_;
};

}  // namespace

simulation_result simulate(const serving_trace& trace, serving_policy& policy) {
    return simulation(trace, policy).run();
}

}  // namespace masticpass::measure
