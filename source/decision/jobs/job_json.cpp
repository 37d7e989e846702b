#include "decision/jobs/job_json.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <utility>

#include <absl/strings/str_cat.h>
#include <json/json.h>

#include "decision/configuration/json_object_reader.h"

namespace masticpass {

namespace {

std::string step_path(std::size_t step) {
    return "steps[" + std::to_string(step) + "]";
}

void set_unless_default(Json::Value& object, const char* name, std::int64_t value) {
    if (value != 0) {
        object[name] = Json::Int64(value);
    }
}

void set_unless_default(Json::Value& object, const char* name, bool value) {
    if (value) {
        object[name] = true;
    }
}

void set_unless_default(Json::Value& object, const char* name, const std::string& value) {
    if (!value.empty()) {
        object[name] = value;
    }
}

Json::Value to_json(const std::vector<int>& numbers) {
    Json::Value array(Json::arrayValue);
    for (const int number : numbers) {
        array.append(number);
    }
    return array;
}

Json::Value to_json(const job_step& step) {
    Json::Value object(Json::objectValue);
    object["count"] = step.task_count;
    set_unless_default(object, "cpu_millis", step.per_task.cpu_millis);
    set_unless_default(object, "memory_mb", step.per_task.memory_mb);
    set_unless_default(object, "accelerators", step.per_task.accelerators);
    set_unless_default(object, "estimate_ms", absl::ToInt64Milliseconds(step.estimate));
    if (!step.predecessors.empty()) {
        object["after"] = to_json(step.predecessors);
    }
    set_unless_default(object, "checkpointable", step.is_checkpointable);
    set_unless_default(object, "gang", step.is_gang);
    set_unless_default(object, "same_rack", step.prefers_same_rack);
    set_unless_default(object, "required_label", step.required_label);
    set_unless_default(object, "preferred_rack", step.preferred_rack);
    set_unless_default(object, "maximum_per_worker", std::int64_t{step.maximum_per_worker});
    set_unless_default(object, "copies", step.allows_copies);
    set_unless_default(object, "lasting", step.is_long_running);
    set_unless_default(object, "image", step.image);
    set_unless_default(object, "target_latency_ms", absl::ToInt64Milliseconds(step.target_latency));
    set_unless_default(object, "fills_idle_processor", step.uses_idle_cpu);
    if (step.maximum_unavailable) {
        object["may_miss"] = *step.maximum_unavailable;
    }
    return object;
}

Json::Value to_json(const job_specification& job) {
    Json::Value object(Json::objectValue);
    object["payload"] = job.payload;
    object["steps"] = Json::Value(Json::arrayValue);
    for (const job_step& step : job.steps) {
        object["steps"].append(to_json(step));
    }
    if (job.is_timed()) {
        object["occurrences"] = job.occurrences;
        object["first_due_ms"] = Json::Int64(absl::ToUnixMillis(job.first_due));
        object["interval_ms"] = Json::Int64(absl::ToInt64Milliseconds(job.interval));
    }
    return object;
}

absl::Duration to_duration(std::optional<std::int64_t> milliseconds) {
    return absl::Milliseconds(milliseconds.value_or(0));
}

std::vector<int> read_predecessors(json_object_reader& reader) {
    std::vector<int> after;
    const Json::Value* const array = reader.find("after");
    if (array == nullptr) {
        return after;
    }
    if (!array->isArray()) {
        reader.report("after", "must be an array of step numbers");
        return after;
    }
    for (const Json::Value& number : *array) {
        if (!number.isInt()) {
            reader.report("after", "must be an array of step numbers");
            return after;
        }
        after.push_back(number.asInt());
    }
    return after;
}

job_step read_step(const Json::Value& value, const std::string& path, configuration_problems& problems) {
    json_object_reader reader(value, path, problems);
    job_step step;
    reader.require("count");
    assign_if(step.task_count, reader.integer("count"));
    assign_if(step.per_task.cpu_millis, reader.large_integer("cpu_millis"));
    assign_if(step.per_task.memory_mb, reader.large_integer("memory_mb"));
    assign_if(step.per_task.accelerators, reader.large_integer("accelerators"));
    step.estimate = to_duration(reader.large_integer("estimate_ms"));
    step.predecessors = read_predecessors(reader);
    assign_if(step.is_checkpointable, reader.boolean("checkpointable"));
    assign_if(step.is_gang, reader.boolean("gang"));
    assign_if(step.prefers_same_rack, reader.boolean("same_rack"));
    assign_if(step.required_label, reader.text("required_label"));
    assign_if(step.preferred_rack, reader.text("preferred_rack"));
    assign_if(step.maximum_per_worker, reader.integer("maximum_per_worker"));
    assign_if(step.allows_copies, reader.boolean("copies"));
    assign_if(step.is_long_running, reader.boolean("lasting"));
    assign_if(step.image, reader.text("image"));
    step.target_latency = to_duration(reader.large_integer("target_latency_ms"));
    assign_if(step.uses_idle_cpu, reader.boolean("fills_idle_processor"));
    step.maximum_unavailable = reader.integer("may_miss");
    reader.report_unknown_members();
    return step;
}

job_specification read_specification(const Json::Value& value, const std::string& path,
                                     configuration_problems& problems) {
    json_object_reader reader(value, path, problems);
    job_specification job;
    assign_if(job.payload, reader.text("payload"));
    const Json::Value* const steps = reader.require("steps");
    if (steps != nullptr && steps->isArray()) {
        for (Json::ArrayIndex index = 0; index < steps->size(); ++index) {
            job.steps.push_back(read_step((*steps)[index], reader.path_of(step_path(index)), problems));
        }
    } else if (steps != nullptr) {
        reader.report("steps", "must be an array");
    }
    assign_if(job.occurrences, reader.integer("occurrences"));
    job.first_due = absl::FromUnixMillis(reader.large_integer("first_due_ms").value_or(0));
    job.interval = to_duration(reader.large_integer("interval_ms"));
    reader.report_unknown_members();
    return job;
}

void check_step(const job_specification& job, std::size_t number, configuration_problems& problems) {
    const job_step& step = job.steps[number];
    const std::string path = step_path(number);
    if (step.task_count < 1 || step.task_count > maximum_job_tasks) {
        problems.push_back({path + ".count", "must be 1 to " + std::to_string(maximum_job_tasks)});
    }
    if (!step.per_task.is_in_range()) {
        problems.push_back({path, "amounts must be 0 to " + std::to_string(resource_amount::maximum)});
    }
    if (step.estimate < absl::ZeroDuration()) {
        problems.push_back({path, "the estimate must not be negative"});
    }
    if (step.maximum_per_worker < 0) {
        problems.push_back({path, "the limit for one worker must not be negative"});
    }
    for (const int earlier : step.predecessors) {
        if (earlier < 0 || earlier >= static_cast<int>(number)) {
            problems.push_back({path + ".after", "names step " + std::to_string(earlier) +
                                                     ", but only earlier steps can be waited for"});
        }
    }
}

// Appends an array member, unless the array is empty.
template <typename Element, typename Append>
void append_list(std::string& text, const char* name, const std::vector<Element>& elements, Append append) {
    if (elements.empty()) {
        return;
    }
    if (text.back() != '{') {
        text.push_back(',');
    }
    absl::StrAppend(&text, "\"", name, "\":");
    char separator = '[';
    for (const Element& element : elements) {
        text.push_back(separator);
        append(text, element);
        separator = ',';
    }
    text.push_back(']');
}

void append_progress(std::string& text, const job_record::step_progress& progress) {
    absl::StrAppend(&text, R"({"step":)", progress.step);
    if (progress.occurrence != 0) {
        absl::StrAppend(&text, R"(,"occurrence":)", progress.occurrence);
    }
    append_list(text, "done", progress.done,
                [](std::string& out, int index) { absl::StrAppend(&out, index); });
    append_list(text, "failures", progress.failures,
                [](std::string& out, const job_record::step_progress::failure& failure) {
                    absl::StrAppend(&out, "[", failure.index, ",", failure.run, "]");
                });
    text.push_back('}');
}

bool are_run_numbers_in_range(const job_record& record) {
    return is_run_number_in_range(record.last_run_number) &&
           std::all_of(record.steps.begin(), record.steps.end(), [](const auto& progress) {
               return std::all_of(progress.failures.begin(), progress.failures.end(),
                                  [](const auto& failure) { return is_run_number_in_range(failure.run); });
           });
}

job_record::step_progress read_progress(const Json::Value& value) {
    job_record::step_progress progress{.occurrence = value["occurrence"].asInt(),
                                       .step = value["step"].asInt()};
    for (const Json::Value& index : value["done"]) {
        progress.done.push_back(index.asInt());
    }
    for (const Json::Value& entry : value["failures"]) {
        progress.failures.push_back({.index = entry[0U].asInt(), .run = entry[1U].asInt64()});
    }
    return progress;
}

}  // namespace

configuration_problems check_job(const job_specification& job) {
    configuration_problems problems;
    if (job.payload.size() > maximum_payload_bytes) {
        problems.push_back(
            {"payload", "must have at most " + std::to_string(maximum_payload_bytes) + " bytes"});
    }
    if (job.steps.empty() || job.steps.size() > maximum_job_steps) {
        problems.push_back({"steps", "must have 1 to " + std::to_string(maximum_job_steps) + " steps"});
        return problems;
    }
    std::int64_t tasks = 0;
    for (std::size_t number = 0; number < job.steps.size(); ++number) {
        check_step(job, number, problems);
        tasks += job.steps[number].task_count;
    }
    if (tasks > maximum_job_tasks) {
        problems.push_back({"steps", "must have at most " + std::to_string(maximum_job_tasks) + " tasks"});
    }
    if (job.occurrences < 0 || job.occurrences > maximum_job_occurrences) {
        problems.push_back({"occurrences", "must be 0 to " + std::to_string(maximum_job_occurrences)});
    }
    if (job.is_timed() && job.interval < absl::ZeroDuration()) {
        problems.push_back({"interval_ms", "must not be negative"});
    }
    return problems;
}

std::string write_job_specification(const job_specification& job) {
    return write_json(to_json(job));
}

tl::expected<job_specification, configuration_problems> parse_job_specification(std::string_view text) {
    const auto value = parse_json(text);
    if (!value) {
        return tl::unexpected(configuration_problems{{"", value.error()}});
    }
    configuration_problems problems;
    job_specification job = read_specification(*value, "", problems);
    if (problems.empty()) {
        problems = check_job(job);
    }
    if (!problems.empty()) {
        return tl::unexpected(std::move(problems));
    }
    return job;
}

std::string write_accepted_job(const accepted_job& job) {
    Json::Value object(Json::objectValue);
    object["queue"] = job.queue.value();
    object["accepted_ms"] = Json::Int64(absl::ToUnixMillis(job.accepted_at));
    object["job"] = to_json(job.specification);
    return write_json(object);
}

tl::expected<accepted_job, configuration_problems> parse_accepted_job(std::string_view text) {
    const auto value = parse_json(text);
    if (!value) {
        return tl::unexpected(configuration_problems{{"", value.error()}});
    }
    configuration_problems problems;
    json_object_reader reader(*value, "", problems);
    accepted_job job;
    reader.require("queue");
    assign_if(job.queue, reader.text("queue"));
    job.accepted_at = absl::FromUnixMillis(reader.large_integer("accepted_ms").value_or(0));
    if (const Json::Value* const specification = reader.require("job")) {
        job.specification = read_specification(*specification, "job", problems);
    }
    if (problems.empty()) {
        problems = check_job(job.specification);
    }
    if (!problems.empty()) {
        return tl::unexpected(std::move(problems));
    }
    return job;
}

// Built as text without a JSON document for speed, since an owner writes a record for each change of each
// job.
std::string write_job_record(const job_record& record) {
    std::string text = R"({"phase":")" + std::string(to_string(record.phase)) + "\"";
    if (record.is_timed) {
        text.append(R"(,"timed":true)");
    }
    if (record.ended_at != absl::InfiniteFuture() && is_final(record.phase)) {
        absl::StrAppend(&text, R"(,"ended_ms":)", absl::ToUnixMillis(record.ended_at));
    }
    if (record.last_run_number != 0) {
        absl::StrAppend(&text, R"(,"last_run":)", record.last_run_number);
    }
    append_list(text, "steps", record.steps, append_progress);
    append_list(text, "workers", record.workers, [](std::string& out, const worker_id& worker) {
        out.append(Json::valueToQuotedString(worker.value().c_str()));
    });
    text.push_back('}');
    return text;
}

tl::expected<job_record, std::string> parse_job_record(std::string_view text) {
    const auto value = parse_json(text);
    if (!value) {
        return tl::unexpected(value.error());
    }
    try {
        const auto phase = parse_job_phase((*value)["phase"].asString());
        if (!phase) {
            return tl::unexpected(std::string("unknown phase"));
        }
        job_record record{.phase = *phase, .is_timed = (*value)["timed"].asBool()};
        record.last_run_number = (*value)["last_run"].asInt64();
        record.ended_at = value->isMember("ended_ms") ? absl::FromUnixMillis((*value)["ended_ms"].asInt64())
                                                      : absl::InfiniteFuture();
        for (const Json::Value& progress : (*value)["steps"]) {
            record.steps.push_back(read_progress(progress));
        }
        for (const Json::Value& worker : (*value)["workers"]) {
            record.workers.emplace_back(worker.asString());
        }
        if (!are_run_numbers_in_range(record)) {
            return tl::unexpected(std::string("a run number is out of range"));
        }
        return record;
    } catch (const Json::Exception& error) {
        return tl::unexpected(std::string(error.what()));
    }
}

}  // namespace masticpass
