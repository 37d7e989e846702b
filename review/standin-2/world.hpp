// Stand-ins for the users' platform on loopback: the metadata store, the list of machines, minions and clients,
// and the start of entry VMs as processes. They behave as the platform's pages say, except for the disruption
// that a case switches on. All addresses are loopback addresses on free ports.
#ifndef REVIEW_STANDIN_2_WORLD_HPP
#define REVIEW_STANDIN_2_WORLD_HPP

#include <arpa/inet.h>
#include <fcntl.h>
#include <httplib.h>
#include <json/json.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace standin2 {

using steady = std::chrono::steady_clock;

inline std::int64_t steady_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now().time_since_epoch()).count();
}
inline std::int64_t unix_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}
inline void sleep_ms(std::int64_t duration) {
    std::this_thread::sleep_for(std::chrono::milliseconds(duration));
}

inline std::string write_json(const Json::Value& value) {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}
inline Json::Value parse_json(const std::string& text) {
    Json::Value value;
    std::string errors;
    std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    if (!reader->parse(text.data(), text.data() + text.size(), &value, &errors)) {
        return Json::Value(Json::objectValue);
    }
    return value;
}
inline void respond(httplib::Response& response, int status, const Json::Value& body) {
    response.status = status;
    response.set_content(write_json(body), "application/json");
}
inline Json::Value empty_object() {
    return Json::Value(Json::objectValue);
}

inline std::string encode_base64(const std::string& in) {
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < in.size(); i += 3) {
        std::uint32_t word = static_cast<unsigned char>(in[i]) << 16U;
        word |= i + 1 < in.size() ? static_cast<unsigned char>(in[i + 1]) << 8U : 0U;
        word |= i + 2 < in.size() ? static_cast<unsigned char>(in[i + 2]) : 0U;
        out += digits[word >> 18U & 63U];
        out += digits[word >> 12U & 63U];
        out += i + 1 < in.size() ? digits[word >> 6U & 63U] : '=';
        out += i + 2 < in.size() ? digits[word & 63U] : '=';
    }
    return out;
}
inline std::string decode_base64(const std::string& in) {
    static const std::string digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    std::uint32_t word = 0;
    int bits = 0;
    for (const char character : in) {
        const std::size_t digit = digits.find(character);
        if (digit == std::string::npos) {
            break;
        }
        word = word << 6U | static_cast<std::uint32_t>(digit);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            out += static_cast<char>(word >> static_cast<unsigned>(bits) & 255U);
        }
    }
    return out;
}
// Number of bytes that a standard base64 text with padding stands for.
inline std::size_t decoded_size(const std::string& text) {
    std::size_t size = text.size() / 4 * 3;
    for (std::size_t i = text.size(); i > 0 && text[i - 1] == '='; --i) {
        --size;
    }
    return size;
}

// record.txt: what was sent, answered and run, each line with the milliseconds since the start.
class record_file {
public:
    explicit record_file(const std::string& path) : file_(std::fopen(path.c_str(), "w")), start_(steady_ms()) {
        if (file_ == nullptr) {
            std::exit(2);
        }
    }
    ~record_file() { std::fclose(file_); }
    void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
        const std::lock_guard<std::mutex> lock(mutex_);
        std::fprintf(file_, "%8lld ", static_cast<long long>(steady_ms() - start_));
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(file_, format, arguments);
        va_end(arguments);
        std::fputc('\n', file_);
        std::fflush(file_);
    }

private:
    std::mutex mutex_;
    std::FILE* file_;
    std::int64_t start_;
};

// An HTTP server on a free loopback port.
class http_endpoint {
public:
    explicit http_endpoint(std::size_t threads) {
        server.new_task_queue = [threads] { return new httplib::ThreadPool(threads); };
        server.set_keep_alive_max_count(1000000);
        server.set_keep_alive_timeout(60);
        server.set_tcp_nodelay(true);
        port = server.bind_to_any_port("127.0.0.1");
    }
    void start() {
        thread_ = std::thread([this] { server.listen_after_bind(); });
    }
    ~http_endpoint() {
        server.stop();
        if (thread_.joinable()) {
            thread_.join();
        }
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(port); }

    httplib::Server server;
    int port = 0;

private:
    std::thread thread_;
};

// The platform's metadata store, after PROTOCOL.md. One lock makes all responses linearizable.
class store_standin {
public:
    explicit store_standin(record_file& record) : record_(record), endpoint_(256) {
        add_routes();
        endpoint_.start();
        expiry_ = std::thread([this] {
            while (!is_stopping) {
                expire_leases();
                sleep_ms(20);
            }
        });
    }
    ~store_standin() {
        is_stopping = true;
        changed_.notify_all();
        expiry_.join();
    }
    std::string address() const { return endpoint_.address(); }

    // Writes as the operator or a minion does.
    void put(const std::string& key, const Json::Value& value) {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++revision_;
        write(key, encode_base64(write_json(value)), 0);
        changed_.notify_all();
    }
    std::string value(const std::string& key) {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto found = items_.find(key);
        return found == items_.end() ? "" : found->second.value;
    }
    std::size_t count(const std::string& prefix) {
        const std::lock_guard<std::mutex> lock(mutex_);
        std::size_t found = 0;
        for (auto item = items_.lower_bound(prefix); item != items_.end() && item->first.rfind(prefix, 0) == 0;
             ++item) {
            ++found;
        }
        return found;
    }
    // The store forgets its history, as `fleetbench kinds` says of platform_compact: watches hear nothing for a
    // second while changes are made, then the history is dropped and they are cut. A watch that continues from an
    // earlier revision gets 410.
    void discard_history() {
        is_watch_silent_ = true;
        sleep_ms(1000);
        is_watch_silent_ = false;
        const std::lock_guard<std::mutex> lock(mutex_);
        ++revision_;
        discarded_before_ = revision_;
        events_.clear();
        changed_.notify_all();
    }

    std::size_t value_bytes = 1048576;
    // While true, all calls get 503, which means that nothing was done.
    std::atomic<bool> is_busy = false;
    std::atomic<int> oversized_writes = 0;
    std::atomic<bool> is_stopping = false;
    // Time that each answer takes.
    std::atomic<std::int64_t> answer_ms = 0;
    // Read calls a second beyond this limit get 429; 0 for no limit.
    std::atomic<int> reads_per_s = 0;
    std::atomic<int> reads = 0;
    std::atomic<int> rejected_reads = 0;
    std::atomic<int> rejected_renewals = 0;

private:
    // Returns whether a read call is within the limit of this second.
    bool admit_read() {
        ++reads;
        if (reads_per_s == 0) {
            return true;
        }
        const std::lock_guard<std::mutex> lock(limit_mutex_);
        const std::int64_t second = steady_ms() / 1000;
        reads_in_second_ = second == limit_second_ ? reads_in_second_ + 1 : 1;
        limit_second_ = second;
        return reads_in_second_ <= reads_per_s;
    }
    std::atomic<bool> is_watch_silent_ = false;
    std::mutex limit_mutex_;
    std::int64_t limit_second_ = 0;
    int reads_in_second_ = 0;

    struct item {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };
    struct event {
        std::string key;
        item entry;
        bool is_deleted = false;
    };
    struct lease_state {
        std::int64_t ttl_ms = 0;
        std::int64_t expires_at = 0;
    };

    static Json::Value to_json(const std::string& key, const item& entry) {
        Json::Value json(Json::objectValue);
        json["key"] = key;
        json["value"] = entry.value;
        json["revision"] = Json::Int64(entry.revision);
        json["created"] = Json::Int64(entry.created);
        json["lease"] = Json::Int64(entry.lease);
        return json;
    }
    void write(const std::string& key, const std::string& value, std::int64_t lease) {
        item& entry = items_[key];
        entry.created = entry.created == 0 ? revision_ : entry.created;
        entry.value = value;
        entry.revision = revision_;
        entry.lease = lease;
        events_.push_back({key, entry, false});
        trim();
    }
    void remove(const std::string& key) {
        if (items_.erase(key) != 0) {
            item entry;
            entry.revision = revision_;
            events_.push_back({key, entry, true});
            trim();
        }
    }
    void trim() {
        while (events_.size() > 200000) {
            discarded_before_ = events_.front().entry.revision + 1;
            events_.pop_front();
        }
    }
    void end_lease(std::int64_t lease) {
        leases_.erase(lease);
        ++revision_;
        std::vector<std::string> keys;
        for (const auto& [key, entry] : items_) {
            if (entry.lease == lease) {
                keys.push_back(key);
            }
        }
        for (const std::string& key : keys) {
            remove(key);
        }
        changed_.notify_all();
    }
    void expire_leases() {
        const std::lock_guard<std::mutex> lock(mutex_);
        std::vector<std::int64_t> expired;
        for (const auto& [id, lease] : leases_) {
            if (lease.expires_at < steady_ms()) {
                expired.push_back(id);
            }
        }
        for (const std::int64_t id : expired) {
            record_.line("store lease %lld has expired", static_cast<long long>(id));
            end_lease(id);
        }
    }
    void transact(const Json::Value& body, httplib::Response& response) {
        const std::lock_guard<std::mutex> lock(mutex_);
        Json::Value current(Json::arrayValue);
        bool is_met = true;
        for (const Json::Value& row : body["expect"]) {
            const auto found = items_.find(row["key"].asString());
            const std::int64_t revision = found == items_.end() ? 0 : found->second.revision;
            is_met = is_met && revision == row["revision"].asInt64();
            if (found != items_.end()) {
                current.append(to_json(found->first, found->second));
            }
        }
        if (!is_met) {
            Json::Value answer = empty_object();
            answer["items"] = current;
            respond(response, 412, answer);
            return;
        }
        for (const Json::Value& row : body["writes"]) {
            if (decoded_size(row["value"].asString()) > value_bytes) {
                if (++oversized_writes <= 5) {
                    record_.line("store refuses a value of %zu bytes for %s (at most %zu)",
                                 decoded_size(row["value"].asString()), row["key"].asCString(), value_bytes);
                }
                respond(response, 413, empty_object());
                return;
            }
            if (row["lease"].asInt64() != 0 && leases_.count(row["lease"].asInt64()) == 0) {
                respond(response, 404, empty_object());
                return;
            }
        }
        ++revision_;
        for (const Json::Value& row : body["writes"]) {
            write(row["key"].asString(), row["value"].asString(), row["lease"].asInt64());
        }
        for (const Json::Value& key : body["remove"]) {
            remove(key.asString());
        }
        changed_.notify_all();
        Json::Value answer = empty_object();
        answer["revision"] = Json::Int64(revision_);
        respond(response, 200, answer);
    }
    void watch(const httplib::Request& request, httplib::Response& response) {
        const std::string prefix = request.get_param_value("prefix");
        const std::int64_t after = std::stoll(request.get_param_value("after"));
        const auto deadline =
            steady::now() + std::chrono::milliseconds(std::stoll(request.get_param_value("wait_ms")));
        std::unique_lock<std::mutex> lock(mutex_);
        Json::Value answer = empty_object();
        while (true) {
            if (after < discarded_before_ - 1) {
                respond(response, 410, empty_object());
                return;
            }
            if (is_watch_silent_ && steady::now() >= deadline) {
                answer["events"] = Json::Value(Json::arrayValue);
                answer["as_of"] = Json::Int64(after);
                lock.unlock();
                respond(response, 200, answer);
                return;
            }
            if (is_watch_silent_) {
                changed_.wait_until(lock, deadline);
                continue;
            }
            Json::Value events(Json::arrayValue);
            const auto first = std::partition_point(events_.begin(), events_.end(), [after](const event& one) {
                return one.entry.revision <= after;
            });
            for (auto one = first; one != events_.end(); ++one) {
                if (one->key.rfind(prefix, 0) != 0) {
                    continue;
                }
                Json::Value json = empty_object();
                if (one->is_deleted) {
                    json["key"] = one->key;
                    json["revision"] = Json::Int64(one->entry.revision);
                    json["deleted"] = true;
                } else {
                    json = to_json(one->key, one->entry);
                }
                events.append(json);
            }
            if (!events.empty() || is_stopping || steady::now() >= deadline) {
                answer["events"] = events;
                answer["as_of"] = Json::Int64(revision_);
                lock.unlock();
                respond(response, 200, answer);
                return;
            }
            changed_.wait_until(lock, deadline);
        }
    }
    void range(const httplib::Request& request, httplib::Response& response) {
        const std::string prefix = request.get_param_value("prefix");
        const std::string after = request.get_param_value("after");
        std::unique_lock<std::mutex> lock(mutex_);
        Json::Value answer = empty_object();
        answer["items"] = Json::Value(Json::arrayValue);
        answer["truncated"] = false;
        std::size_t bytes = 0;
        auto next = after.empty() ? items_.lower_bound(prefix) : items_.upper_bound(after);
        for (; next != items_.end() && next->first.rfind(prefix, 0) == 0; ++next) {
            if (answer["items"].size() >= 500 || bytes > 1000000) {
                answer["truncated"] = true;
                break;
            }
            bytes += next->second.value.size();
            answer["items"].append(to_json(next->first, next->second));
        }
        answer["as_of"] = Json::Int64(revision_);
        lock.unlock();
        respond(response, 200, answer);
    }
    void add_routes() {
        httplib::Server& server = endpoint_.server;
        server.set_payload_max_length(1ULL << 30);
        server.set_pre_routing_handler([this](const httplib::Request& request, httplib::Response& response) {
            if (is_busy) {
                respond(response, 503, empty_object());
                return httplib::Server::HandlerResponse::Handled;
            }
            const bool is_renewal = request.path.rfind("/kv-keep/", 0) == 0;
            if ((request.method == "GET" || is_renewal) && !admit_read()) {
                ++rejected_reads;
                rejected_renewals += is_renewal ? 1 : 0;
                respond(response, 429, empty_object());
                return httplib::Server::HandlerResponse::Handled;
            }
            if (answer_ms > 0) {
                sleep_ms(answer_ms);
            }
            return httplib::Server::HandlerResponse::Unhandled;
        });
        server.Get("/kv-key", [this](const httplib::Request& request, httplib::Response& response) {
            const std::lock_guard<std::mutex> lock(mutex_);
            const auto found = items_.find(request.get_param_value("key"));
            Json::Value answer = found == items_.end() ? empty_object() : to_json(found->first, found->second);
            answer["as_of"] = Json::Int64(revision_);
            respond(response, found == items_.end() ? 404 : 200, answer);
        });
        server.Get("/kv-range", [this](const httplib::Request& request, httplib::Response& response) {
            range(request, response);
        });
        server.Get("/kv-watch", [this](const httplib::Request& request, httplib::Response& response) {
            watch(request, response);
        });
        server.Post("/kv-txn", [this](const httplib::Request& request, httplib::Response& response) {
            transact(parse_json(request.body), response);
        });
        server.Post("/kv-lease", [this](const httplib::Request& request, httplib::Response& response) {
            const std::lock_guard<std::mutex> lock(mutex_);
            const std::int64_t ttl = std::max<std::int64_t>(1000, parse_json(request.body)["ttl_ms"].asInt64());
            leases_[++last_lease_] = {ttl, steady_ms() + ttl};
            Json::Value answer = empty_object();
            answer["lease"] = Json::Int64(last_lease_);
            answer["ttl_ms"] = Json::Int64(ttl);
            respond(response, 200, answer);
        });
        server.Post(R"(/kv-keep/(\d+))", [this](const httplib::Request& request, httplib::Response& response) {
            const std::lock_guard<std::mutex> lock(mutex_);
            const auto found = leases_.find(std::stoll(request.matches[1]));
            if (found != leases_.end()) {
                found->second.expires_at = steady_ms() + found->second.ttl_ms;
            }
            respond(response, found == leases_.end() ? 404 : 200, empty_object());
        });
        server.Delete(R"(/kv-lease-end/(\d+))",
                      [this](const httplib::Request& request, httplib::Response& response) {
                          const std::lock_guard<std::mutex> lock(mutex_);
                          const std::int64_t lease = std::stoll(request.matches[1]);
                          const bool is_known = leases_.count(lease) != 0;
                          end_lease(lease);
                          respond(response, is_known ? 200 : 404, empty_object());
                      });
    }

    record_file& record_;
    http_endpoint endpoint_;
    std::thread expiry_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::deque<event> events_;
    std::map<std::int64_t, lease_state> leases_;
    std::int64_t last_lease_ = 0;
    std::int64_t revision_ = 1;
    std::int64_t discarded_before_ = 0;
};

// What all minions have seen.
struct run_history {
    std::mutex mutex;
    std::set<std::string> done;          // Tasks with a run that has ended `done`.
    std::set<std::string> acknowledged;  // Tasks whose end `done` was acknowledged.
    std::map<std::string, int> starts;
    std::map<std::string, std::int64_t> last_start_ms;
    std::vector<std::string> started_again;  // Tasks that were started after an acknowledged end `done`.
    std::map<std::string, int> running;
    std::atomic<int> total_starts = 0;
    // After this time a task that lasts fails; 0 for never. Applies to later starts.
    std::atomic<std::int64_t> lasting_fails_after_ms = 0;
    // Tasks that had two runs at the same time.
    std::vector<std::string> two_runs;
};

// One minion, after PROTOCOL.md, with a server of its own.
class minion_standin {
public:
    struct options {
        std::string id;
        std::string machine;
        std::string service = "app";
        int cpu = 32000;
        int mem_mb = 64000;
        std::int64_t run_ms = 100;
        bool is_recorded = true;
    };

    minion_standin(const options& configured, record_file& record, run_history& history)
        : configured(configured), record_(record), history_(history), endpoint_(80), born_(unix_ms()),
          start_(steady_ms()) {
        add_routes();
        endpoint_.start();
        ticker_ = std::thread([this] {
            while (!is_stopping_) {
                end_due_runs();
                sleep_ms(4);
            }
        });
    }
    ~minion_standin() {
        is_stopping_ = true;
        run_ended_.notify_all();
        ticker_.join();
    }
    Json::Value entry(std::int64_t seq) const {
        Json::Value json = empty_object();
        json["service"] = configured.service;
        json["address"] = endpoint_.address();
        json["zone"] = "zone-a";
        json["version"] = "v1";
        json["slots"] = 8;
        json["state"] = "ready";
        json["cold_ms"] = 0;
        json["seq"] = Json::Int64(seq);
        json["born"] = Json::Int64(born_);
        json["capacity"] = capacity();
        json["labels"] = labels();
        return json;
    }
    Json::Value machine_row() const {
        Json::Value json = empty_object();
        json["machine"] = configured.machine;
        json["pool"] = configured.service;
        json["state"] = "up";
        json["zone"] = "zone-a";
        json["labels"] = labels();
        json["capacity"] = capacity();
        json["id"] = configured.id;
        return json;
    }
    // The process of the minion ends: it runs nothing any more, and its port refuses connections.
    void crash() {
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            const std::lock_guard<std::mutex> history_lock(history_.mutex);
            for (const auto& [task, run] : runs_) {
                --history_.running[task];
            }
            runs_.clear();
            ends_.clear();
            is_stopping_ = true;
        }
        run_ended_.notify_all();
        endpoint_.server.stop();
    }
    bool has_run(const std::string& task) {
        const std::lock_guard<std::mutex> lock(mutex_);
        return runs_.count(task) != 0;
    }
    const options configured;
    std::atomic<bool> is_cut_off = false;

private:
    struct run_state {
        std::int64_t number = 0;
        std::int64_t started_at = 0;
        std::int64_t ends_at = 0;
        bool is_lasting = false;
    };
    struct end_state {
        std::int64_t number = 0;
        std::string task;
        std::int64_t run = 0;
        std::string how;
    };

    Json::Value capacity() const {
        Json::Value json = empty_object();
        json["cpu"] = configured.cpu;
        json["mem_mb"] = configured.mem_mb;
        json["gpu"] = 0;
        return json;
    }
    static Json::Value labels() {
        Json::Value json(Json::arrayValue);
        json.append("kind-a");
        json.append("r1-1");
        return json;
    }
    std::int64_t clock_ms() const { return steady_ms() - start_; }
    void answer(httplib::Response& response, int status, const char* reason = "") const {
        Json::Value json = empty_object();
        json["clock_ms"] = Json::Int64(clock_ms());
        json["born"] = Json::Int64(born_);
        if (*reason != '\0') {
            json["reason"] = reason;
        }
        respond(response, status, json);
    }
    bool admit(const httplib::Request& request, const Json::Value& body, httplib::Response& response) {
        if (request.get_header_value("X-Expect-Instance") != configured.id) {
            answer(response, 421);
            return false;
        }
        if (body["fence"].asInt64() < fence_) {
            answer(response, 409, "fence");
            return false;
        }
        fence_ = body["fence"].asInt64();
        return true;
    }
    void extend(const Json::Value& body) {
        lease_end_ = std::max(lease_end_, std::min(body["until_ms"].asInt64(), clock_ms() + 10000));
    }
    void end_run(const std::string& task, const char* how) {
        const run_state run = runs_.at(task);
        runs_.erase(task);
        highest_ended_[task] = std::max(highest_ended_[task], run.number);
        ends_.push_back({++last_end_, task, run.number, how});
        {
            const std::lock_guard<std::mutex> lock(history_.mutex);
            --history_.running[task];
            if (std::string(how) == "done") {
                history_.done.insert(task);
            }
        }
        if (configured.is_recorded) {
            record_.line("minion %s: run %lld of %s has ended %s", configured.id.c_str(),
                         static_cast<long long>(run.number), task.c_str(), how);
        }
        run_ended_.notify_all();
    }
    void end_due_runs() {
        const std::lock_guard<std::mutex> lock(mutex_);
        std::vector<std::pair<std::string, const char*>> ended;
        for (const auto& [task, run] : runs_) {
            if (clock_ms() > lease_end_) {
                ended.emplace_back(task, "lapsed");
            } else if (run.ends_at <= steady_ms()) {
                ended.emplace_back(task, run.is_lasting ? "failed" : "done");
            }
        }
        for (const auto& [task, how] : ended) {
            end_run(task, how);
        }
    }
    void hold(const httplib::Request& request, httplib::Response& response) {
        const Json::Value body = parse_json(request.body);
        std::unique_lock<std::mutex> lock(mutex_);
        if (!admit(request, body, response)) {
            return;
        }
        while (!ends_.empty() && ends_.front().number <= body["acked_upto"].asInt64()) {
            if (ends_.front().how == "done") {
                const std::lock_guard<std::mutex> history_lock(history_.mutex);
                history_.acknowledged.insert(ends_.front().task);
            }
            ends_.pop_front();
        }
        extend(body);
        run_ended_.wait_for(lock, std::chrono::milliseconds(body["wait_ms"].asInt64()),
                            [this] { return !ends_.empty() || is_stopping_; });
        Json::Value report = empty_object();
        report["clock_ms"] = Json::Int64(clock_ms());
        report["born"] = Json::Int64(born_);
        report["running"] = Json::Value(Json::arrayValue);
        report["finished"] = Json::Value(Json::arrayValue);
        for (const auto& [task, run] : runs_) {
            const std::int64_t length = std::max<std::int64_t>(1, run.ends_at - run.started_at);
            Json::Value row(Json::arrayValue);
            row.append(task);
            row.append(Json::Int64(run.number));
            row.append("");
            const std::int64_t percent =
                run.is_lasting ? 100 : std::min<std::int64_t>(99, 100 * (steady_ms() - run.started_at) / length);
            row.append(static_cast<int>(percent));
            row.append(100);
            report["running"].append(row);
        }
        for (std::size_t index = 0; index < ends_.size() && index < 500; ++index) {
            Json::Value row(Json::arrayValue);
            row.append(Json::Int64(ends_[index].number));
            row.append(ends_[index].task);
            row.append(Json::Int64(ends_[index].run));
            row.append(ends_[index].how);
            row.append("");
            report["finished"].append(row);
        }
        respond(response, 200, report);
    }
    void start(const httplib::Request& request, httplib::Response& response) {
        const Json::Value body = parse_json(request.body);
        const std::lock_guard<std::mutex> lock(mutex_);
        if (!admit(request, body, response)) {
            return;
        }
        const std::string task = body["task"].asString();
        const std::int64_t number = body["run"].asInt64();
        extend(body);
        const auto running = runs_.find(task);
        if (running != runs_.end()) {
            running->second.number == number ? answer(response, 200) : answer(response, 409, "old");
            return;
        }
        const auto highest = highest_ended_.find(task);
        if (highest != highest_ended_.end() && highest->second >= number) {
            answer(response, 409, "old");
            return;
        }
        if (body["until_ms"].asInt64() < clock_ms()) {
            answer(response, 409, "late");
            return;
        }
        {
            const std::lock_guard<std::mutex> history_lock(history_.mutex);
            ++history_.starts[task];
            history_.last_start_ms[task] = steady_ms();
            ++history_.total_starts;
            if (++history_.running[task] > 1) {
                history_.two_runs.push_back(task);
                record_.line("minion %s: run %lld of %s starts while another run of it is at work",
                             configured.id.c_str(), static_cast<long long>(number), task.c_str());
            }
            if (history_.acknowledged.count(task) != 0) {
                history_.started_again.push_back(task);
                record_.line("minion %s: %s starts again (run %lld), after its end `done` was acknowledged",
                             configured.id.c_str(), task.c_str(), static_cast<long long>(number));
            }
        }
        if (configured.is_recorded) {
            record_.line("minion %s: run %lld of %s starts", configured.id.c_str(),
                         static_cast<long long>(number), task.c_str());
        }
        const bool is_lasting = body["spec"].asString().rfind("lasting", 0) == 0;
        std::int64_t length_ms = configured.run_ms;
        if (is_lasting) {
            const std::int64_t fails_after = history_.lasting_fails_after_ms;
            length_ms = fails_after == 0 ? 3600000 : fails_after;
        }
        runs_[task] = {number, steady_ms(), steady_ms() + length_ms, is_lasting};
        answer(response, 200);
    }
    void stop(const httplib::Request& request, httplib::Response& response) {
        const Json::Value body = parse_json(request.body);
        const std::lock_guard<std::mutex> lock(mutex_);
        if (!admit(request, body, response)) {
            return;
        }
        const std::string task = body["task"].asString();
        highest_ended_[task] = std::max<std::int64_t>(highest_ended_[task], body["run"].asInt64());
        const auto running = runs_.find(task);
        if (running != runs_.end() && running->second.number <= body["run"].asInt64()) {
            end_run(task, "stopped");
        }
        answer(response, 200);
    }
    // While the minion is cut off, calls hang; they are not carried out later, since their senders reset them.
    void add_routes() {
        httplib::Server& server = endpoint_.server;
        server.set_pre_routing_handler([this](const httplib::Request&, httplib::Response& response) {
            if (!is_cut_off) {
                return httplib::Server::HandlerResponse::Unhandled;
            }
            while (is_cut_off && !is_stopping_) {
                sleep_ms(20);
            }
            answer(response, 503);
            return httplib::Server::HandlerResponse::Handled;
        });
        server.Post("/hold", [this](const auto& request, auto& response) { hold(request, response); });
        server.Post("/run-start", [this](const auto& request, auto& response) { start(request, response); });
        server.Post("/run-stop", [this](const auto& request, auto& response) { stop(request, response); });
        server.Post("/pace", [this](const auto&, auto& response) { answer(response, 200); });
    }

    record_file& record_;
    run_history& history_;
    http_endpoint endpoint_;
    const std::int64_t born_;
    const std::int64_t start_;
    std::thread ticker_;
    std::atomic<bool> is_stopping_ = false;
    std::mutex mutex_;
    std::condition_variable run_ended_;
    std::int64_t fence_ = 0;
    std::int64_t lease_end_ = 0;
    std::int64_t last_end_ = 0;
    std::map<std::string, run_state> runs_;
    std::map<std::string, std::int64_t> highest_ended_;
    std::deque<end_state> ends_;
};

// The platform's list of machines and the orders to them.
class cloud_standin {
public:
    explicit cloud_standin(record_file& record) : record_(record), endpoint_(24) {
        endpoint_.server.Get("/machines", [this](const httplib::Request&, httplib::Response& response) {
            Json::Value answer = empty_object();
            const std::lock_guard<std::mutex> lock(mutex);
            answer["machines"] = Json::Value(Json::arrayValue);
            for (const Json::Value& row : rows) {
                answer["machines"].append(row);
            }
            respond(response, is_unavailable ? 503 : 200, is_unavailable ? empty_object() : answer);
        });
        const auto order = [this](const char* name) {
            return [this, name](const httplib::Request& request, httplib::Response& response) {
                record_.line("cloud %s %s, fence %s", name, request.body.c_str(),
                             request.get_header_value("X-Fencing-Token").c_str());
                if (is_unavailable || !on_order) {
                    respond(response, 503, empty_object());
                    return;
                }
                respond(response, on_order(name, parse_json(request.body)), empty_object());
            };
        };
        endpoint_.server.Post("/machine-move", order("machine-move"));
        endpoint_.server.Post("/machine-upkeep", order("machine-upkeep"));
        endpoint_.start();
    }
    std::string address() const { return endpoint_.address(); }

    std::mutex mutex;
    std::vector<Json::Value> rows;
    std::atomic<bool> is_unavailable = false;
    std::function<int(const std::string&, const Json::Value&)> on_order;

private:
    record_file& record_;
    http_endpoint endpoint_;
};

inline int free_port() {
    const int socket_fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    if (bind(socket_fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        getsockname(socket_fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
        std::exit(2);
    }
    close(socket_fd);
    return ntohs(address.sin_port);
}

// One entry VM: the program of the deploy file as a process.
class entry_process {
public:
    entry_process(int number, const std::string& folder, const std::string& store, const std::string& cloud,
                  int status_s, record_file& record)
        : record_(record), folder_(folder), number(number), front_port(free_port()), ready_port(free_port()) {
        char text[4096];
        std::snprintf(
            text, sizeof(text),
            "node=edge-zone-a-%d\nrole=entry\nclass=edge\nserves=edge\nip=127.0.0.1\nzone=zone-a\n"
            "region=region-a\nzones.zone-a=region-a\nlisten.front=127.0.0.1:%d\nlisten.ready=127.0.0.1:%d\n"
            "port_range=%d,%d\nseeds=\nbootstrap=true\nin_tolerance=false\nlimits.cpu_share=0.25\n"
            "limits.cores=1\nlimits.memory_mb=260\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\n"
            "limits.disk_mb=0\ndiscovery=platform\nentry=vip\nheartbeat_ms=1500\n"
            "contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing\n"
            "tolerate.machines=2\ntolerate.zones=1\ntolerate.regions=0\nbounds.seed_lag_s=3\n"
            "bounds.reuse_after_s=2\nbounds.contact_ms=3000\nbounds.ack_ms=4000\nbounds.catch_up_s=4\n"
            "bounds.drain_ms=2000\nbounds.grace_s=6\nbounds.loss_slack_ms=200\nbounds.config_ms=2000\n"
            "bounds.rollback_slack_ms=250\nbounds.max_stretch_ms=5000\nbounds.recovery_s=12\n"
            "bounds.hold_max_ms=10000\nbounds.stop_ms=900\nbounds.gang_ms=3000\nbounds.cancel_ms=3000\n"
            "bounds.visible_ms=3000\nbounds.early_ms=250\nbounds.finish_s=14\nbounds.status_s=%d\n"
            "bounds.far_x=3\nbounds.checkpoint_s=0.5\nbounds.restore_ms=100\nbounds.notice_ms=4500\n"
            "bounds.move_s=1.5\nbounds.upkeep_s=2\nbounds.require_fencing=false\nbounds.lease_ms=3000\n"
            "bounds.thaw_ms=300\nbounds.pace_ms=100\nbounds.harm_ms=4000\norders=invocation\n"
            "advice=127.0.0.1:%d\nplatform.address=%s\nplatform.form=kv\nplatform.writes_per_s=400\n"
            "platform.reads_per_s=2000\nplatform.history_s=20\nplatform.value_bytes=1048576\n"
            "platform.ttl_min_ms=1000\ncloud.address=%s\ncloud.rate_per_s=64.0\ncloud.duties=\n"
            "cloud.duty_per_s=64.0\n",
            number, front_port, ready_port, free_port(), free_port(), status_s, free_port(), store.c_str(),
            cloud.c_str());
        settings_ = folder + "/entry-" + std::to_string(number) + ".conf";
        std::FILE* const file = std::fopen(settings_.c_str(), "w");
        std::fputs(text, file);
        std::fclose(file);
        start();
    }
    ~entry_process() {
        is_quota_over_ = true;
        if (quota_.joinable()) {
            quota_.join();
        }
        kill_now();
    }
    void start() {
        const std::string log = folder_ + "/entry-" + std::to_string(number) + ".log";
        pid_ = fork();
        if (pid_ == 0) {
            // The process ends with this program, however this program ends.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, 1);
            dup2(out, 2);
            for (int fd = 3; fd < 4096; ++fd) {
                close(fd);
            }
            setenv("MASTICPASS_NODE_FILE", settings_.c_str(), 1);
            execl("target/masticpass", "target/masticpass", "platform-entry", static_cast<char*>(nullptr));
            _exit(127);
        }
        record_.line("entry VM %d starts, process %d", number, pid_.load());
    }
    // Returns whether the process has ended by itself.
    bool has_ended() {
        if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) {
            pid_ = 0;
            return true;
        }
        return false;
    }
    void send_signal(int signal_number) const {
        if (pid_ > 0) {
            record_.line("entry VM %d gets signal %d", number, signal_number);
            kill(pid_, signal_number);
        }
    }
    void kill_now() {
        if (pid_ > 0) {
            record_.line("entry VM %d is killed", number);
            kill(pid_, SIGKILL);
            waitpid(pid_, nullptr, 0);
            pid_ = 0;
        }
    }
    // SIGTERM, and SIGKILL after grace_s.
    void stop() {
        send_signal(SIGTERM);
        for (int tenths = 0; pid_ > 0 && tenths < 60; ++tenths) {
            if (has_ended()) {
                record_.line("entry VM %d has stopped", number);
                return;
            }
            sleep_ms(100);
        }
        kill_now();
    }
    // The platform's quota (DEPLOY.md, "a core's share is a quota"): the process runs at full speed until it has used
    // its share of a tenth of a second, and then not at all for the rest of it.
    void limit_processor(double share) {
        quota_ = std::thread([this, share] {
            std::int64_t window_end = 0;
            std::int64_t used_before = 0;
            bool is_stopped = false;
            while (!is_quota_over_) {
                const pid_t process = pid_;
                if (steady_ms() >= window_end) {
                    window_end = steady_ms() + 100;
                    used_before = processor_ns(process);
                    if (is_stopped && process > 0) {
                        kill(process, SIGCONT);
                    }
                    is_stopped = false;
                } else if (!is_stopped && process > 0 &&
                           processor_ns(process) - used_before >= static_cast<std::int64_t>(share * 100e6)) {
                    kill(process, SIGSTOP);
                    is_stopped = true;
                }
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
            }
        });
    }
    // Processor time of all threads, in nanoseconds.
    static std::int64_t processor_ns(pid_t process) {
        std::int64_t sum = 0;
        std::error_code error;
        const std::string tasks = "/proc/" + std::to_string(process) + "/task";
        for (const auto& task : std::filesystem::directory_iterator(tasks, error)) {
            std::FILE* const file = std::fopen((task.path().string() + "/schedstat").c_str(), "r");
            long long used = 0;
            if (file != nullptr) {
                sum += std::fscanf(file, "%lld", &used) == 1 ? used : 0;
                std::fclose(file);
            }
        }
        return sum;
    }
    // Resident memory in MB; 0 if the process has ended.
    int resident_mb() const {
        std::FILE* const file =
            pid_ > 0 ? std::fopen(("/proc/" + std::to_string(pid_) + "/statm").c_str(), "r") : nullptr;
        long size = 0;
        long resident = 0;
        if (file != nullptr) {
            if (std::fscanf(file, "%ld %ld", &size, &resident) != 2) {
                resident = 0;
            }
            std::fclose(file);
        }
        return static_cast<int>(resident * (sysconf(_SC_PAGESIZE) / 1024) / 1024);
    }
    bool is_ready() const {
        httplib::Client client("127.0.0.1", ready_port);
        client.set_connection_timeout(0, 300000);
        client.set_read_timeout(1);
        const auto result = client.Get("/readiness");
        return result && result->status == 200;
    }
    int pid() const { return pid_; }

private:
    record_file& record_;
    std::string folder_;
    std::string settings_;
    std::atomic<pid_t> pid_ = 0;
    std::thread quota_;
    std::atomic<bool> is_quota_over_ = false;

public:
    const int number;
    const int front_port;
    const int ready_port;
};

// The answer to a client's call; status 0 for none.
struct call_result {
    int status = 0;
    std::string body;
};

inline call_result call(int port, const std::string& method, const std::string& path, const std::string& body = "",
                        const std::string& host = "app.example") {
    httplib::Client client("127.0.0.1", port);
    client.set_connection_timeout(1);
    client.set_read_timeout(3);
    httplib::Request request;
    request.method = method;
    request.path = path;
    request.body = body;
    request.headers = {{"Host", host}, {"X-Timeout-Ms", "3000"}, {"Connection", "close"}};
    if (!body.empty()) {
        request.headers.emplace("Content-Type", "application/json");
    }
    const auto result = client.send(request);
    return result ? call_result{result->status, result->body} : call_result{};
}

inline std::string job_id(unsigned number) {
    char text[17];
    std::snprintf(text, sizeof(text), "5c0e7a21%08x", number);
    return text;
}

inline std::string temporary_folder() {
    std::string folder = "/tmp/masticpass-review-XXXXXX";
    if (mkdtemp(folder.data()) == nullptr) {
        std::exit(2);
    }
    return folder;
}

inline bool is_trouble() {
    const char* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

// A route of the configuration.
inline Json::Value route(const std::string& name, const std::string& prefix) {
    Json::Value json = empty_object();
    json["name"] = name;
    json["host"] = "app.example";
    json["prefix"] = prefix;
    json["service"] = "app";
    json["priority"] = 0;
    json["max_attempts"] = 3;
    json["stretch"] = 1.6;
    json["target_latency_ms"] = 600;
    json["timeout_ms"] = 3000;
    return json;
}
inline Json::Value configuration(int version, const std::vector<Json::Value>& routes) {
    Json::Value json = empty_object();
    json["version"] = version;
    json["routes"] = Json::Value(Json::arrayValue);
    for (const Json::Value& one : routes) {
        json["routes"].append(one);
    }
    Json::Value service = empty_object();
    service["name"] = "app";
    service["admission_check"] = true;
    service["standby"] = false;
    json["services"] = Json::Value(Json::arrayValue);
    json["services"].append(service);
    json["limits"] = empty_object();
    return json;
}

// A small deployment: store, list of machines, minions of one service, and entry VMs.
class deployment {
public:
    deployment(record_file& record, int minions, int entries, int status_s, std::int64_t run_ms,
               bool is_recorded = true, int cpu = 32000)
        : record(record), folder(temporary_folder()), store(record), cloud(record) {
        store.put("op/config", configuration(1, {}));
        for (int index = 0; index < minions; ++index) {
            add_minion(index, run_ms, is_recorded, cpu);
        }
        heartbeat_ = std::thread([this] {
            while (!is_stopping_) {
                {
                    const std::lock_guard<std::mutex> lock(mutex_);
                    ++seq_;
                    for (const auto& one : minions_) {
                        store.put("servers/" + one->configured.id, one->entry(seq_));
                    }
                }
                for (int step = 0; step < 15 && !is_stopping_; ++step) {
                    sleep_ms(100);
                }
            }
        });
        for (int number = 1; number <= entries; ++number) {
            this->entries.push_back(std::make_unique<entry_process>(number, folder, store.address(),
                                                                    cloud.address(), status_s, record));
        }
    }
    // Ends all entry VMs, removes the temporary folder and ends this program at once, with its servers.
    [[noreturn]] void finish(int status) {
        record.line("exit status %d", status);
        entries.clear();
        if (std::getenv("KEEP_LOGS") == nullptr) {
            std::filesystem::remove_all(folder);
        } else {
            std::printf("logs are in %s\n", folder.c_str());
        }
        std::fflush(stdout);
        _exit(status);
    }
    // The entry VM that owns the work now: the holder of the key that it wrote to the store last under a
    // condition. Null if there is none.
    entry_process* owner() {
        const std::string name = decode_base64(store.value("masticpass/owner/0"));
        for (const auto& one : entries) {
            if (name.rfind("edge-zone-a-" + std::to_string(one->number) + "-", 0) == 0) {
                return one.get();
            }
        }
        return nullptr;
    }
    void add_minion(int index, std::int64_t run_ms, bool is_recorded = true, int cpu = 32000) {
        char id[17];
        std::snprintf(id, sizeof(id), "a1b2c3d4%08x", index);
        auto added = std::make_unique<minion_standin>(
            minion_standin::options{.id = id,
                                    .machine = "m-" + std::to_string(index),
                                    .cpu = cpu,
                                    .run_ms = run_ms,
                                    .is_recorded = is_recorded},
            record, history);
        store.put("servers/" + std::string(id), added->entry(0));
        {
            const std::lock_guard<std::mutex> lock(cloud.mutex);
            cloud.rows.push_back(added->machine_row());
        }
        const std::lock_guard<std::mutex> lock(mutex_);
        minions_.push_back(std::move(added));
    }
    // A minion crashes and starts again under its id, with nothing of before.
    void restart_minion(std::size_t index, std::int64_t down_ms) {
        minion_standin* before = nullptr;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            before = minions_[index].get();
        }
        before->crash();
        record.line("minion %s has crashed", before->configured.id.c_str());
        sleep_ms(down_ms);
        auto after = std::make_unique<minion_standin>(before->configured, record, history);
        store.put("servers/" + before->configured.id, after->entry(0));
        record.line("minion %s has started again", before->configured.id.c_str());
        const std::lock_guard<std::mutex> lock(mutex_);
        // The object of the earlier life is kept, since its connections may still use it.
        former_minions_.push_back(std::move(minions_[index]));
        minions_[index] = std::move(after);
    }
    bool wait_until_ready() {
        for (int tenths = 0; tenths < 150; ++tenths) {
            if (std::all_of(entries.begin(), entries.end(), [](const auto& one) { return one->is_ready(); })) {
                return true;
            }
            sleep_ms(100);
        }
        return false;
    }
    // The minion on which the task runs; null if there is none.
    minion_standin* minion_of(const std::string& task) {
        const std::lock_guard<std::mutex> lock(mutex_);
        for (const auto& one : minions_) {
            if (one->has_run(task)) {
                return one.get();
            }
        }
        return nullptr;
    }
    int minion_starts(const std::string& task) {
        const std::lock_guard<std::mutex> lock(history.mutex);
        const auto found = history.starts.find(task);
        return found == history.starts.end() ? 0 : found->second;
    }
    int is_running(const std::string& task) {
        const std::lock_guard<std::mutex> lock(history.mutex);
        return history.running[task];
    }

    record_file& record;
    const std::string folder;
    run_history history;
    store_standin store;
    cloud_standin cloud;
    std::vector<std::unique_ptr<entry_process>> entries;

private:
    std::mutex mutex_;
    std::vector<std::unique_ptr<minion_standin>> minions_;
    std::vector<std::unique_ptr<minion_standin>> former_minions_;
    std::int64_t seq_ = 0;
    std::atomic<bool> is_stopping_ = false;
    std::thread heartbeat_;
};

}  // namespace standin2

#endif
