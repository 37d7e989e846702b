// Stand-ins of the workers of one pool, and the checks of what they are ordered to do.
#pragma once

#include <condition_variable>
#include <map>
#include <set>
#include <vector>

#include "jobs.hpp"
#include "store.hpp"

namespace review {

// The workers of one pool, and the checks of what they are ordered to do.
class workers {
public:
    static constexpr int capacity_cpu = 32000;
    static constexpr int capacity_mem_mb = 65536;
    static constexpr std::int64_t hold_max_ms = 10000;
    static constexpr std::int64_t gang_ms = 3000;
    static constexpr std::int64_t checkpoint_ms = 500;
    // Time that a stop takes; the deployment allows 900 ms.
    static constexpr std::int64_t stop_ms = 300;
    static constexpr std::size_t ends_per_response = 500;

    struct end_row {
        std::int64_t n = 0;
        std::string task;
        std::int64_t run = 0;
        std::string how;
        std::string saved;
        std::string worker;
        bool lapsed_since = false;
        bool acked = false;
        std::int64_t at_ms = 0;
    };
    struct run_state {
        std::int64_t number = 0;
        std::int64_t started_ms = 0;
        // Work done before this run, from the checkpoint that the start carried.
        std::int64_t work_before_ms = 0;
        // Since when the run works; for a gang, since all members are present. -1: it waits.
        std::int64_t works_since_ms = -1;
        std::string checkpointed;
        bool is_gang = false;
        // When a stop order takes effect; -1: there was none.
        std::int64_t stops_at_ms = -1;
    };
    struct worker {
        std::string id;
        std::string machine;
        std::string rack;
        std::unique_ptr<server> http;
        bool is_up = true;
        std::int64_t born = 0;
        std::int64_t clock_offset = 0;
        std::int64_t seq = 0;
        int missed_heartbeats = 0;
        std::int64_t fence = 0;
        std::int64_t lease_end_ms = 0;  // On the worker's clock.
        std::int64_t last_end = 0;
        std::map<std::string, run_state> runs;
        std::map<std::string, std::int64_t> blocked;
        std::vector<std::shared_ptr<end_row>> ends;
        std::int64_t clock_ms() const { return now_ms() + clock_offset; }
    };

    workers(recorder& record, store& platform, std::string pool, int count)
        : record_(record), store_(platform), pool_(std::move(pool)) {
        for (int index = 0; index < count; ++index) {
            auto next = std::make_unique<worker>();
            next->id = format("%s-%d-%04x", pool_.c_str(), index, 0x3a10 + index * 37);
            next->machine = format("m-%d", index);
            next->rack = format("r1-%d", index / 4);
            next->born = unix_ms();
            next->clock_offset = 480000 + index * 1000;
            next->http = std::make_unique<server>(24);
            worker* const self = next.get();
            next->http->http.Post("/hold", [this, self](const auto& q, auto& r) { hold(*self, q, r); });
            next->http->http.Post("/run-start", [this, self](const auto& q, auto& r) { start(*self, q, r); });
            next->http->http.Post("/run-stop", [this, self](const auto& q, auto& r) { stop(*self, q, r); });
            next->http->http.Post("/pace", [this, self](const auto& q, auto& r) { pace(*self, q, r); });
            next->http->start();
            workers_.push_back(std::move(next));
        }
    }
    ~workers() {
        {
            const std::lock_guard<std::mutex> lock(mutex);
            is_closing_ = true;
            ended_.notify_all();
        }
        for (auto& next : workers_) {
            next->http->stop();
        }
    }

    void add_job(const job_plan& job) {
        const std::lock_guard<std::mutex> lock(mutex);
        jobs_[job.id] = job;
    }

    // All tasks of the job that run are done at this time, whatever their duration is.
    void end_together(const std::string& job, std::int64_t at_ms) {
        const std::lock_guard<std::mutex> lock(mutex);
        ends_at_ms_[job] = at_ms;
    }

    void heartbeat() {
        for (auto& next : workers_) {
            std::string entry;
            {
                const std::lock_guard<std::mutex> lock(mutex);
                if (!next->is_up && ++next->missed_heartbeats == 3) {
                    store_.remove("servers/" + next->id);
                }
                if (!next->is_up) {
                    continue;
                }
                ++next->seq;
                entry = format(
                    R"({"service":"%s","address":"%s","zone":"north-a","version":"v1","slots":8,"state":"ready",)"
                    R"("cold_ms":0,"seq":%lld,"born":%lld,"capacity":{"cpu":%d,"mem_mb":%d,"gpu":0},"labels":["a","%s"]})",
                    pool_.c_str(), next->http->address().c_str(), static_cast<long long>(next->seq),
                    static_cast<long long>(next->born), capacity_cpu, capacity_mem_mb, next->rack.c_str());
            }
            store_.put("servers/" + next->id, entry);
        }
    }

    void serve_machines(httplib::Server& http) {
        http.Get("/machines", [this](const httplib::Request&, httplib::Response& response) {
            const std::lock_guard<std::mutex> lock(mutex);
            Json::Value body;
            body["machines"] = Json::Value(Json::arrayValue);
            for (const auto& next : workers_) {
                Json::Value row;
                row["machine"] = next->machine;
                row["pool"] = pool_;
                row["state"] = next->is_up ? "up" : "down";
                row["zone"] = "north-a";
                row["labels"].append("a");
                row["labels"].append(next->rack);
                row["capacity"]["cpu"] = capacity_cpu;
                row["capacity"]["mem_mb"] = capacity_mem_mb;
                row["capacity"]["gpu"] = 0;
                if (next->is_up) {
                    row["id"] = next->id;
                }
                body["machines"].append(row);
            }
            respond(response, 200, body);
        });
        const auto refuse = [](const httplib::Request&, httplib::Response& response) {
            Json::Value body;
            body["reason"] = "busy";
            respond(response, 409, body);
        };
        http.Post("/machine-move", refuse);
        http.Post("/machine-upkeep", refuse);
    }

    // Lets work go on. Called every few milliseconds.
    void tick() {
        const std::lock_guard<std::mutex> lock(mutex);
        const std::int64_t now = now_ms();
        for (auto& next : workers_) {
            const bool has_lapsed = next->clock_ms() > next->lease_end_ms;
            for (auto& end : next->ends) {
                end->lapsed_since = end->lapsed_since || has_lapsed;
            }
            if (has_lapsed) {
                while (!next->runs.empty()) {
                    end_run(*next, next->runs.begin()->first, "lapsed");
                }
            }
        }
        for (auto& next : workers_) {
            std::vector<std::string> due;
            std::vector<std::string> stopped;
            for (auto& [name, run] : next->runs) {
                if (run.stops_at_ms >= 0) {
                    if (now >= run.stops_at_ms) {
                        stopped.push_back(name);
                    }
                    continue;
                }
                if (run.is_gang) {
                    continue;
                }
                const step_plan& step = step_of(name);
                const auto common_end = ends_at_ms_.find(parse_task(name).job);
                const bool is_due = common_end != ends_at_ms_.end()
                                        ? now >= common_end->second && run.started_ms < common_end->second
                                        : run.work_before_ms + now - run.works_since_ms >= step.duration_ms;
                if (is_due) {
                    due.push_back(name);
                }
            }
            for (const std::string& name : stopped) {
                end_run(*next, name, "stopped");
            }
            for (const std::string& name : due) {
                end_run(*next, name, "done");
            }
        }
        advance_gangs(now);
    }

    // The process of the worker is killed; nothing that it knew is left.
    void crash(int index) {
        const std::lock_guard<std::mutex> lock(mutex);
        worker& target = *workers_.at(static_cast<std::size_t>(index));
        target.is_up = false;
        std::vector<std::string> names;
        for (const auto& [name, run] : target.runs) {
            names.push_back(name);
        }
        record_.line("worker " + target.id + " crashes with " + std::to_string(names.size()) + " runs");
        for (const std::string& name : names) {
            note_gang_end(target, name, target.runs.at(name));
            target.runs.erase(name);
        }
        target.ends.clear();
        target.blocked.clear();
        ended_.notify_all();
    }

    // Returns the index of a worker on which a task of the job runs; -1 if there is none.
    int worker_with(const std::string& job) {
        const std::lock_guard<std::mutex> lock(mutex);
        for (std::size_t index = 0; index < workers_.size(); ++index) {
            for (const auto& [name, run] : workers_[index]->runs) {
                if (parse_task(name).job == job) {
                    return static_cast<int>(index);
                }
            }
        }
        return -1;
    }
    int running_tasks(const std::string& job) {
        const std::lock_guard<std::mutex> lock(mutex);
        int count = 0;
        for (const auto& next : workers_) {
            for (const auto& [name, run] : next->runs) {
                count += parse_task(name).job == job ? 1 : 0;
            }
        }
        return count;
    }
    int done_tasks(const std::string& job) {
        const std::lock_guard<std::mutex> lock(mutex);
        int count = 0;
        for (const auto& [name, ends] : done_) {
            count += parse_task(name).job == job ? 1 : 0;
        }
        return count;
    }
    int starts_of(const std::string& job) {
        const std::lock_guard<std::mutex> lock(mutex);
        return starts_[job];
    }

    // Starts of tasks after a run had ended `done` that was acknowledged then or later, while the worker's
    // lease had not lapsed in between, and two runs of a task at the same time.
    std::vector<std::string> twice() {
        const std::lock_guard<std::mutex> lock(mutex);
        std::vector<std::string> found = overlaps_;
        for (const auto& [name, ends] : started_after_done_) {
            for (const auto& [end, start] : ends) {
                if (end->acked && !end->lapsed_since) {
                    found.push_back(format("TWICE: %s ended done at %.3f on %s (run %lld, N %lld, acknowledged) and %s",
                                           name.c_str(), static_cast<double>(end->at_ms) / 1000, end->worker.c_str(),
                                           static_cast<long long>(end->run), static_cast<long long>(end->n),
                                           start.c_str()));
                }
            }
        }
        return found;
    }
    // For each run of a gang, the values of `checkpointed` that its starts carried.
    std::map<std::string, std::set<std::string>> gang_checkpoints() {
        const std::lock_guard<std::mutex> lock(mutex);
        return gang_checkpoints_;
    }

    // Runs of gangs that ended `alone`, with the time.
    std::vector<std::pair<std::string, std::int64_t>> alone_ends() {
        const std::lock_guard<std::mutex> lock(mutex);
        return alone_ends_;
    }

    std::mutex mutex;

private:
    const step_plan& step_of(const std::string& name) {
        const task_id task = parse_task(name);
        return jobs_.at(task.job).steps.at(static_cast<std::size_t>(task.step));
    }
    static std::string gang_key(const std::string& name, std::int64_t run) {
        const task_id task = parse_task(name);
        return format("%s.%d.%d run %lld", task.job.c_str(), task.occurrence, task.step, static_cast<long long>(run));
    }
    std::int64_t work_of(const run_state& run) const {
        return run.work_before_ms + (run.works_since_ms < 0 ? 0 : now_ms() - run.works_since_ms);
    }
    // The checkpoint names the work that is saved, and the task that saved it.
    std::string saved_of(const std::string& name, const run_state& run, bool at_stop) {
        if (!step_of(name).checkpointable) {
            return "";
        }
        const std::int64_t work = work_of(run);
        const std::int64_t saved = at_stop ? work : work / checkpoint_ms * checkpoint_ms;
        if (saved <= run.work_before_ms) {
            return run.checkpointed;
        }
        return format("%08llx%08x", static_cast<unsigned long long>(saved),
                      static_cast<unsigned>(std::hash<std::string>{}(name)));
    }
    void note_gang_end(worker&, const std::string& name, const run_state& run) {
        if (run.is_gang && run.works_since_ms >= 0) {
            broken_gangs_.insert(gang_key(name, run.number));
        }
    }
    void end_run(worker& target, const std::string& name, const std::string& how) {
        const run_state run = target.runs.at(name);
        auto end = std::make_shared<end_row>();
        end->n = ++target.last_end;
        end->task = name;
        end->run = run.number;
        end->how = how;
        end->saved = how == "done" ? "" : saved_of(name, run, how == "stopped");
        end->worker = target.id;
        end->at_ms = now_ms();
        target.ends.push_back(end);
        target.blocked[name] = std::max(target.blocked[name], run.number);
        if (how != "done") {
            note_gang_end(target, name, run);
        }
        target.runs.erase(name);
        if (how == "done") {
            done_[name].push_back(end);
        }
        record_.line(format("%s lists end %lld: %s run %lld %s %s", target.id.c_str(), static_cast<long long>(end->n),
                            name.c_str(), static_cast<long long>(run.number), how.c_str(), end->saved.c_str()));
        ended_.notify_all();
    }
    void advance_gangs(std::int64_t now) {
        struct member {
            worker* where;
            std::string name;
        };
        // Members that carry different checkpoints are not members of one run.
        std::map<std::string, std::vector<member>> gangs;
        for (auto& next : workers_) {
            for (auto& [name, run] : next->runs) {
                if (run.is_gang && run.stops_at_ms < 0) {
                    gangs[gang_key(name, run.number) + " from '" + run.checkpointed + "'"].push_back({next.get(), name});
                }
            }
        }
        for (auto& [key, members] : gangs) {
            const run_state first = members.front().where->runs.at(members.front().name);
            const step_plan& step = step_of(members.front().name);
            const bool is_broken = broken_gangs_.contains(gang_key(members.front().name, first.number));
            const bool works = first.works_since_ms >= 0;
            if (is_broken && works) {
                for (const member& next : members) {
                    end_run(*next.where, next.name, "broken");
                }
            } else if (!works && static_cast<int>(members.size()) == step.count) {
                record_.line("gang " + key + " works");
                for (const member& next : members) {
                    next.where->runs.at(next.name).works_since_ms = now;
                }
            } else if (!works) {
                for (const member& next : members) {
                    if (now - next.where->runs.at(next.name).started_ms > gang_ms) {
                        alone_ends_.emplace_back(next.name + format(" run %lld", static_cast<long long>(first.number)), now);
                        end_run(*next.where, next.name, "alone");
                    }
                }
            } else if (first.work_before_ms + now - first.works_since_ms >= step.duration_ms) {
                for (const member& next : members) {
                    end_run(*next.where, next.name, "done");
                }
            }
        }
    }

    // Returns whether the call is for this worker and its fence is not too low.
    bool admit(worker& target, const httplib::Request& request, const Json::Value& body, httplib::Response& response) {
        Json::Value answer;
        answer["clock_ms"] = Json::Int64(target.clock_ms());
        if (request.get_header_value("X-Expect-Instance") != target.id) {
            respond(response, 421, answer);
            return false;
        }
        if (body["fence"].asInt64() < target.fence) {
            answer["reason"] = "fence";
            respond(response, 409, answer);
            return false;
        }
        target.fence = body["fence"].asInt64();
        return true;
    }
    // Calls to a crashed worker get no response.
    bool lose_if_down(worker& target, httplib::Response& response) {
        if (target.is_up) {
            return false;
        }
        response.set_content_provider(10, "application/json", [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
        return true;
    }
    void extend(worker& target, const Json::Value& body) {
        if (!body.isMember("until_ms")) {
            return;
        }
        const std::int64_t until = std::min(body["until_ms"].asInt64(), target.clock_ms() + hold_max_ms);
        target.lease_end_ms = std::max(target.lease_end_ms, until);
    }
    void hold(worker& target, const httplib::Request& request, httplib::Response& response) {
        const Json::Value body = parse(request.body);
        std::unique_lock<std::mutex> lock(mutex);
        if (lose_if_down(target, response) || !admit(target, request, body, response)) {
            return;
        }
        const std::int64_t acked = body["acked_upto"].asInt64();
        for (const auto& end : target.ends) {
            end->acked = end->acked || end->n <= acked;
        }
        std::erase_if(target.ends, [](const auto& end) { return end->acked; });
        extend(target, body);
        ended_.wait_for(lock, std::chrono::milliseconds(body["wait_ms"].asInt64()),
                        [&] { return !target.ends.empty() || !target.is_up || is_closing_; });
        if (lose_if_down(target, response)) {
            return;
        }
        Json::Value answer;
        answer["clock_ms"] = Json::Int64(target.clock_ms());
        answer["born"] = Json::Int64(target.born);
        answer["running"] = Json::Value(Json::arrayValue);
        answer["finished"] = Json::Value(Json::arrayValue);
        for (const auto& [name, run] : target.runs) {
            const step_plan& step = step_of(name);
            Json::Value row;
            row.append(name);
            row.append(Json::Int64(run.number));
            row.append(saved_of(name, run, false));
            row.append(static_cast<int>(std::min<std::int64_t>(99, work_of(run) * 100 / step.duration_ms)));
            row.append(step.cpu);
            answer["running"].append(row);
        }
        for (const auto& end : target.ends) {
            if (answer["finished"].size() >= ends_per_response) {
                break;
            }
            Json::Value row;
            row.append(Json::Int64(end->n));
            row.append(end->task);
            row.append(Json::Int64(end->run));
            row.append(end->how);
            row.append(end->saved);
            answer["finished"].append(row);
        }
        respond(response, 200, answer);
    }
    void start(worker& target, const httplib::Request& request, httplib::Response& response) {
        const Json::Value body = parse(request.body);
        const std::lock_guard<std::mutex> lock(mutex);
        if (lose_if_down(target, response) || !admit(target, request, body, response)) {
            return;
        }
        const std::string name = body["task"].asString();
        const std::int64_t number = body["run"].asInt64();
        Json::Value answer;
        answer["clock_ms"] = Json::Int64(target.clock_ms());
        const auto refuse = [&](const char* reason) {
            answer["reason"] = reason;
            record_.line(format("%s refuses start %s run %lld: %s", target.id.c_str(), name.c_str(),
                                static_cast<long long>(number), reason));
            respond(response, 409, answer);
        };
        const task_id task = parse_task(name);
        if (!jobs_.contains(task.job) || jobs_.at(task.job).spec != body["spec"].asString()) {
            overlaps_.push_back("UNASKED: start of " + name);
            respond(response, 400, answer);
            return;
        }
        const auto running = target.runs.find(name);
        if (running != target.runs.end() && running->second.number == number) {
            respond(response, 200, answer);
            return;
        }
        const auto blocked = target.blocked.find(name);
        if (running != target.runs.end() || (blocked != target.blocked.end() && blocked->second >= number)) {
            extend(target, body);
            refuse("old");
            return;
        }
        if (body["until_ms"].asInt64() < target.clock_ms()) {
            refuse("late");
            return;
        }
        const step_plan& step = step_of(name);
        int cpu = step.cpu;
        int mem_mb = step.mem_mb;
        for (const auto& [other, run] : target.runs) {
            cpu += step_of(other).cpu;
            mem_mb += step_of(other).mem_mb;
        }
        extend(target, body);
        if (cpu > capacity_cpu || mem_mb > capacity_mem_mb) {
            refuse("room");
            return;
        }
        const std::string checkpointed = body["checkpointed"].asString();
        check_start(target, name, number, checkpointed, step);
        run_state run;
        run.number = number;
        run.started_ms = now_ms();
        run.is_gang = step.gang;
        run.checkpointed = checkpointed;
        run.work_before_ms = checkpointed.size() == 16 ? std::stoll(checkpointed.substr(0, 8), nullptr, 16) : 0;
        run.works_since_ms = step.gang ? -1 : now_ms();
        target.runs[name] = run;
        ++starts_[task.job];
        respond(response, 200, answer);
    }
    void check_start(worker& target, const std::string& name, std::int64_t number, const std::string& checkpointed,
                     const step_plan& step) {
        record_.line(format("%s starts %s run %lld %s", target.id.c_str(), name.c_str(), static_cast<long long>(number),
                            checkpointed.c_str()));
        for (const auto& other : workers_) {
            if (other->is_up && other->runs.contains(name)) {
                overlaps_.push_back(format("TWICE: %s starts on %s while it runs on %s", name.c_str(), target.id.c_str(),
                                           other->id.c_str()));
            }
        }
        for (const auto& end : done_[name]) {
            started_after_done_[name].emplace_back(
                end, format("run %lld started at %.3f on %s", static_cast<long long>(number),
                            static_cast<double>(now_ms()) / 1000, target.id.c_str()));
        }
        if (done_[name].empty()) {
            done_.erase(name);
        }
        if (step.gang) {
            gang_checkpoints_[gang_key(name, number)].insert(checkpointed);
        }
    }
    void stop(worker& target, const httplib::Request& request, httplib::Response& response) {
        const Json::Value body = parse(request.body);
        const std::lock_guard<std::mutex> lock(mutex);
        if (lose_if_down(target, response) || !admit(target, request, body, response)) {
            return;
        }
        const std::string name = body["task"].asString();
        const std::int64_t number = body["run"].asInt64();
        target.blocked[name] = std::max(target.blocked[name], number);
        const auto running = target.runs.find(name);
        if (running != target.runs.end() && running->second.number <= number && running->second.stops_at_ms < 0) {
            record_.line(format("%s is told to stop %s run %lld", target.id.c_str(), name.c_str(),
                                static_cast<long long>(number)));
            running->second.stops_at_ms = now_ms() + stop_ms;
        }
        Json::Value answer;
        answer["clock_ms"] = Json::Int64(target.clock_ms());
        respond(response, 200, answer);
    }
    void pace(worker& target, const httplib::Request& request, httplib::Response& response) {
        const std::lock_guard<std::mutex> lock(mutex);
        if (lose_if_down(target, response) || !admit(target, request, parse(request.body), response)) {
            return;
        }
        Json::Value answer;
        answer["clock_ms"] = Json::Int64(target.clock_ms());
        respond(response, 200, answer);
    }

    recorder& record_;
    store& store_;
    const std::string pool_;
    std::condition_variable ended_;
    bool is_closing_ = false;
    std::vector<std::unique_ptr<worker>> workers_;
    std::map<std::string, job_plan> jobs_;
    std::map<std::string, int> starts_;
    std::map<std::string, std::int64_t> ends_at_ms_;
    std::map<std::string, std::vector<std::shared_ptr<end_row>>> done_;
    std::map<std::string, std::vector<std::pair<std::shared_ptr<end_row>, std::string>>> started_after_done_;
    std::vector<std::string> overlaps_;
    std::set<std::string> broken_gangs_;
    std::map<std::string, std::set<std::string>> gang_checkpoints_;
    std::vector<std::pair<std::string, std::int64_t>> alone_ends_;
};

}  // namespace review
