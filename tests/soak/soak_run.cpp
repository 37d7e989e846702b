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
#include "standin/background_http_server.h"

namespace masticpass::soak {

namespace {

using process_test::child_process;

// Each poll and each watch of an entry VM occupies a thread of the server while it waits.
constexpr std::size_t maximum_platform_connections = 200;
constexpr std::chrono::milliseconds tick_interval{10};
constexpr int ticks_per_heartbeat = 100;
constexpr int caller_threads = 3;
constexpr std::chrono::milliseconds job_interval{120};
constexpr std::chrono::milliseconds retry_delay{100};
constexpr int maximum_attempts_per_job = 40;
constexpr std::chrono::seconds response_timeout{4};
constexpr int worker_count = 5;

constexpr const char* configuration_text =
    R"({"version":1,"routes":[{"name":"q","host":"q.example","prefix":"/q/","service":"p","max_attempts":3,)"
    R"("stretch":2.0,"target_latency_ms":500}],"services":[{"name":"p","admission_check":true}],"limits":{}})";
constexpr const char* job_text =
    R"({"spec":"s","steps":[{"count":3,"cpu":900,"mem_mb":10,"estimate_ms":200},)"
    R"({"count":1,"cpu":900,"mem_mb":10,"estimate_ms":200,"after":[0]}]})";

// The process of an entry VM and the relay between it and the store.
struct entry_vm {
    entry_vm(std::string vm_name, const std::string& platform_address, const std::string& folder)
        : name(std::move(vm_name)),
          store_relay(platform_address),
          settings_path(folder + "/" + name + ".conf") {
        caller_address = "127.0.0.1:" + std::to_string(process_test::take_free_port());
        const std::string readiness_address = "127.0.0.1:" + std::to_string(process_test::take_free_port());
        std::ofstream(settings_path)
            << "node=" << name << "\nzone=z\nlisten.front=" << caller_address
            << "\nlisten.ready=" << readiness_address
            << "\nport_range=7060,7075\nplatform.address=" << store_relay.address()
            << "\ncloud.address=" << platform_address
            << "\nadvice=\nbounds.grace_s=6\nbounds.status_s=120\nbounds.lease_ms=3000\n"
               "bounds.hold_max_ms=10000\nlimits.cpu_share=0.25\nlimits.cores=1\n"
               "cloud.duty_per_s=64\n";
    }

    void start(const std::string& folder) {
        process = std::make_unique<child_process>(
            name, folder,
            std::vector<std::string>{"/usr/bin/env", "MASTICPASS_NODE_FILE=" + settings_path,
                                     MASTICPASS_BINARY, "platform-entry"});
    }

    const std::string name;
    relay store_relay;
    const std::string settings_path;
    std::string caller_address;
    std::unique_ptr<child_process> process;
};

class soak_runner {
public:
    explicit soak_runner(const soak_options& options)
        : options_(options),
          random_(options.seed),
          workers_({.workers = worker_count, .seed = options.seed}) {
        folder_ = options.folder.empty() ? std::string("/tmp/masticpass-soak-XXXXXX") : options.folder;
        if (options.folder.empty()) {
            // mkdtemp replaces the template with the name of the new folder.
            folder_ = ::mkdtemp(folder_.data());
        }
        std::filesystem::create_directories(folder_);
        store_.add_routes(platform_.server());
        workers_.add_routes(platform_.server());
        platform_address_ = platform_.start("127.0.0.1:0").value();
        store_.put("op/config", absl::Base64Escape(configuration_text));
        register_workers();
        model_thread_ = std::thread([this] { run_model(); });
        std::generate_n(std::back_inserter(entries_), options.entries, [this] {
            auto entry = std::make_unique<entry_vm>(absl::StrFormat("entry-%d", entries_.size()),
                                                    platform_address_, folder_);
            entry->start(folder_);
            return entry;
        });
    }

    ~soak_runner() {
        entries_.clear();
        is_stopping_ = true;
        model_thread_.join();
        if (options_.folder.empty()) {
            std::filesystem::remove_all(folder_);
        }
    }

    soak_result run() {
        std::vector<std::thread> callers;
        callers.reserve(caller_threads);
        for (int index = 0; index < caller_threads; ++index) {
            callers.emplace_back([this, index] { submit_jobs(index); });
        }
        std::this_thread::sleep_for(std::chrono::seconds(2));
        inject_faults();
        restore_connections();
        are_callers_stopping_ = true;
        for (std::thread& caller : callers) {
            caller.join();
        }
        check_completion();
        result_.starts = workers_.start_count();
        for (const std::string& violation : workers_.violations()) {
            result_.violations.push_back(violation);
        }
        return result_;
    }

private:
    void register_workers() {
        for (const std::string& id : workers_.worker_ids()) {
            store_.put("servers/" + id,
                       absl::Base64Escape(workers_.worker_entry_json(id, platform_address_)));
        }
    }

    void run_model() {
        for (int tick = 1; !is_stopping_; ++tick) {
            std::this_thread::sleep_for(tick_interval);
            workers_.end_due_runs();
            store_.expire_leases();
            if (tick % ticks_per_heartbeat == 0 && !store_.injected_faults().is_down) {
                register_workers();
            }
        }
    }

    int random_below(int bound) { return static_cast<int>(random_() % static_cast<unsigned>(bound)); }
    entry_vm& random_entry() { return *entries_[static_cast<std::size_t>(random_below(options_.entries))]; }

    // Injects faults for `fault_duration`, then waits until all of them have ended. Faults may overlap;
    // `fault_ends_` holds the action that ends each of them.
    void inject_faults() {
        const absl::Time end = absl::Now() + options_.fault_duration;
        while (absl::Now() < end) {
            inject_fault();
            ++result_.faults;
            const absl::Time next = absl::Now() + absl::Milliseconds(200 + random_below(900));
            while (absl::Now() < next) {
                end_faults(absl::Now());
                std::this_thread::sleep_for(tick_interval);
            }
        }
        while (!fault_ends_.empty()) {
            end_faults(absl::Now());
            std::this_thread::sleep_for(tick_interval);
        }
    }

    void end_faults(absl::Time now) {
        while (!fault_ends_.empty() && fault_ends_.begin()->first <= now) {
            const auto end_fault = std::move(fault_ends_.begin()->second);
            fault_ends_.erase(fault_ends_.begin());
            end_fault();
        }
    }

    void schedule_end(absl::Duration duration, std::function<void()> end_fault) {
        fault_ends_.emplace(absl::Now() + duration, std::move(end_fault));
    }

    void inject_fault() {
        entry_vm& entry = random_entry();
        const absl::Duration duration = absl::Milliseconds(300 + random_below(4000));
        switch (random_below(9)) {
            case 0:
                entry.process->send_signal(SIGKILL);
                schedule_end(absl::Milliseconds(random_below(1500)), [this, &entry] { restart(entry); });
                return;
            case 1:
                entry.process->send_signal(SIGTERM);
                schedule_end(absl::Seconds(6), [this, &entry] { restart(entry); });
                return;
            case 2:
                entry.process->send_signal(SIGSTOP);
                schedule_end(duration, [&entry] { entry.process->send_signal(SIGCONT); });
                return;
            case 3: {
                static constexpr std::array modes = {relay_mode::delay, relay_mode::reset, relay_mode::silent,
                                                     relay_mode::block_responses};
                entry.store_relay.set_mode(modes.at(static_cast<std::size_t>(random_below(modes.size()))));
                schedule_end(duration, [&entry] { entry.store_relay.set_mode(relay_mode::pass); });
                return;
            }
            case 4:
                store_.injected_faults().is_down = true;
                schedule_end(duration, [this] { store_.injected_faults().is_down = false; });
                return;
            case 5:
                store_.injected_faults().lost_per_mille = 300;
                schedule_end(duration, [this] { store_.injected_faults().lost_per_mille = 0; });
                return;
            case 6:
                store_.injected_faults().is_history_compacted = true;
                schedule_end(duration / 4, [this] { store_.injected_faults().is_history_compacted = false; });
                return;
            case 7:
                workers_.silence(random_below(worker_count), duration);
                return;
            default:
                workers_.restart(random_below(worker_count));
        }
    }

    void restart(entry_vm& entry) {
        entry.process->send_signal(SIGKILL);
        entry.process.reset();
        entry.start(folder_);
    }

    void restore_connections() {
        for (const auto& entry : entries_) {
            entry->store_relay.set_mode(relay_mode::pass);
        }
    }

    // Sends an HTTP request to an entry VM that the caller's own generator chooses. Returns the status, or 0
    // if there was no response.
    int call(std::mt19937& random, const char* method, const std::string& path, const char* body,
             std::string& response_body) {
        httplib::Client client("http://" + entries_[random() % entries_.size()]->caller_address);
        client.set_connection_timeout(std::chrono::seconds(1));
        client.set_read_timeout(response_timeout);
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
        response_body = response->body;
        return response->status;
    }

    void submit_jobs(int thread_index) {
        std::mt19937 random(options_.seed * 31U + static_cast<unsigned>(thread_index));
        for (int number = 0; !are_callers_stopping_; ++number) {
            const std::string job =
                absl::StrFormat("%08x%08x", options_.seed * 16U + static_cast<unsigned>(thread_index),
                                static_cast<unsigned>(number));
            submit(random, job);
            std::this_thread::sleep_for(job_interval);
        }
    }

    void submit(std::mt19937& random, const std::string& job) {
        bool may_have_been_accepted = false;
        std::string response_body;
        for (int attempt = 0; attempt < maximum_attempts_per_job; ++attempt) {
            const int status = call(random, "POST", "/q/" + job, job_text, response_body);
            if (status == 200) {
                const std::lock_guard<std::mutex> lock(mutex_);
                accepted_.push_back(job);
                return;
            }
            // A refusal is final only if no earlier attempt may have submitted the job.
            if ((status == 503 || status == 429) && !may_have_been_accepted) {
                workers_.record_refusal(job);
                const std::lock_guard<std::mutex> lock(mutex_);
                ++result_.refused;
                return;
            }
            may_have_been_accepted = may_have_been_accepted || (status != 503 && status != 429);
            std::this_thread::sleep_for(retry_delay);
        }
    }

    void check_completion() {
        std::mt19937 random(options_.seed);
        const absl::Time end = absl::Now() + options_.recovery_timeout;
        result_.accepted = static_cast<int>(accepted_.size());
        for (const std::string& job : accepted_) {
            std::string response_body;
            while (response_body.find("completed") == std::string::npos && absl::Now() < end) {
                const int status = call(random, "GET", "/q/" + job, "", response_body);
                if (status == 410) {
                    result_.violations.push_back(absl::StrFormat("job %s was accepted but is unknown", job));
                    break;
                }
                if (response_body.find("completed") == std::string::npos) {
                    std::this_thread::sleep_for(retry_delay);
                }
            }
            if (absl::Now() >= end) {
                result_.violations.push_back(
                    absl::StrFormat("job %s was accepted but did not complete: %s", job, response_body));
                return;
            }
        }
    }

    const soak_options options_;
    std::mt19937 random_;
    std::string folder_;
    kv_model store_;
    worker_model workers_;
    standin::background_http_server platform_{maximum_platform_connections};
    std::string platform_address_;
    std::atomic<bool> is_stopping_ = false;
    std::atomic<bool> are_callers_stopping_ = false;
    std::vector<std::unique_ptr<entry_vm>> entries_;
    std::multimap<absl::Time, std::function<void()>> fault_ends_;
    std::mutex mutex_;
    std::vector<std::string> accepted_;
    soak_result result_;
    std::thread model_thread_;
};

}  // namespace

soak_result run_soak(const soak_options& options) {
    return soak_runner(options).run();
}

}  // namespace masticpass::soak
