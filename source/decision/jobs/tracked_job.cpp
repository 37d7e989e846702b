#include "decision/jobs/tracked_job.h"

#include <algorithm>
#include <utility>

namespace masticpass {

namespace {

constexpr double millis_per_core = 1000.0;

bool precedes(const tracked_occurrence& occurrence, int number) {
    return occurrence.number < number;
}

tracked_task& task_in(tracked_occurrence& occurrence, const task_name& task) {
    return occurrence.steps[static_cast<std::size_t>(task.step)].tasks[static_cast<std::size_t>(task.index)];
}

}  // namespace

void tracked_task::place(run_number run) {
    phase = task_phase::placed;
    placed_run = run;
    last_run_number = std::max(last_run_number, run);
    is_ready = false;
}

void tracked_task::return_to_waiting() {
    phase = task_phase::waiting;
    is_ready = false;
}

bool tracked_occurrence::is_done() const {
    return std::all_of(steps.begin(), steps.end(), [](const tracked_step& step) { return step.is_done(); });
}

tracked_job::tracked_job(job_id id, job_specification specification, origin job_origin)
    : id_(std::move(id)),
      specification_(std::move(specification)),
      origin_(std::move(job_origin)),
      critical_path_(critical_path_of(nullptr)) {
    if (!specification_.is_timed()) {
        find_or_create_occurrence(0).due = origin_.accepted_at;
    }
}

tracked_occurrence* tracked_job::find_occurrence(int number) {
    const auto found = std::lower_bound(occurrences_.begin(), occurrences_.end(), number, precedes);
    return found == occurrences_.end() || found->number != number ? nullptr : &*found;
}

tracked_occurrence& tracked_job::find_or_create_occurrence(int number) {
    const auto next = std::lower_bound(occurrences_.begin(), occurrences_.end(), number, precedes);
    if (next != occurrences_.end() && next->number == number) {
        return *next;
    }
    tracked_occurrence& opened = *occurrences_.emplace(next);
    opened.number = number;
    for (const job_step& step : specification_.steps) {
        opened.steps.push_back(
            {.tasks = std::vector<tracked_task>(static_cast<std::size_t>(step.task_count))});
    }
    return opened;
}

void tracked_job::create_due_occurrences(absl::Time first_due, absl::Time now) {
    if (!specification_.is_timed() || is_final()) {
        return;
    }
    for (; next_due_occurrence_ < specification_.occurrences; ++next_due_occurrence_) {
        const absl::Time due = first_due + next_due_occurrence_ * specification_.interval;
        if (due > now) {
            return;
        }
        find_or_create_occurrence(next_due_occurrence_).due = due;
    }
}

bool tracked_job::has_task(const task_name& task) const {
    return task.occurrence >= 0 && task.occurrence < specification_.occurrence_count() && task.step >= 0 &&
           task.step < static_cast<int>(specification_.steps.size()) && task.index >= 0 &&
           task.index < step_of(task).task_count;
}

tracked_task* tracked_job::find_task(const task_name& task) {
    tracked_occurrence* const occurrence = has_task(task) ? find_occurrence(task.occurrence) : nullptr;
    return occurrence == nullptr ? nullptr : &task_in(*occurrence, task);
}

tracked_task* tracked_job::find_started_task(const task_name& task) {
    return has_task(task) ? &task_in(find_or_create_occurrence(task.occurrence), task) : nullptr;
}

bool tracked_job::is_step_ready(const tracked_occurrence& occurrence, int step) const {
    const std::vector<int>& after = specification_.steps[static_cast<std::size_t>(step)].predecessors;
    return std::all_of(after.begin(), after.end(), [&](int earlier) {
        return occurrence.steps[static_cast<std::size_t>(earlier)].is_done();
    });
}

void tracked_job::restore(const job_record& record) {
    phase_ = record.phase;
    ended_at_ = record.ended_at;
    inherited_workers_ = record.workers;
    inherited_last_run_number_ = record.last_run_number;
    last_run_number_ = record.last_run_number;
    is_restored_ = true;
    if (is_final()) {
        return;
    }
    for (const auto& progress : record.steps) {
        const task_name step{.job = id_, .occurrence = progress.occurrence, .step = progress.step};
        for (const int index : progress.done) {
            task_name task = step;
            task.index = index;
            if (find_started_task(task) != nullptr) {
                record_completed(task);
            }
        }
        for (const auto& failure : progress.failures) {
            task_name failed = step;
            failed.index = failure.index;
            if (tracked_task* const task = find_started_task(failed)) {
                task->failed_runs.insert(failure.run);
                task->last_run_number = std::max(task->last_run_number, failure.run);
            }
        }
    }
}

job_record tracked_job::record() const {
    job_record record{.phase = phase_, .is_timed = specification_.is_timed(), .ended_at = ended_at_};
    if (is_final()) {
        return record;
    }
    record.last_run_number = last_run_number_;
    for (const tracked_occurrence& occurrence : occurrences_) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            job_record::step_progress progress{.occurrence = occurrence.number,
                                               .step = static_cast<int>(step)};
            const auto& tasks = occurrence.steps[step].tasks;
            for (std::size_t index = 0; index < tasks.size(); ++index) {
                if (tasks[index].phase == task_phase::done) {
                    progress.done.push_back(static_cast<int>(index));
                    continue;
                }
                // Long-running tasks have no limit of attempts, so their failures are not stored.
                if (specification_.steps[step].is_long_running) {
                    continue;
                }
                for (const run_number run : tasks[index].failed_runs) {
                    progress.failures.push_back({.index = static_cast<int>(index), .run = run});
                }
            }
            if (!progress.done.empty() || !progress.failures.empty()) {
                record.steps.push_back(std::move(progress));
            }
        }
    }
    return record;
}

bool tracked_job::record_run_number(run_number run) {
    if (run <= last_run_number_) {
        return false;
    }
    last_run_number_ = run;
    return true;
}

bool tracked_job::record_started() {
    if (phase_ != job_phase::queued) {
        return false;
    }
    phase_ = job_phase::running;
    return true;
}

bool tracked_job::is_complete() const {
    return static_cast<int>(occurrences_.size()) == specification_.occurrence_count() &&
           std::all_of(occurrences_.begin(), occurrences_.end(),
                       [](const tracked_occurrence& occurrence) { return occurrence.is_done(); });
}

bool tracked_job::record_completed(const task_name& task) {
    tracked_task* const found = find_task(task);
    if (found == nullptr || found->phase == task_phase::done || step_of(task).is_long_running || is_final()) {
        return false;
    }
    found->phase = task_phase::done;
    ++find_occurrence(task.occurrence)->steps[static_cast<std::size_t>(task.step)].done_count;
    if (is_complete()) {
        phase_ = job_phase::completed;
    }
    return true;
}

bool tracked_job::record_failure(const task_name& task, run_number run, int max_attempts) {
    tracked_task* const found = find_task(task);
    if (found == nullptr || found->phase == task_phase::done || is_final()) {
        return false;
    }
    if (step_of(task).is_long_running || !found->failed_runs.insert(run).second) {
        return false;
    }
    if (static_cast<int>(found->failed_runs.size()) >= max_attempts) {
        phase_ = job_phase::failed;
    }
    return true;
}

void tracked_job::discard_details() {
    specification_ = {};
    occurrences_.clear();
    occurrences_.shrink_to_fit();
}

absl::Duration tracked_job::critical_path_of(const tracked_occurrence* occurrence) const {
    std::vector<absl::Duration> ends;
    absl::Duration longest;
    for (std::size_t number = 0; number < specification_.steps.size(); ++number) {
        const job_step& step = specification_.steps[number];
        absl::Duration start;
        for (const int earlier : step.predecessors) {
            start = std::max(start, ends[static_cast<std::size_t>(earlier)]);
        }
        const bool is_done = occurrence != nullptr && occurrence->steps[number].is_done();
        ends.push_back(is_done ? start : start + step.estimate);
        longest = std::max(longest, ends.back());
    }
    return longest;
}

absl::Duration tracked_job::remaining_critical_path() const {
    absl::Duration longest;
    for (const tracked_occurrence& occurrence : occurrences_) {
        longest = std::max(longest, critical_path_of(&occurrence));
    }
    return longest;
}

double tracked_job::remaining_core_seconds() const {
    double sum = 0;
    for (const tracked_occurrence& occurrence : occurrences_) {
        for (std::size_t number = 0; number < occurrence.steps.size(); ++number) {
            const job_step& step = specification_.steps[number];
            const tracked_step& progress = occurrence.steps[number];
            const auto open = static_cast<double>(progress.tasks.size()) - progress.done_count;
            sum += open * absl::ToDoubleSeconds(step.estimate) *
                   static_cast<double>(step.per_task.cpu_millis) / millis_per_core;
        }
    }
    return sum;
}

}  // namespace masticpass
