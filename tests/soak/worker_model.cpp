#include "soak/worker_model.h"

#include <algorithm>
#include <chrono>

#include "decision/configuration/json_object_reader.h"
#include "decision/jobs/job_types.h"
#include "standin/http_front.h"

namespace masticpass::soak {

namespace {

constexpr std::size_t violations_kept = 10;
constexpr std::int64_t longest_hold_ms = 10000;

Json::Value body_of(const httplib::Request& request) {
    return parse_json(request.body).value_or(Json::Value(Json::objectValue));
}

}  // namespace

worker_model::worker_model(const options& configured) : random_(configured.seed) {
    for (int index = 0; index < configured.workers; ++index) {
        worker one;
        one.id = "w-" + std::to_string(index);
        start_life(one);
        workers_.push_back(std::move(one));
    }
}

void worker_model::start_life(worker& one) {
    one.started = absl::Now();
    one.born_ms = std::max(one.born_ms + 1, absl::ToUnixMillis(one.started));
    one.held_until_ms = 0;
    one.fencing_token = 0;
    one.last_end = 0;
    one.runs.clear();
    one.barred.clear();
    one.ends.clear();
}

std::vector<std::string> worker_model::ids() const {
    std::vector<std::string> ids;
    for (const worker& one : workers_) {
        ids.push_back(one.id);
    }
    return ids;
}

std::string worker_model::entry(const std::string& id, const std::string& address) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found =
        std::find_if(workers_.begin(), workers_.end(), [&](const worker& one) { return one.id == id; });
    return R"({"service":"p","address":")" + address +
           R"(","zone":"z","version":"v1","slots":8,"state":"ready","capacity":{"cpu":)" +
           std::to_string(capacity_millis) + R"(,"mem_mb":4000},"labels":["a","r1"],"seq":1,"born":)" +
           std::to_string(found->born_ms) + "}";
}

std::string worker_model::vm_list() {
    std::string rows;
    for (const worker& one : workers_) {
        rows +=
            (rows.empty() ? "" : ",") + std::string(R"({"machine":"m-)") + one.id +
            R"(","pool":"p","state":"up","zone":"z","labels":["a"],"capacity":{"cpu":4000,"mem_mb":4000},"id":")" +
            one.id + "\"}";
    }
    return R"({"machines":[)" + rows + "]}";
}

void worker_model::break_rule(const std::string& what) {
    if (violations_.size() < violations_kept) {
        violations_.push_back(what);
    }
}

void worker_model::end_run(worker& one, const std::string& task, const char* how) {
    const auto found = one.runs.find(task);
    Json::Value row(Json::arrayValue);
    row.append(Json::Int64(++one.last_end));
    row.append(task);
    row.append(Json::Int64(found->second.number));
    row.append(how);
    row.append("");
    one.ends.push_back(row);
    one.barred[task] = found->second.number;
    one.runs.erase(found);
    if (std::string_view(how) == "done") {
        done_.insert(task);
    }
    ended_.notify_all();
}

void worker_model::advance() {
    const std::lock_guard<std::mutex> lock(mutex_);
    const absl::Time now = absl::Now();
    for (worker& one : workers_) {
        std::vector<std::pair<std::string, const char*>> ended;
        for (const auto& [task, run] : one.runs) {
            if (one.clock_ms(now) > one.held_until_ms) {
                ended.emplace_back(task, "lapsed");
            } else if (run.ends <= now) {
                ended.emplace_back(task, "done");
            }
        }
        for (const auto& [task, how] : ended) {
            end_run(one, task, how);
        }
    }
}

void worker_model::silence(int index, absl::Duration duration) {
    const std::lock_guard<std::mutex> lock(mutex_);
    workers_.at(static_cast<std::size_t>(index)).silent_until = absl::Now() + duration;
}

void worker_model::restart(int index) {
    const std::lock_guard<std::mutex> lock(mutex_);
    start_life(workers_.at(static_cast<std::size_t>(index)));
}

void worker_model::record_refusal(const std::string& job) {
    const std::lock_guard<std::mutex> lock(mutex_);
    refused_.insert(job);
    if (started_jobs_.contains(job)) {
        break_rule("job " + job + " ran although every try was refused");
    }
}

std::vector<std::string> worker_model::violations() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return violations_;
}

int worker_model::starts() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return starts_;
}

void worker_model::check_start(const worker& target, const std::string& task) {
    const auto name = parse_task_name(task);
    if (!name) {
        break_rule("unreadable task " + task);
        return;
    }
    for (const worker& one : workers_) {
        if (one.runs.contains(task)) {
            break_rule(task + " starts on " + target.id + " while it runs on " + one.id);
        }
    }
    if (acknowledged_.contains(task)) {
        break_rule(task + " starts on " + target.id + " after its end was acknowledged");
    }
    for (int index = 0; name->step == 1 && index < first_step_tasks; ++index) {
        if (!done_.contains(to_string(task_name{.job = name->job, .index = index}))) {
            break_rule(task + " starts before the step that it waits for");
        }
    }
    if (refused_.contains(name->job.value())) {
        break_rule("job " + name->job.value() + " runs although every try was refused");
    }
    started_jobs_.insert(name->job.value());
}

void worker_model::answer(const worker& target, httplib::Response& response, int status,
                          const std::string& reason) {
    Json::Value body(Json::objectValue);
    body["clock_ms"] = Json::Int64(target.clock_ms(absl::Now()));
    body["born"] = Json::Int64(target.born_ms);
    if (!reason.empty()) {
        body["reason"] = reason;
    }
    standin::respond_json(response, status, body);
}

worker_model::worker* worker_model::admit(const httplib::Request& request, const Json::Value& body,
                                          httplib::Response& response) {
    const std::string id = request.get_header_value("X-Expect-Instance");
    const auto found =
        std::find_if(workers_.begin(), workers_.end(), [&](const worker& one) { return one.id == id; });
    if (found == workers_.end() || found->silent_until > absl::Now()) {
        standin::lose_response(response);
        return nullptr;
    }
    if (body["fence"].asInt64() < found->fencing_token) {
        answer(*found, response, 409, "fence");
        return nullptr;
    }
    found->fencing_token = body["fence"].asInt64();
    return &*found;
}

void worker_model::acknowledge(worker& target, std::int64_t upto) {
    std::erase_if(target.ends, [&](const Json::Value& row) {
        if (row[0U].asInt64() > upto) {
            return false;
        }
        if (row[3U].asString() == "done") {
            acknowledged_.insert(row[1U].asString());
        }
        return true;
    });
}

void worker_model::hold(const httplib::Request& request, httplib::Response& response) {
    std::unique_lock<std::mutex> lock(mutex_);
    const Json::Value body = body_of(request);
    worker* const target = admit(request, body, response);
    if (target == nullptr) {
        return;
    }
    acknowledge(*target, body["acked_upto"].asInt64());
    const std::int64_t latest = target->clock_ms(absl::Now()) + longest_hold_ms;
    target->held_until_ms = std::max(target->held_until_ms, std::min(latest, body["until_ms"].asInt64()));
    const std::int64_t life = target->born_ms;
    ended_.wait_for(lock, std::chrono::milliseconds(body["wait_ms"].asInt64()),
                    [&] { return !target->ends.empty() || target->born_ms != life; });
    if (target->silent_until > absl::Now()) {
        standin::lose_response(response);
        return;
    }
    Json::Value lists(Json::objectValue);
    lists["clock_ms"] = Json::Int64(target->clock_ms(absl::Now()));
    lists["born"] = Json::Int64(target->born_ms);
    lists["running"] = Json::Value(Json::arrayValue);
    lists["finished"] = Json::Value(Json::arrayValue);
    for (const auto& [task, run] : target->runs) {
        Json::Value row(Json::arrayValue);
        row.append(task);
        row.append(Json::Int64(run.number));
        row.append("");
        row.append(50);
        row.append(Json::Int64(run.cpu_millis));
        lists["running"].append(row);
    }
    for (const Json::Value& row : target->ends) {
        lists["finished"].append(row);
    }
    standin::respond_json(response, 200, lists);
}

void worker_model::start(const httplib::Request& request, httplib::Response& response) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const Json::Value body = body_of(request);
    worker* const target = admit(request, body, response);
    if (target == nullptr) {
        return;
    }
    const std::string task = body["task"].asString();
    const std::int64_t number = body["run"].asInt64();
    const auto present = target->runs.find(task);
    if (present != target->runs.end()) {
        answer(*target, response, present->second.number == number ? 200 : 409,
               present->second.number == number ? "" : "old");
        return;
    }
    const auto barred = target->barred.find(task);
    if (barred != target->barred.end() && barred->second >= number) {
        answer(*target, response, 409, "old");
        return;
    }
    const absl::Time now = absl::Now();
    if (body["until_ms"].asInt64() < target->clock_ms(now)) {
        answer(*target, response, 409, "late");
        return;
    }
    std::int64_t used = 0;
    for (const auto& [name, run] : target->runs) {
        used += run.cpu_millis;
    }
    if (used + task_millis > capacity_millis) {
        answer(*target, response, 409, "room");
        return;
    }
    check_start(*target, task);
    ++starts_;
    target->held_until_ms = std::max(target->held_until_ms, body["until_ms"].asInt64());
    target->runs[task] = {
        .number = number, .ends = now + absl::Milliseconds(80 + random_() % 300), .cpu_millis = task_millis};
    answer(*target, response, 200, "");
}

void worker_model::stop(const httplib::Request& request, httplib::Response& response) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const Json::Value body = body_of(request);
    worker* const target = admit(request, body, response);
    if (target == nullptr) {
        return;
    }
    const std::string task = body["task"].asString();
    std::int64_t& barred = target->barred[task];
    barred = std::max(barred, body["run"].asInt64());
    const auto present = target->runs.find(task);
    if (present != target->runs.end() && present->second.number <= body["run"].asInt64()) {
        end_run(*target, task, "stopped");
    }
    answer(*target, response, 200, "");
}

void worker_model::add_routes(httplib::Server& server) {
    server.Post("/hold", [this](const auto& request, auto& response) { hold(request, response); });
    server.Post("/run-start", [this](const auto& request, auto& response) { start(request, response); });
    server.Post("/run-stop", [this](const auto& request, auto& response) { stop(request, response); });
    server.Get("/machines", [this](const httplib::Request&, httplib::Response& response) {
        response.set_content(vm_list(), "application/json");
    });
}

}  // namespace masticpass::soak
