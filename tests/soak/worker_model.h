#ifndef MASTICPASS_SOAK_WORKER_MODEL_H
#define MASTICPASS_SOAK_WORKER_MODEL_H

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <absl/time/clock.h>
#include <absl/time/time.h>
#include <httplib.h>
#include <json/json.h>

namespace masticpass::soak {

// Model of the workers of the users' platform. Checks the rules that the owners of the jobs must keep: a task
// neither runs twice at the same time nor starts after its completion was acknowledged, no step starts before
// the end of the steps that it depends on, and a job never runs if every submission of it was refused.
// Workers refuse starts that exceed their capacity. All workers share one address and are distinguished by
// the worker id in the requests. Thread safety: all methods may be called from any thread.
class worker_model {
public:
    struct options {
        int workers = 5;
        unsigned seed = 1;
    };

    explicit worker_model(const options& configured);

    void add_routes(httplib::Server& server);
    // Ends the runs that are complete, and the runs of workers whose run lease has expired.
    void end_due_runs();

    std::vector<std::string> worker_ids() const;
    // Returns the entry of a worker in the store, as JSON.
    std::string worker_entry_json(const std::string& id, const std::string& address);
    // Returns the VM service's list of machines, as JSON.
    std::string vm_list();

    // Makes the worker unresponsive for `duration`. Its runs continue.
    void silence(int index, absl::Duration duration);
    // Starts a new incarnation of the worker under the same id, without any state of the previous one.
    void restart(int index);

    // Records that every submission of a job was refused.
    void record_refusal(const std::string& job);
    // Returns the first violations of the rules.
    std::vector<std::string> violations();
    // Returns the number of runs that were started.
    int start_count();

private:
    static constexpr std::int64_t capacity_cpu_millis = 4000;

    struct simulated_run {
        std::int64_t number = 0;
        absl::Time ends_at;
        std::int64_t cpu_millis = 0;
    };
    struct simulated_worker {
        std::string id;
        std::int64_t started_ms = 0;
        absl::Time started_at;
        absl::Time silent_until;
        std::int64_t lease_end_ms = 0;
        std::int64_t fencing_token = 0;
        std::int64_t last_end = 0;
        std::map<std::string, simulated_run> runs = {};
        // For each task, the highest run number that must not start any more, because that run has ended or a
        // stop order named it.
        std::map<std::string, std::int64_t> highest_blocked_run = {};
        std::vector<Json::Value> ends = {};

        std::int64_t clock_ms(absl::Time now) const { return absl::ToInt64Milliseconds(now - started_at); }
    };

    void start_incarnation(simulated_worker& worker);
    void end_run(simulated_worker& worker, const std::string& task, const char* outcome);
    void report_violation(const std::string& description);
    void check_start(const simulated_worker& target, const std::string& task);
    // Returns the worker that a request names, and stores the request's fencing token in it. Returns null if
    // the worker is unknown or unresponsive, or if it has refused the token because it knows a higher one;
    // the response is then complete.
    simulated_worker* admit(const httplib::Request& request, const Json::Value& body,
                            httplib::Response& response);
    // Handles `POST /hold`: extends the run lease and waits up to `wait_ms` for an end of a run to report.
    void poll(const httplib::Request& request, httplib::Response& response);
    void start(const httplib::Request& request, httplib::Response& response);
    void stop(const httplib::Request& request, httplib::Response& response);
    void acknowledge(simulated_worker& target, std::int64_t last_acknowledged_end);
    static void respond(const simulated_worker& target, httplib::Response& response, int status,
                        const std::string& reason);

    std::mutex mutex_;
    std::condition_variable run_ended_;
    std::mt19937 random_;
    std::vector<simulated_worker> workers_;
    // Tasks whose completion was acknowledged, and all completed tasks.
    std::set<std::string> acknowledged_tasks_;
    std::set<std::string> completed_tasks_;
    std::set<std::string> started_jobs_;
    std::set<std::string> refused_jobs_;
    std::vector<std::string> violations_;
    int start_count_ = 0;
};

// Each job of a soak has this number of tasks in its first step, and a second step with one task that depends
// on them. Every task needs `task_cpu_millis`.
inline constexpr int first_step_task_count = 3;
inline constexpr std::int64_t task_cpu_millis = 900;

}  // namespace masticpass::soak

#endif
