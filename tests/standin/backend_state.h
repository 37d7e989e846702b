#ifndef MASTICPASS_STANDIN_BACKEND_STATE_H
#define MASTICPASS_STANDIN_BACKEND_STATE_H

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <json/json.h>

namespace masticpass::standin {

// Behaviour of a stand-in backend server, which tests can change.
struct backend_behaviour {
    bool fail_all = false;
    bool leaving = false;
    bool truncate = false;
    bool wrong_attempt_id = false;
    // Delay of the response after the job has ended, in milliseconds.
    int late_ms = 0;
};

// Behaviour and counters of a stand-in backend server, shared by its handler threads.
// Thread safety: all methods may be called from any thread.
class backend_state {
public:
    explicit backend_state(int slots) : slots_(slots) {}

    backend_behaviour behaviour() const;
    // Changes the members of the behaviour that `change` names.
    void set_behaviour(const Json::Value& change);

    // Makes the connections that are open now silent: their requests get no response any more. Connections
    // that are opened later are not affected.
    void silence_open_connections();
    // If the connection with this remote port is silent, blocks until `release_silent_connections`.
    void wait_while_silent(int remote_port);
    // Unblocks the requests on silent connections, so that the server can stop.
    void release_silent_connections();

    // Occupies a slot for a job. Returns false if no slot is free or the server is leaving.
    bool begin_job(const std::string& job, int remote_port);
    void end_job(const std::string& job, bool completed);

    // Counts an attempt as running until `end_attempt`.
    void begin_attempt(const std::string& attempt);
    void end_attempt(const std::string& attempt);
    bool is_attempt_running(const std::string& attempt) const;

    // Blocks until no job runs.
    void wait_until_idle();

    Json::Value counters() const;
    // Returns how many times each job was started.
    Json::Value runs() const;

private:
    bool is_idle() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) { return running_ == 0; }

    const int slots_;
    mutable absl::Mutex mutex_;
    backend_behaviour behaviour_ ABSL_GUARDED_BY(mutex_);
    bool released_ ABSL_GUARDED_BY(mutex_) = false;
    int running_ ABSL_GUARDED_BY(mutex_) = 0;
    int maximum_running_ ABSL_GUARDED_BY(mutex_) = 0;
    std::uint64_t refused_ ABSL_GUARDED_BY(mutex_) = 0;
    std::uint64_t offered_while_leaving_ ABSL_GUARDED_BY(mutex_) = 0;
    // Remote ports of all connections so far, and of the silent ones.
    std::set<int> seen_ports_ ABSL_GUARDED_BY(mutex_);
    std::set<int> silent_ports_ ABSL_GUARDED_BY(mutex_);
    std::map<std::string, int> runs_ ABSL_GUARDED_BY(mutex_);
    std::set<std::string> attempts_ ABSL_GUARDED_BY(mutex_);
    std::uint64_t completed_ ABSL_GUARDED_BY(mutex_) = 0;
};

}  // namespace masticpass::standin

#endif
