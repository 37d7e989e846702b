#include "soak/soak_run.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <thread>

#include <absl/strings/escaping.h>
#include <absl/strings/str_format.h>
#include <httplib.h>

#include "process/child_process.h"
#include "soak/kv_model.h"
#include "soak/relay.h"
#include "soak/worker_model.h"
#include "standin/http_front.h"

namespace masticpass::soak {

namespace {

using process_test::child_process;

// Looks and watches of every entry VM occupy a thread each.
constexpr std::size_t platform_connections = 200;
constexpr std::chrono::milliseconds model_tick{10};
constexpr int model_ticks_per_heartbeat = 100;
constexpr int caller_threads = 3;
constexpr std::chrono::milliseconds between_jobs{120};
constexpr std::chrono::milliseconds between_tries{100};
constexpr int tries_per_job = 40;
constexpr std::chrono::seconds answer_timeout{4};
constexpr int worker_count = 5;

constexpr const char* configuration_text =
    R"({"version":1,"routes":[{"name":"q","host":"q.example","prefix":"/q/","service":"p","max_attempts":3,)"
    R"("stretch":2.0,"target_latency_ms":500}],"services":[{"name":"p","admission_check":true}],"limits":{}})";
constexpr const char* job_text =
    R"({"spec":"s","steps":[{"count":3,"cpu":900,"mem_mb":10,"estimate_ms":200},)"
    R"({"count":1,"cpu":900,"mem_mb":10,"estimate_ms":200,"after":[0]}]})";

// One entry VM: its process, and its relay to the store.
struct entry_vm {
    entry_vm(std::string vm_name, const std::string& platform, const std::string& folder)
        : name(std::move(vm_name)), store(platform), settings(folder + "/" + name + ".conf") {
        callers = "127.0.0.1:" + std::to_string(process_test::take_free_port());
        const std::string readiness = "127.0.0.1:" + std::to_string(process_test::take_free_port());
        std::ofstream(settings) << "node=" << name << "\nzone=z\nlisten.front=" << callers
                                << "\nlisten.ready=" << readiness
                                << "\nport_range=7060,7075\nplatform.address=" << store.address()
                                << "\ncloud.address=" << platform
                                << "\nadvice=\nbounds.grace_s=6\nbounds.status_s=120\nbounds.lease_ms=3000\n"
                                   "bounds.hold_max_ms=10000\nlimits.cpu_share=0.25\nlimits.cores=1\n"
                                   "cloud.duty_per_s=64\n";
    }

    void start(const std::string& folder) {
        process = std::make_unique<child_process>(
            name, folder,
            std::vector<std::string>{"/usr/bin/env", "MASTICPASS_NODE_FILE=" + settings, MASTICPASS_BINARY,
                                     "platform-entry"});
    }

    const std::string name;
    relay store;
    const std::string settings;
    std::string callers;
    std::unique_ptr<child_process> process;
};

class soak_world {
public:
    explicit soak_world(const soak_options& options)
        : options_(options),
          random_(options.seed),
          workers_({.workers = worker_count, .seed = options.seed}) {
        folder_ = options.folder.empty() ? std::string("/tmp/masticpass-soak-XXXXXX") : options.folder;
        if (options.folder.empty()) {
            // The template is replaced with the name of a new folder.
            folder_ = ::mkdtemp(folder_.data());
        }
        std::filesystem::create_directories(folder_);
        store_.add_routes(platform_.server());
        workers_.add_routes(platform_.server());
        address_ = platform_.start("127.0.0.1:0").value();
        store_.put("op/config", absl::Base64Escape(configuration_text));
        register_workers();
        model_thread_ = std::thread([this] { run_model(); });
        std::generate_n(std::back_inserter(entries_), options.entries, [this] {
            auto entry =
                std::make_unique<entry_vm>(absl::StrFormat("entry-%d", entries_.size()), address_, folder_);
            entry->start(folder_);
            return entry;
        });
    }

    ~soak_world() {
        entries_.clear();
        is_over_ = true;
        model_thread_.join();
        if (options_.folder.empty()) {
            std::filesystem::remove_all(folder_);
        }
    }

    soak_result run() {
        std::vector<std::thread> callers;
        callers.reserve(caller_threads);
        for (int index = 0; index < caller_threads; ++index) {
            callers.emplace_back([this, index] { hand_in_jobs(index); });
        }
        std::this_thread::sleep_for(std::chrono::seconds(2));
        inject_faults();
        heal();
        are_callers_done_ = true;
        for (std::thread& caller : callers) {
            caller.join();
        }
        check_completion();
        result_.starts = workers_.starts();
        for (const std::string& broken : workers_.violations()) {
            result_.violations.push_back(broken);
        }
        return result_;
    }

private:
    void register_workers() {
        for (const std::string& id : workers_.ids()) {
            store_.put("servers/" + id, absl::Base64Escape(workers_.entry(id, address_)));
        }
    }

    void run_model() {
        for (int tick = 1; !is_over_; ++tick) {
            std::this_thread::sleep_for(model_tick);
            workers_.advance();
            store_.expire_leases();
            if (tick % model_ticks_per_heartbeat == 0 && !store_.misbehaviour().is_down) {
                register_workers();
            }
        }
    }

    int below(int bound) { return static_cast<int>(random_() % static_cast<unsigned>(bound)); }
    entry_vm& any_entry() { return *entries_[static_cast<std::size_t>(below(options_.entries))]; }

    // Each fault begins while earlier ones may still last; the end of each is in `ends_`.
    void inject_faults() {
        const absl::Time end = absl::Now() + options_.faults_for;
        while (absl::Now() < end) {
            inject_one();
            ++result_.faults;
            const absl::Time next = absl::Now() + absl::Milliseconds(200 + below(900));
            while (absl::Now() < next) {
                end_faults(absl::Now());
                std::this_thread::sleep_for(model_tick);
            }
        }
        while (!ends_.empty()) {
            end_faults(absl::Now());
            std::this_thread::sleep_for(model_tick);
        }
    }

    void end_faults(absl::Time now) {
        while (!ends_.empty() && ends_.begin()->first <= now) {
            const auto undo = std::move(ends_.begin()->second);
            ends_.erase(ends_.begin());
            undo();
        }
    }

    void after(absl::Duration duration, std::function<void()> undo) {
        ends_.emplace(absl::Now() + duration, std::move(undo));
    }

    void inject_one() {
        entry_vm& entry = any_entry();
        const absl::Duration lasting = absl::Milliseconds(300 + below(4000));
        switch (below(9)) {
            case 0:
                entry.process->send_signal(SIGKILL);
                after(absl::Milliseconds(below(1500)), [this, &entry] { restart(entry); });
                return;
            case 1:
                entry.process->send_signal(SIGTERM);
                after(absl::Seconds(6), [this, &entry] { restart(entry); });
                return;
            case 2:
                entry.process->send_signal(SIGSTOP);
                after(lasting, [&entry] { entry.process->send_signal(SIGCONT); });
                return;
            case 3: {
                static constexpr std::array modes = {relay_mode::delay, relay_mode::reset, relay_mode::silent,
                                                     relay_mode::answers_cut};
                entry.store.set_mode(modes.at(static_cast<std::size_t>(below(modes.size()))));
                after(lasting, [&entry] { entry.store.set_mode(relay_mode::pass); });
                return;
            }
            case 4:
                store_.misbehaviour().is_down = true;
                after(lasting, [this] { store_.misbehaviour().is_down = false; });
                return;
            case 5:
                store_.misbehaviour().lost_per_mille = 300;
                after(lasting, [this] { store_.misbehaviour().lost_per_mille = 0; });
                return;
            case 6:
                store_.misbehaviour().has_forgotten = true;
                after(lasting / 4, [this] { store_.misbehaviour().has_forgotten = false; });
                return;
            case 7:
                workers_.silence(below(worker_count), lasting);
                return;
            default:
                workers_.restart(below(worker_count));
        }
    }

    void restart(entry_vm& entry) {
        entry.process->send_signal(SIGKILL);
        entry.process.reset();
        entry.start(folder_);
    }

    void heal() {
        for (const auto& entry : entries_) {
            entry->store.set_mode(relay_mode::pass);
        }
    }

    // One HTTP call to an entry VM that the caller's own generator chooses; 0 without an answer.
    int call(std::mt19937& random, const char* method, const std::string& path, const char* body,
             std::string& answer) {
        httplib::Client client("http://" + entries_[random() % entries_.size()]->callers);
        client.set_connection_timeout(std::chrono::seconds(1));
        client.set_read_timeout(answer_timeout);
        httplib::Request request;
        request.method = method;
        request.path = path;
        request.body = body;
        request.headers = {{"Host", "q.example"}, {"X-Timeout-Ms", "3000"}};
        if (request.method == "POST") {
            request.headers.emplace("Content-Type", "application/json");
        }
        const auto response = client.send(request);
        if (!response) {
            return 0;
        }
        answer = response->body;
        return response->status;
    }

    void hand_in_jobs(int thread) {
        std::mt19937 random(options_.seed * 31U + static_cast<unsigned>(thread));
        for (int number = 0; !are_callers_done_; ++number) {
            const std::string job =
                absl::StrFormat("%08x%08x", options_.seed * 16U + static_cast<unsigned>(thread),
                                static_cast<unsigned>(number));
            hand_in(random, job);
            std::this_thread::sleep_for(between_jobs);
        }
    }

    void hand_in(std::mt19937& random, const std::string& job) {
        bool is_outcome_open = false;
        std::string answer;
        for (int attempt = 0; attempt < tries_per_job; ++attempt) {
            const int status = call(random, "POST", "/q/" + job, job_text, answer);
            if (status == 200) {
                const std::lock_guard<std::mutex> lock(mutex_);
                accepted_.push_back(job);
                return;
            }
            // A refusal holds for the job only if no earlier try may have handed it in.
            if ((status == 503 || status == 429) && !is_outcome_open) {
                workers_.record_refusal(job);
                const std::lock_guard<std::mutex> lock(mutex_);
                ++result_.refused;
                return;
            }
            is_outcome_open = is_outcome_open || (status != 503 && status != 429);
            std::this_thread::sleep_for(between_tries);
        }
    }

    void check_completion() {
        std::mt19937 random(options_.seed);
        const absl::Time end = absl::Now() + options_.recovery;
        result_.accepted = static_cast<int>(accepted_.size());
        for (const std::string& job : accepted_) {
            std::string answer;
            while (answer.find("completed") == std::string::npos && absl::Now() < end) {
                const int status = call(random, "GET", "/q/" + job, "", answer);
                if (status == 410) {
                    result_.violations.push_back(
                        absl::StrFormat("job %s was accepted and is not known", job));
                    break;
                }
                if (answer.find("completed") == std::string::npos) {
                    std::this_thread::sleep_for(between_tries);
                }
            }
            if (absl::Now() >= end) {
                result_.violations.push_back(
                    absl::StrFormat("job %s was accepted and is not complete: %s", job, answer));
                return;
            }
        }
    }

    const soak_options options_;
    std::mt19937 random_;
    std::string folder_;
    kv_model store_;
    worker_model workers_;
    standin::http_front platform_{platform_connections};
    std::string address_;
    std::atomic<bool> is_over_ = false;
    std::atomic<bool> are_callers_done_ = false;
    std::vector<std::unique_ptr<entry_vm>> entries_;
    std::multimap<absl::Time, std::function<void()>> ends_;
    std::mutex mutex_;
    std::vector<std::string> accepted_;
    soak_result result_;
    std::thread model_thread_;
};

}  // namespace

soak_result run_soak(const soak_options& options) {
    return soak_world(options).run();
}

}  // namespace masticpass::soak
