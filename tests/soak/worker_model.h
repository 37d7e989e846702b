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
    void advance();

    std::vector<std::string> ids() const;
    std::string entry(const std::string& id, const std::string& address);
    std::string vm_list();

    // The worker answers nothing until then. What runs there goes on.
    void silence(int index, absl::Duration duration);
    // The worker starts again under its id and knows nothing of before.
    void restart(int index);

    // Every try to hand the job in was refused for good.
    void record_refusal(const std::string& job);
    // What was broken, the first few.
    std::vector<std::string> violations();
    int starts();

private:
    static constexpr std::int64_t capacity_millis = 4000;

    struct model_run {
        std::int64_t number = 0;
        absl::Time ends;
        std::int64_t cpu_millis = 0;
    };
    struct worker {
        std::string id;
        std::int64_t born_ms = 0;
        absl::Time started;
        absl::Time silent_until;
        std::int64_t held_until_ms = 0;
        std::int64_t fencing_token = 0;
        std::int64_t last_end = 0;
        std::map<std::string, model_run> runs = {};
        std::map<std::string, std::int64_t> barred = {};
        std::vector<Json::Value> ends = {};

        std::int64_t clock_ms(absl::Time now) const { return absl::ToInt64Milliseconds(now - started); }
    };

    void start_life(worker& one);
    void end_run(worker& one, const std::string& task, const char* how);
    void break_rule(const std::string& what);
    void check_start(const worker& target, const std::string& task);
    // The worker that a call names, which then knows the call's fencing token. Null if it does not answer, or
    // has refused a lower token.
    worker* admit(const httplib::Request& request, const Json::Value& body, httplib::Response& response);
    void hold(const httplib::Request& request, httplib::Response& response);
    void start(const httplib::Request& request, httplib::Response& response);
    void stop(const httplib::Request& request, httplib::Response& response);
    void acknowledge(worker& target, std::int64_t upto);
    static void answer(const worker& target, httplib::Response& response, int status,
                       const std::string& reason);

    std::mutex mutex_;
    std::condition_variable ended_;
    std::mt19937 random_;
    std::vector<worker> workers_;
    // Tasks of which an end was acknowledged, and all that have ended well.
    std::set<std::string> acknowledged_;
    std::set<std::string> done_;
    std::set<std::string> started_jobs_;
    std::set<std::string> refused_;
    std::vector<std::string> violations_;
    int starts_ = 0;
};

// The jobs of a soak: tasks of this count in the first step, and one that waits for them.
inline constexpr int first_step_tasks = 3;
inline constexpr std::int64_t task_millis = 900;

}  // namespace masticpass::soak

#endif
