// Stand-ins of a small deployment on loopback: the platform's store and VM list, workers, clients, and the
// entry VMs as processes. Every stand-in does only what PROTOCOL.md describes.
#pragma once

#include <httplib.h>
#include <json/json.h>

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <netinet/in.h>
#include <arpa/inet.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

extern char** environ;

namespace review {

using steady = std::chrono::steady_clock;

inline const steady::time_point program_start = steady::now();

// Milliseconds since the start of this program.
inline std::int64_t now_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - program_start).count();
}

inline std::int64_t unix_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void sleep_ms(std::int64_t duration) {
    std::this_thread::sleep_for(std::chrono::milliseconds(duration));
}

inline std::string format(const char* text, ...) {
    char buffer[2000];
    va_list arguments;
    va_start(arguments, text);
    vsnprintf(buffer, sizeof(buffer), text, arguments);
    va_end(arguments);
    return buffer;
}

// Writes what was sent, answered and run, with the time.
class recorder {
public:
    explicit recorder(const std::string& path) : file_(path) {}
    void line(const std::string& text) {
        const std::lock_guard<std::mutex> lock(mutex_);
        file_ << format("%9.3f ", static_cast<double>(now_ms()) / 1000) << text << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
};

inline Json::Value parse(const std::string& text) {
    Json::Value value;
    Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    if (!reader->parse(text.data(), text.data() + text.size(), &value, nullptr)) {
        return Json::Value(Json::objectValue);
    }
    return value;
}

inline std::string write(const Json::Value& value) {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

inline std::string encode_base64(const std::string& bytes) {
    static constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t position = 0; position < bytes.size(); position += 3) {
        std::uint32_t group = 0;
        for (std::size_t offset = 0; offset < 3; ++offset) {
            const std::size_t index = position + offset;
            group = group << 8U | (index < bytes.size() ? static_cast<unsigned char>(bytes[index]) : 0U);
        }
        for (std::size_t digit = 0; digit < 4; ++digit) {
            const bool is_padding = position + digit > bytes.size();
            text += is_padding ? '=' : digits[group >> (18U - 6U * digit) & 63U];
        }
    }
    return text;
}

inline void respond(httplib::Response& response, int status, const Json::Value& body) {
    response.status = status;
    response.set_content(write(body), "application/json");
}

inline int free_port() {
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    socklen_t size = sizeof(address);
    ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
    ::close(socket);
    return ntohs(address.sin_port);
}

// An HTTP server on a free loopback port.
class server {
public:
    explicit server(std::size_t threads) {
        http.new_task_queue = [threads] { return new httplib::ThreadPool(threads); };
        http.set_keep_alive_max_count(1000000);
        http.set_keep_alive_timeout(30);
        http.set_tcp_nodelay(true);
    }
    ~server() { stop(); }
    void start() {
        port = http.bind_to_any_port("127.0.0.1");
        thread_ = std::thread([this] { http.listen_after_bind(); });
        while (!http.is_running()) {
            sleep_ms(1);
        }
    }
    void stop() {
        if (thread_.joinable()) {
            http.stop();
            thread_.join();
        }
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(port); }

    httplib::Server http;
    int port = 0;

private:
    std::thread thread_;
};

// The platform's metadata store. `serve` adds its calls to a server; each entry VM has a server of its own, so
// that the store knows which of them called.
class store {
public:
    static constexpr std::int64_t answer_ms = 4;
    static constexpr std::size_t value_bytes = 1048576;
    // The store may discard its history sooner than `history_s`.
    static constexpr std::int64_t history_ms = 5000;

    void put(const std::string& key, const std::string& value) {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++revision_;
        write_item(key, encode_base64(value), 0);
        changed_.notify_all();
    }
    std::string text(const std::string& key) {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto found = items_.find(key);
        return found == items_.end() ? std::string() : *found->second.value;
    }
    void expire_leases() {
        const std::lock_guard<std::mutex> lock(mutex_);
        while (!events_.empty() && events_.begin()->second.front().at_ms < now_ms() - history_ms) {
            discarded_upto_ = events_.begin()->first;
            events_.erase(events_.begin());
        }
        std::vector<std::int64_t> ended;
        for (const auto& [id, lease] : leases_) {
            if (lease.ends_ms < now_ms()) {
                ended.push_back(id);
            }
        }
        for (const std::int64_t id : ended) {
            end_lease(id);
        }
    }
    // Number of transactions that were refused because a value was larger than `value_bytes`.
    std::int64_t refused_values() {
        const std::lock_guard<std::mutex> lock(mutex_);
        return refused_values_;
    }
    std::size_t largest_value() {
        const std::lock_guard<std::mutex> lock(mutex_);
        std::size_t largest = 0;
        for (const auto& [key, entry] : items_) {
            largest = std::max(largest, entry.value->size() / 4 * 3);
        }
        return largest;
    }
    // The entry VM that last renewed a lease.
    int last_renewer() {
        const std::lock_guard<std::mutex> lock(mutex_);
        return last_renewer_;
    }

    void serve(httplib::Server& http, int entry) {
        // The store's usual time for an answer.
        http.set_pre_routing_handler([](const httplib::Request& request, httplib::Response&) {
            if (request.path.rfind("/kv-", 0) == 0) {
                sleep_ms(answer_ms);
            }
            return httplib::Server::HandlerResponse::Unhandled;
        });
        http.Get("/kv-key", [this](const httplib::Request& request, httplib::Response& response) {
            const std::lock_guard<std::mutex> lock(mutex_);
            const auto found = items_.find(request.get_param_value("key"));
            Json::Value body = found == items_.end() ? Json::Value(Json::objectValue) : to_json(found->first, found->second);
            body["as_of"] = Json::Int64(revision_);
            respond(response, found == items_.end() ? 404 : 200, body);
        });
        http.Get("/kv-range", [this](const httplib::Request& request, httplib::Response& response) {
            const std::string prefix = request.get_param_value("prefix");
            const std::string after = request.get_param_value("after");
            const std::lock_guard<std::mutex> lock(mutex_);
            Json::Value body;
            body["items"] = Json::Value(Json::arrayValue);
            body["truncated"] = false;
            auto next = after.empty() ? items_.lower_bound(prefix) : items_.upper_bound(after);
            for (; next != items_.end() && next->first.compare(0, prefix.size(), prefix) == 0; ++next) {
                if (body["items"].size() >= 500) {
                    body["truncated"] = true;
                    break;
                }
                body["items"].append(to_json(next->first, next->second));
            }
            body["as_of"] = Json::Int64(revision_);
            respond(response, 200, body);
        });
        http.Get("/kv-watch", [this](const httplib::Request& request, httplib::Response& response) {
            const std::string prefix = request.get_param_value("prefix");
            const std::int64_t after = std::stoll(request.get_param_value("after"));
            const auto wait = std::chrono::milliseconds(std::stoll(request.get_param_value("wait_ms")));
            std::unique_lock<std::mutex> lock(mutex_);
            if (after < discarded_upto_) {
                respond(response, 410, Json::Value(Json::objectValue));
                return;
            }
            Json::Value body;
            changed_.wait_for(lock, wait, [&] {
                body["events"] = Json::Value(Json::arrayValue);
                for (auto changes = events_.upper_bound(after); changes != events_.end(); ++changes) {
                    for (const event& change : changes->second) {
                        if (change.key.compare(0, prefix.size(), prefix) == 0) {
                            body["events"].append(to_json(change, changes->first));
                        }
                    }
                }
                return !body["events"].empty();
            });
            body["as_of"] = Json::Int64(revision_);
            respond(response, 200, body);
        });
        http.Post("/kv-txn", [this](const httplib::Request& request, httplib::Response& response) {
            const Json::Value body = parse(request.body);
            const std::lock_guard<std::mutex> lock(mutex_);
            transact(body, response);
        });
        http.Post("/kv-lease", [this](const httplib::Request& request, httplib::Response& response) {
            const std::int64_t ttl = std::max<std::int64_t>(1000, parse(request.body)["ttl_ms"].asInt64());
            const std::lock_guard<std::mutex> lock(mutex_);
            leases_[++last_lease_] = {ttl, now_ms() + ttl};
            Json::Value body;
            body["lease"] = Json::Int64(last_lease_);
            body["ttl_ms"] = Json::Int64(ttl);
            respond(response, 200, body);
        });
        http.Post(R"(/kv-keep/(\d+))", [this, entry](const httplib::Request& request, httplib::Response& response) {
            const std::lock_guard<std::mutex> lock(mutex_);
            const auto found = leases_.find(std::stoll(request.matches[1]));
            if (found == leases_.end()) {
                respond(response, 404, Json::Value(Json::objectValue));
                return;
            }
            found->second.ends_ms = now_ms() + found->second.ttl_ms;
            last_renewer_ = entry;
            respond(response, 200, Json::Value(Json::objectValue));
        });
        http.Delete(R"(/kv-lease-end/(\d+))", [this](const httplib::Request& request, httplib::Response& response) {
            const std::lock_guard<std::mutex> lock(mutex_);
            const std::int64_t id = std::stoll(request.matches[1]);
            const bool exists = leases_.contains(id);
            if (exists) {
                end_lease(id);
            }
            respond(response, exists ? 200 : 404, Json::Value(Json::objectValue));
        });
    }

private:
    struct item {
        std::shared_ptr<const std::string> value;
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };
    // A change of a key; without an item it is the removal of the key.
    struct event {
        std::string key;
        std::optional<item> written;
        std::int64_t at_ms = 0;
    };
    struct lease_state {
        std::int64_t ttl_ms = 0;
        std::int64_t ends_ms = 0;
    };

    static Json::Value to_json(const std::string& key, const item& entry) {
        Json::Value row;
        row["key"] = key;
        row["value"] = *entry.value;
        row["revision"] = Json::Int64(entry.revision);
        row["created"] = Json::Int64(entry.created);
        row["lease"] = Json::Int64(entry.lease);
        return row;
    }
    static Json::Value to_json(const event& change, std::int64_t revision) {
        if (change.written) {
            return to_json(change.key, *change.written);
        }
        Json::Value row;
        row["key"] = change.key;
        row["revision"] = Json::Int64(revision);
        row["deleted"] = true;
        return row;
    }
    void write_item(const std::string& key, const std::string& value, std::int64_t lease) {
        item& entry = items_[key];
        entry.created = entry.created == 0 ? revision_ : entry.created;
        entry.value = std::make_shared<const std::string>(value);
        entry.revision = revision_;
        entry.lease = lease;
        events_[revision_].push_back({key, entry, now_ms()});
    }
    void remove_item(const std::string& key) {
        if (items_.erase(key) > 0) {
            events_[revision_].push_back({key, std::nullopt, now_ms()});
        }
    }
    void end_lease(std::int64_t id) {
        leases_.erase(id);
        ++revision_;
        std::vector<std::string> keys;
        for (const auto& [key, entry] : items_) {
            if (entry.lease == id) {
                keys.push_back(key);
            }
        }
        for (const std::string& key : keys) {
            remove_item(key);
        }
        changed_.notify_all();
    }
    void transact(const Json::Value& body, httplib::Response& response) {
        Json::Value conflict;
        conflict["items"] = Json::Value(Json::arrayValue);
        bool holds = true;
        for (const Json::Value& row : body["expect"]) {
            const auto found = items_.find(row["key"].asString());
            holds = holds && (found == items_.end() ? 0 : found->second.revision) == row["revision"].asInt64();
            if (found != items_.end()) {
                conflict["items"].append(to_json(found->first, found->second));
            }
        }
        if (!holds) {
            respond(response, 412, conflict);
            return;
        }
        for (const Json::Value& row : body["writes"]) {
            if (row["value"].asString().size() / 4 * 3 > value_bytes) {
                ++refused_values_;
                respond(response, 413, Json::Value(Json::objectValue));
                return;
            }
        }
        for (const Json::Value& row : body["writes"]) {
            if (row["lease"].asInt64() != 0 && !leases_.contains(row["lease"].asInt64())) {
                respond(response, 404, Json::Value(Json::objectValue));
                return;
            }
        }
        ++revision_;
        for (const Json::Value& row : body["writes"]) {
            write_item(row["key"].asString(), row["value"].asString(), row["lease"].asInt64());
        }
        for (const Json::Value& key : body["remove"]) {
            remove_item(key.asString());
        }
        changed_.notify_all();
        Json::Value success;
        success["revision"] = Json::Int64(revision_);
        respond(response, 200, success);
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::int64_t revision_ = 1;
    std::int64_t last_lease_ = 0;
    int last_renewer_ = -1;
    std::map<std::string, item> items_;
    std::map<std::int64_t, std::vector<event>> events_;
    std::int64_t discarded_upto_ = 0;
    std::int64_t refused_values_ = 0;
    std::map<std::int64_t, lease_state> leases_;
};

// What a client submits, with the true duration of the tasks.
struct step_plan {
    int count = 1;
    int cpu = 1000;
    int mem_mb = 100;
    int duration_ms = 1000;
    bool gang = false;
    bool checkpointable = false;
    std::vector<int> after = {};
};

struct job_plan {
    std::string id;
    std::vector<step_plan> steps;
    int times = 0;
    std::int64_t first_ms = 0;
    std::int64_t interval_ms = 0;
    std::string spec = "work";

    std::string body() const {
        Json::Value json;
        json["spec"] = spec;
        for (const step_plan& step : steps) {
            Json::Value row;
            row["count"] = step.count;
            row["cpu"] = step.cpu;
            row["mem_mb"] = step.mem_mb;
            row["estimate_ms"] = step.duration_ms;
            for (const int earlier : step.after) {
                row["after"].append(earlier);
            }
            if (step.gang) {
                row["gang"] = true;
            }
            if (step.checkpointable) {
                row["checkpointable"] = true;
            }
            json["steps"].append(row);
        }
        if (times > 0) {
            json["times"] = times;
            json["first_ms"] = Json::Int64(first_ms);
            json["interval_ms"] = Json::Int64(interval_ms);
        }
        return write(json);
    }
};

struct task_id {
    std::string job;
    int occurrence = 0;
    int step = 0;
    int index = 0;
};

inline task_id parse_task(const std::string& name) {
    char job[64] = {};
    task_id task;
    sscanf(name.c_str(), "%63[^.].%d.%d.%d", job, &task.occurrence, &task.step, &task.index);
    task.job = job;
    return task;
}

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

// The processes that this program has started. They end with it, also if it is asked to stop.
inline std::atomic<pid_t> children[16];

inline void end_children(int) {
    for (const auto& child : children) {
        if (child > 0) {
            ::kill(child, SIGKILL);
        }
    }
    ::_exit(2);
}

// An entry VM: a process of the product, its settings file, and its own server of the store and the VM list.
struct entry_vm {
    std::string name;
    std::string folder;
    std::string settings;
    std::string front;
    std::string ready;
    std::unique_ptr<server> platform;
    std::size_t index = 0;
    pid_t pid = -1;

    void start() {
        const std::string variable = "MASTICPASS_NODE_FILE=" + settings;
        const std::string log = folder + "/" + name + ".log";
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&actions, 1, 2);
        std::vector<std::string> words = {"target/masticpass", "platform-entry"};
        std::vector<char*> arguments;
        for (std::string& word : words) {
            arguments.push_back(word.data());
        }
        arguments.push_back(nullptr);
        std::vector<std::string> variables = {variable, "PATH=/usr/bin:/bin", "HOME=/tmp", "LANG=C"};
        std::vector<char*> environment;
        for (std::string& next : variables) {
            environment.push_back(next.data());
        }
        environment.push_back(nullptr);
        if (posix_spawn(&pid, "target/masticpass", &actions, nullptr, arguments.data(), environment.data()) != 0) {
            pid = -1;
        }
        posix_spawn_file_actions_destroy(&actions);
        children[index] = pid;
    }
    void signal(int number) const {
        if (pid > 0) {
            ::kill(pid, number);
        }
    }
    void wait() {
        if (pid > 0) {
            ::waitpid(pid, nullptr, 0);
            children[index] = -1;
            pid = -1;
        }
    }
};

struct reply {
    int status = 0;
    std::string body;
};

// The whole deployment. The constructor starts all stand-ins and processes.
class deployment {
public:
    static constexpr int entry_count = 4;

    deployment(const std::string& record_path, int worker_count)
        : record(record_path), pool(record, platform, "proofs", worker_count) {
        ::signal(SIGTERM, end_children);
        ::signal(SIGINT, end_children);
        ::signal(SIGSEGV, end_children);
        ::signal(SIGABRT, end_children);
        ::signal(SIGPIPE, SIG_IGN);
        char name[] = "/tmp/masticpass-review-XXXXXX";
        folder_ = ::mkdtemp(name);
        for (int index = 0; index < entry_count; ++index) {
            auto next = std::make_unique<entry_vm>();
            next->index = static_cast<std::size_t>(index);
            next->name = format("edge-north-%c-%d", 'a' + index % 3, index / 3 + 1);
            next->folder = folder_;
            next->platform = std::make_unique<server>(96);
            platform.serve(next->platform->http, index);
            pool.serve_machines(next->platform->http);
            next->platform->start();
            next->front = "127.0.0.1:" + std::to_string(free_port());
            next->ready = "127.0.0.1:" + std::to_string(free_port());
            next->settings = folder_ + "/" + next->name + ".conf";
            write_settings(*next, index);
            entries.push_back(std::move(next));
        }
        clock_ = std::thread([this] { run_clock(); });
    }
    ~deployment() {
        for (auto& next : entries) {
            next->signal(SIGCONT);
            next->signal(SIGKILL);
        }
        for (auto& next : entries) {
            next->wait();
        }
        is_closing_ = true;
        clock_.join();
        if (getenv("KEEP") == nullptr) {
            std::filesystem::remove_all(folder_);
        }
    }

    void configure(const std::string& text) {
        platform.put("op/config", text);
        record.line("operator writes " + text);
    }
    void start_entries() {
        for (auto& next : entries) {
            next->start();
            record.line("process " + next->name + " starts, pid " + std::to_string(next->pid));
        }
    }
    // Waits until every entry VM reports that it is ready. Returns false after 15 seconds.
    bool wait_until_ready() {
        const std::int64_t end = now_ms() + 15000;
        while (now_ms() < end) {
            int ready = 0;
            for (auto& next : entries) {
                httplib::Client client("http://" + next->ready);
                client.set_connection_timeout(std::chrono::seconds(1));
                const auto response = client.Get("/readiness");
                ready += response && response->status == 200 ? 1 : 0;
            }
            if (ready == entry_count && platform.last_renewer() >= 0) {
                return true;
            }
            sleep_ms(100);
        }
        return false;
    }
    // The entry VM that leads: the one that last renewed a lease at the store.
    int leader() { return platform.last_renewer(); }

    // Kills the process of an entry VM; it is started again after a short delay.
    void kill_entry(int index) {
        entry_vm& target = *entries.at(static_cast<std::size_t>(index));
        record.line("process " + target.name + " is killed, pid " + std::to_string(target.pid));
        target.signal(SIGKILL);
        target.wait();
        sleep_ms(300);
        target.start();
        record.line("process " + target.name + " starts again, pid " + std::to_string(target.pid));
    }

    // Stops the process of an entry VM with SIGTERM, and with SIGKILL after `grace_s`, and starts it again.
    void restart_entry(int index) {
        entry_vm& target = *entries.at(static_cast<std::size_t>(index));
        record.line("process " + target.name + " gets SIGTERM, pid " + std::to_string(target.pid));
        target.signal(SIGTERM);
        const std::int64_t end = now_ms() + 6000;
        while (now_ms() < end && ::waitpid(target.pid, nullptr, WNOHANG) == 0) {
            sleep_ms(50);
        }
        if (now_ms() >= end) {
            record.line("process " + target.name + " gets SIGKILL");
            target.signal(SIGKILL);
            target.wait();
        }
        target.start();
        record.line("process " + target.name + " starts again, pid " + std::to_string(target.pid));
    }

    reply call(int entry, const char* method, const std::string& path, const std::string& body = "") {
        httplib::Client client("http://" + entries.at(static_cast<std::size_t>(entry))->front);
        client.set_connection_timeout(std::chrono::seconds(1));
        client.set_read_timeout(std::chrono::seconds(4));
        httplib::Request request;
        request.method = method;
        request.path = path;
        request.body = body;
        request.headers = {{"Host", host}, {"X-Timeout-Ms", "3000"}};
        if (!body.empty()) {
            request.headers.emplace("Content-Type", "application/json");
        }
        const auto response = client.send(request);
        reply result;
        if (response) {
            result = {response->status, response->body};
        }
        record.line(format("client: %s %s at %s -> %d %s", method, path.c_str(),
                           entries.at(static_cast<std::size_t>(entry))->name.c_str(), result.status, result.body.c_str()));
        return result;
    }
    // Submits the job, through other entry VMs after no response, and returns whether it was accepted.
    bool submit(const job_plan& job, const std::string& prefix) {
        pool.add_job(job);
        for (int attempt = 0; attempt < 4; ++attempt) {
            const reply answer = call(attempt % entry_count, "POST", prefix + job.id, job.body());
            if (answer.status == 200) {
                return true;
            }
            sleep_ms(200);
        }
        return false;
    }

    static constexpr const char* host = "pule25.example";
    recorder record;
    store platform;
    workers pool;
    std::vector<std::unique_ptr<entry_vm>> entries;

private:
    void write_settings(const entry_vm& entry, int index) {
        std::ofstream(entry.settings)
            << "node=" << entry.name << "\nrole=entry\nclass=edge\nserves=edge\nip=127.0.0.1\n"
            << "zone=north-" << static_cast<char>('a' + index % 3) << "\nregion=north\n"
            << "zones.north-a=north\nzones.north-b=north\nzones.north-c=north\n"
            << "listen.front=" << entry.front << "\nlisten.ready=" << entry.ready << "\nport_range=7060,7075\n"
            << "bootstrap=false\nin_tolerance=false\nlimits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=260\n"
            << "limits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\nentry=vip\n"
            << "heartbeat_ms=1500\ncontracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing\n"
            << "tolerate.machines=2\ntolerate.zones=1\ntolerate.regions=0\nbounds.seed_lag_s=3\n"
            << "bounds.reuse_after_s=2\nbounds.contact_ms=3000\nbounds.ack_ms=4000\nbounds.catch_up_s=4\n"
            << "bounds.drain_ms=2000\nbounds.grace_s=6\nbounds.loss_slack_ms=200\nbounds.config_ms=2000\n"
            << "bounds.rollback_slack_ms=250\nbounds.max_stretch_ms=5000\nbounds.recovery_s=12\n"
            << "bounds.hold_max_ms=10000\nbounds.stop_ms=900\nbounds.gang_ms=3000\nbounds.cancel_ms=3000\n"
            << "bounds.visible_ms=3000\nbounds.early_ms=250\nbounds.finish_s=14\nbounds.status_s=120\n"
            << "bounds.far_x=3\nbounds.checkpoint_s=0.5\nbounds.restore_ms=100\nbounds.notice_ms=4500\n"
            << "bounds.move_s=1.5\nbounds.upkeep_s=2\nbounds.require_fencing=false\nbounds.lease_ms=3000\n"
            << "bounds.thaw_ms=300\nbounds.pace_ms=100\nbounds.harm_ms=4000\norders=invocation\nadvice=\n"
            << "platform.address=" << entry.platform->address() << "\nplatform.form=kv\nplatform.writes_per_s=400\n"
            << "platform.reads_per_s=2000\nplatform.history_s=20\nplatform.value_bytes=1048576\n"
            << "platform.ttl_min_ms=1000\ncloud.address=" << entry.platform->address() << "\ncloud.rate_per_s=64.0\n"
            << "cloud.duties=\ncloud.duty_per_s=64.0\n";
    }
    void run_clock() {
        std::int64_t next_heartbeat = 0;
        while (!is_closing_) {
            sleep_ms(5);
            pool.tick();
            platform.expire_leases();
            if (now_ms() >= next_heartbeat) {
                pool.heartbeat();
                next_heartbeat = now_ms() + 1500;
            }
        }
    }

    std::string folder_;
    std::atomic<bool> is_closing_ = false;
    std::thread clock_;
};

inline bool has_trouble() {
    const char* const value = getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

// Records the broken rules and returns the exit status.
inline int verdict(deployment& fleet, const std::vector<std::string>& broken) {
    for (const std::string& line : broken) {
        fleet.record.line("BROKEN " + line);
    }
    fleet.record.line(broken.empty() ? "the rule held" : format("the rule was broken %zu times", broken.size()));
    printf("%s\n", broken.empty() ? "held" : ("broken: " + broken.front()).c_str());
    return broken.empty() ? 0 : 1;
}

inline int cannot_run(deployment& fleet, const std::string& reason) {
    fleet.record.line("the case could not run: " + reason);
    printf("could not run: %s\n", reason.c_str());
    return 2;
}

}  // namespace review
