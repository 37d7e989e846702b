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

// The workers of the users' platform, and the rules that their owners must keep: no task runs twice at the
// same time or after its end was acknowledged, no step starts before those that it waits for, no worker is
// over its room, and nothing starts that every caller was refused. All workers share one address and are told
// apart by the id that calls name. Thread safety: all methods may be called from any thread.
class worker_model {
public:
    struct options {
        int workers = 5;
        unsigned seed = 1;
    };

    explicit worker_model(const options& configured);

    void add_routes(httplib::Server& server);
    // Ends tasks whose time has come, and whatever is held no longer.
    void end_due_runs();

    std::vector<std::string> worker_ids() const;
    std::string worker_entry_json(const std::string& id, const std::string& address);
    std::string vm_list();

    // The worker answers nothing until then. What runs there goes on.
    void silence(int index, absl::Duration duration);
    // The worker starts again under its id and knows nothing of before.
    void restart(int index);

    // Every try to hand the job in was refused for good.
    void record_refusal(const std::string& job);
    // What was broken, the first few.
    std::vector<std::string> violations();
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
        std::map<std::string, std::int64_t> highest_blocked_run = {};
        std::vector<Json::Value> ends = {};

        std::int64_t clock_ms(absl::Time now) const { return absl::ToInt64Milliseconds(now - started_at); }
    };

    void start_incarnation(simulated_worker& worker);
    void end_run(simulated_worker& worker, const std::string& task, const char* outcome);
    void report_violation(const std::string& description);
    void check_start(const simulated_worker& target, const std::string& task);
    // The worker that a call names, which then knows the call's fencing token. Null if it does not answer, or
    // has refused a lower token.
    simulated_worker* admit(const httplib::Request& request, const Json::Value& body,
                            httplib::Response& response);
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
    // Tasks of which an end was acknowledged, and all that have ended well.
    std::set<std::string> acknowledged_tasks_;
    std::set<std::string> completed_tasks_;
    std::set<std::string> started_jobs_;
    std::set<std::string> refused_jobs_;
    std::vector<std::string> violations_;
    int start_count_ = 0;
};

// The jobs of a soak: tasks of this count in the first step, and one that waits for them.
inline constexpr int first_step_task_count = 3;
inline constexpr std::int64_t task_cpu_millis = 900;

}  // namespace masticpass::soak

#endif
