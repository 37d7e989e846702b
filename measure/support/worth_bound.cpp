#include "support/worth_bound.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

namespace masticpass::measure {
namespace {

// For each pair of steps, the remaining capacity for jobs whose time window lies within [from, to).
class interval_slack {
public:
    interval_slack(const std::vector<double>& capacity)
        : steps_(capacity.size()), slack_(steps_ * (steps_ + 1), std::numeric_limits<float>::max()) {
        for (std::size_t from = 0; from < steps_; ++from) {
            double sum = 0.0;
            for (std::size_t to = from + 1; to <= steps_; ++to) {
                sum += capacity[to - 1];
                at(from, to) = static_cast<float>(sum);
            }
        }
    }

    // Serves as much of `amount` within [from, to) as the capacity permits and returns the served amount.
    double serve(std::size_t from, std::size_t to, double amount) {
        float served = static_cast<float>(amount);
        for (std::size_t start = 0; start <= from && served > 0.0F; ++start) {
            const float* const row = &slack_[start * (steps_ + 1)];
            for (std::size_t end = to; end <= steps_; ++end) {
                served = std::min(served, row[end]);
            }
        }
        if (!(served > 0.0F)) {
            return 0.0;
        }
        for (std::size_t start = 0; start <= from; ++start) {
            float* const row = &slack_[start * (steps_ + 1)];
            for (std::size_t end = to; end <= steps_; ++end) {
                row[end] -= served;
            }
        }
        return served;
    }

private:
    float& at(std::size_t from, std::size_t to) { return slack_[from * (steps_ + 1) + to]; }

    std::size_t steps_;
    std::vector<float> slack_;
};

std::vector<double> capacity_of(const serving_trace& trace, std::size_t steps, double step) {
    std::vector<double> capacity(steps, trace.slots() * step);
    for (const server_fault& fault : trace.faults) {
        // Only steps that lie entirely within the fault lose capacity, so that the result remains an upper
        // bound.
        const auto first = static_cast<std::size_t>(std::ceil(fault.from / step));
        const auto last = std::min(steps, static_cast<std::size_t>(std::floor(fault.to / step)));
        for (std::size_t index = first; index < last; ++index) {
            capacity[index] -= 8 * step;
        }
    }
    return capacity;
}

}  // namespace

double worth_upper_bound(const serving_trace& trace, double step) {
    double end = trace.horizon;
    std::vector<const traced_job*> jobs;
    for (const traced_job& job : trace.jobs) {
        if (job.arrival + job.run_time <= job.deadline) {
            jobs.push_back(&job);
            end = std::max(end, job.deadline);
        }
    }
    std::sort(jobs.begin(), jobs.end(), [](const traced_job* left, const traced_job* right) {
        return left->worth * right->run_time > right->worth * left->run_time;
    });
    const auto steps = static_cast<std::size_t>(std::ceil(end / step));
    interval_slack slack(capacity_of(trace, steps, step));
    double worth = 0.0;
    for (const traced_job* job : jobs) {
        const auto from = static_cast<std::size_t>(job->arrival / step);
        const auto to = std::min(steps, static_cast<std::size_t>(std::ceil(job->deadline / step)));
        worth += job->worth * slack.serve(from, to, job->run_time) / job->run_time;
    }
    return worth;
}

}  // namespace masticpass::measure
