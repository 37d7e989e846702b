#include "decision/jobs/worker_state.h"

namespace masticpass {

run_traits traits_of(const job_step& step) {
    return {.is_long_running = step.is_long_running,
            .is_gang = step.is_gang,
            .fills_idle_processor = step.uses_idle_cpu,
            .target_latency = step.target_latency,
            .estimate = step.estimate};
}

int worker_state::run_count_of_step(const task_name& task) const {
    const task_name first{.job = task.job, .occurrence = task.occurrence, .step = task.step, .index = 0};
    int count = 0;
    for (auto run = runs.lower_bound(first); run != runs.end(); ++run) {
        const task_name& name = run->first;
        if (name.job != task.job || name.occurrence != task.occurrence || name.step != task.step) {
            break;
        }
        ++count;
    }
    return count;
}

void worker_state::add_run(const task_name& task, const placed_run& run) {
    runs.emplace(task, run);
    reserved += run.amount;
    if (run.traits.is_long_running) {
        reserved_long_running += run.amount;
    }
}

bool worker_state::remove_run(const task_name& task) {
    const auto found = runs.find(task);
    if (found == runs.end()) {
        return false;
    }
    reserved -= found->second.amount;
    if (found->second.traits.is_long_running) {
        reserved_long_running -= found->second.amount;
    }
    runs.erase(found);
    return true;
}

}  // namespace masticpass
