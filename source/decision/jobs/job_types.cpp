#include "decision/jobs/job_types.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace masticpass {

namespace {

constexpr std::array<std::string_view, 6> run_outcome_names = {"done",   "failed", "stopped",
                                                               "lapsed", "broken", "alone"};
constexpr std::array<std::string_view, 5> job_phase_names = {"queued", "running", "completed", "failed",
                                                             "cancelled"};

// Parses a number without sign that is followed by `terminator`, or by the end of the text if `terminator` is
// '\0'. Advances `text` past the number and the terminator.
std::optional<int> parse_number(std::string_view& text, char terminator) {
    int value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    if (result.ec != std::errc() || value < 0) {
        return std::nullopt;
    }
    text.remove_prefix(static_cast<std::size_t>(result.ptr - text.data()));
    if (terminator == '\0') {
        return text.empty() ? std::optional(value) : std::nullopt;
    }
    if (text.empty() || text.front() != terminator) {
        return std::nullopt;
    }
    text.remove_prefix(1);
    return value;
}

}  // namespace

bool job_specification::is_long_running() const {
    return std::any_of(steps.begin(), steps.end(), [](const job_step& step) { return step.is_long_running; });
}

resource_amount required_resources(const job_step& step) {
    resource_amount amount = step.per_task;
    if (step.uses_idle_cpu) {
        amount.cpu_millis = 0;
    }
    return amount;
}

bool worker_entry::has_label(std::string_view label) const {
    return std::find(labels.begin(), labels.end(), label) != labels.end();
}

std::string to_string(const task_name& task) {
    return task.job.value() + "." + std::to_string(task.occurrence) + "." + std::to_string(task.step) + "." +
           std::to_string(task.index);
}

std::optional<task_name> parse_task_name(std::string_view text) {
    const std::size_t dot = text.find('.');
    if (dot == std::string_view::npos || dot == 0) {
        return std::nullopt;
    }
    task_name task{.job = job_id(std::string(text.substr(0, dot)))};
    text.remove_prefix(dot + 1);
    const auto occurrence = parse_number(text, '.');
    const auto step = occurrence ? parse_number(text, '.') : std::nullopt;
    const auto index = step ? parse_number(text, '\0') : std::nullopt;
    if (!index) {
        return std::nullopt;
    }
    task.occurrence = *occurrence;
    task.step = *step;
    task.index = *index;
    return task;
}

std::string_view to_string(run_outcome outcome) {
    return run_outcome_names.at(static_cast<std::size_t>(outcome));
}

std::string_view to_string(job_phase phase) {
    return job_phase_names.at(static_cast<std::size_t>(phase));
}

std::optional<job_phase> parse_job_phase(std::string_view text) {
    const auto* const found = std::find(job_phase_names.begin(), job_phase_names.end(), text);
    if (found == job_phase_names.end()) {
        return std::nullopt;
    }
    return static_cast<job_phase>(found - job_phase_names.begin());
}

}  // namespace masticpass
