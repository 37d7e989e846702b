#include "soak/worker_model.h"

#include <algorithm>
#include <chrono>

#include "decision/configuration/json_object_reader.h"
#include "decision/jobs/job_types.h"
#include "standin/background_http_server.h"

namespace masticpass::soak {

namespace {

constexpr std::size_t maximum_violations = 10;
constexpr std::int64_t maximum_lease_ms = 10000;

Json::Value parse_body(const httplib::Request& request) {
    return parse_json(request.body).value_or(Json::Value(Json::objectValue));
}

}  // namespace

worker_model::worker_model(const options& configured) : random_(configured.seed) {
    for (int index = 0; index < configured.workers; ++index) {
        simulated_worker worker;
        worker.id = "w-" + std::to_string(index);
        start_incarnation(worker);
        workers_.push_back(std::move(worker));
    }
}

void worker_model::start_incarnation(simulated_worker& worker) {
    worker.started_at = absl::Now();
    worker.started_ms = std::max(worker.started_ms + 1, absl::ToUnixMillis(worker.started_at));
    worker.lease_end_ms = 0;
    worker.fencing_token = 0;
    worker.last_end = 0;
    worker.runs.clear();
    worker.highest_blocked_run.clear();
    worker.ends.clear();
}

std::vector<std::string> worker_model::worker_ids() const {
    std::vector<std::string> ids;
    for (const simulated_worker& worker : workers_) {
        ids.push_back(worker.id);
    }
    return ids;
}

std::string worker_model::worker_entry_json(const std::string& id, const std::string& address) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = std::find_if(workers_.begin(), workers_.end(),
                                    [&](const simulated_worker& worker) { return worker.id == id; });
    return R"({"service":"p","address":")" + address +
           R"(","zone":"z","version":"v1","slots":8,"state":"ready","capacity":{"cpu":)" +
           std::to_string(capacity_cpu_millis) + R"(,"mem_mb":4000},"labels":["a","r1"],"seq":1,"born":)" +
           std::to_string(found->started_ms) + "}";
}

std::string worker_model::vm_list() {
    std::string rows;
    for (const simulated_worker& worker : workers_) {
        rows +=
            (rows.empty() ? "" : ",") + std::string(R"({"machine":"m-)") + worker.id +
            R"(","pool":"p","state":"up","zone":"z","labels":["a"],"capacity":{"cpu":4000,"mem_mb":4000},"id":")" +
            worker.id + "\"}";
    }
    return R"({"machines":[)" + rows + "]}";
}

void worker_model::report_violation(const std::string& description) {
    if (violations_.size() < maximum_violations) {
        violations_.push_back(description);
    }
}

void worker_model::end_run(simulated_worker& worker, const std::string& task, const char* outcome) {
    const auto found = worker.runs.find(task);
    Json::Value row(Json::arrayValue);
    row.append(Json::Int64(++worker.last_end));
    row.append(task);
    row.append(Json::Int64(found->second.number));
    row.append(outcome);
    row.append("");
    worker.ends.push_back(row);
    worker.highest_blocked_run[task] = found->second.number;
    worker.runs.erase(found);
    if (std::string_view(outcome) == "done") {
        completed_tasks_.insert(task);
    }
    run_ended_.notify_all();
}

void worker_model::end_due_runs() {
    const std::lock_guard<std::mutex> lock(mutex_);
    const absl::Time now = absl::Now();
    for (simulated_worker& worker : workers_) {
        std::vector<std::pair<std::string, const char*>> ended;
        for (const auto& [task, run] : worker.runs) {
            if (worker.clock_ms(now) > worker.lease_end_ms) {
                ended.emplace_back(task, "lapsed");
            } else if (run.ends_at <= now) {
                ended.emplace_back(task, "done");
            }
        }
        for (const auto& [task, outcome] : ended) {
            end_run(worker, task, outcome);
        }
    }
}

void worker_model::silence(int index, absl::Duration duration) {
    const std::lock_guard<std::mutex> lock(mutex_);
    workers_.at(static_cast<std::size_t>(index)).silent_until = absl::Now() + duration;
}

void worker_model::restart(int index) {
    const std::lock_guard<std::mutex> lock(mutex_);
    start_incarnation(workers_.at(static_cast<std::size_t>(index)));
}

void worker_model::record_refusal(const std::string& job) {
    const std::lock_guard<std::mutex> lock(mutex_);
    refused_jobs_.insert(job);
    if (started_jobs_.contains(job)) {
        report_violation("job " + job + " ran although every submission was refused");
    }
}

std::vector<std::string> worker_model::violations() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return violations_;
}

int worker_model::start_count() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return start_count_;
}

void worker_model::check_start(const simulated_worker& target, const std::string& task) {
    const auto name = parse_task_name(task);
    if (!name) {
        report_violation("unreadable task name " + task);
        return;
    }
    for (const simulated_worker& worker : workers_) {
        if (worker.runs.contains(task)) {
            report_violation(task + " starts on " + target.id + " while it runs on " + worker.id);
        }
    }
    if (acknowledged_tasks_.contains(task)) {
        report_violation(task + " starts on " + target.id + " after its completion was acknowledged");
    }
    for (int index = 0; name->step == 1 && index < first_step_task_count; ++index) {
        if (!completed_tasks_.contains(to_string(task_name{.job = name->job, .index = index}))) {
            report_violation(task + " starts before the end of the step that it depends on");
        }
    }
    if (refused_jobs_.contains(name->job.value())) {
        report_violation("job " + name->job.value() + " runs although every submission was refused");
    }
    started_jobs_.insert(name->job.value());
}

void worker_model::respond(const simulated_worker& target, httplib::Response& response, int status,
                           const std::string& reason) {
    Json::Value body(Json::objectValue);
    body["clock_ms"] = Json::Int64(target.clock_ms(absl::Now()));
    body["born"] = Json::Int64(target.started_ms);
    if (!reason.empty()) {
        body["reason"] = reason;
    }
    standin::respond_json(response, status, body);
}

worker_model::simulated_worker* worker_model::admit(const httplib::Request& request, const Json::Value& body,
                                                    httplib::Response& response) {
    const std::string id = request.get_header_value("X-Expect-Instance");
    const auto found = std::find_if(workers_.begin(), workers_.end(),
                                    [&](const simulated_worker& worker) { return worker.id == id; });
    if (found == workers_.end() || found->silent_until > absl::Now()) {
        standin::lose_response(response);
        return nullptr;
    }
    if (body["fence"].asInt64() < found->fencing_token) {
        respond(*found, response, 409, "fence");
        return nullptr;
    }
    found->fencing_token = body["fence"].asInt64();
    return &*found;
}

void worker_model::acknowledge(simulated_worker& target, std::int64_t last_acknowledged_end) {
    std::erase_if(target.ends, [&](const Json::Value& row) {
        if (row[0U].asInt64() > last_acknowledged_end) {
            return false;
        }
        if (row[3U].asString() == "done") {
            acknowledged_tasks_.insert(row[1U].asString());
        }
        return true;
    });
}

void worker_model::poll(const httplib::Request& request, httplib::Response& response) {
    std::unique_lock<std::mutex> lock(mutex_);
    const Json::Value body = parse_body(request);
    simulated_worker* const target = admit(request, body, response);
    if (target == nullptr) {
        return;
    }
    acknowledge(*target, body["acked_upto"].asInt64());
    const std::int64_t latest_end_ms = target->clock_ms(absl::Now()) + maximum_lease_ms;
    target->lease_end_ms =
        std::max(target->lease_end_ms, std::min(latest_end_ms, body["until_ms"].asInt64()));
    const std::int64_t incarnation = target->started_ms;
    run_ended_.wait_for(lock, std::chrono::milliseconds(body["wait_ms"].asInt64()),
                        [&] { return !target->ends.empty() || target->started_ms != incarnation; });
    if (target->silent_until > absl::Now()) {
        standin::lose_response(response);
        return;
    }
    Json::Value report(Json::objectValue);
    report["clock_ms"] = Json::Int64(target->clock_ms(absl::Now()));
    report["born"] = Json::Int64(target->started_ms);
    report["running"] = Json::Value(Json::arrayValue);
    report["finished"] = Json::Value(Json::arrayValue);
    for (const auto& [task, run] : target->runs) {
        Json::Value row(Json::arrayValue);
        row.append(task);
        row.append(Json::Int64(run.number));
        row.append("");
        row.append(50);
        row.append(Json::Int64(run.cpu_millis));
        report["running"].append(row);
    }
    for (const Json::Value& row : target->ends) {
        report["finished"].append(row);
    }
    standin::respond_json(response, 200, report);
}

void worker_model::start(const httplib::Request& request, httplib::Response& response) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const Json::Value body = parse_body(request);
    simulated_worker* const target = admit(request, body, response);
    if (target == nullptr) {
        return;
    }
    const std::string task = body["task"].asString();
    const std::int64_t number = body["run"].asInt64();
    const auto running = target->runs.find(task);
    if (running != target->runs.end()) {
        respond(*target, response, running->second.number == number ? 200 : 409,
                running->second.number == number ? "" : "old");
        return;
    }
    const auto highest_blocked_run = target->highest_blocked_run.find(task);
    if (highest_blocked_run != target->highest_blocked_run.end() && highest_blocked_run->second >= number) {
        respond(*target, response, 409, "old");
        return;
    }
    const absl::Time now = absl::Now();
    if (body["until_ms"].asInt64() < target->clock_ms(now)) {
        respond(*target, response, 409, "late");
        return;
    }
    std::int64_t used = 0;
    for (const auto& [name, run] : target->runs) {
        used += run.cpu_millis;
    }
    if (used + task_cpu_millis > capacity_cpu_millis) {
        respond(*target, response, 409, "room");
        return;
    }
    check_start(*target, task);
    ++start_count_;
    target->lease_end_ms = std::max(target->lease_end_ms, body["until_ms"].asInt64());
    target->runs[task] = {.number = number,
                          .ends_at = now + absl::Milliseconds(80 + random_() % 300),
                          .cpu_millis = task_cpu_millis};
    respond(*target, response, 200, "");
}

void worker_model::stop(const httplib::Request& request, httplib::Response& response) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const Json::Value body = parse_body(request);
    simulated_worker* const target = admit(request, body, response);
    if (target == nullptr) {
        return;
    }
    const std::string task = body["task"].asString();
    std::int64_t& highest_blocked_run = target->highest_blocked_run[task];
    highest_blocked_run = std::max(highest_blocked_run, body["run"].asInt64());
    const auto running = target->runs.find(task);
    if (running != target->runs.end() && running->second.number <= body["run"].asInt64()) {
        end_run(*target, task, "stopped");
    }
    respond(*target, response, 200, "");
}

void worker_model::add_routes(httplib::Server& server) {
    server.Post("/hold", [this](const auto& request, auto& response) { poll(request, response); });
    server.Post("/run-start", [this](const auto& request, auto& response) { start(request, response); });
    server.Post("/run-stop", [this](const auto& request, auto& response) { stop(request, response); });
    server.Get("/machines", [this](const httplib::Request&, httplib::Response& response) {
        response.set_content(vm_list(), "application/json");
    });
}

}  // namespace masticpass::soak
