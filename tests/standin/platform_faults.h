#ifndef MASTICPASS_STANDIN_PLATFORM_FAULTS_H
#define MASTICPASS_STANDIN_PLATFORM_FAULTS_H

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>
#include <json/json.h>
#include <tl/expected.hpp>

namespace masticpass::standin {

// The injected faults. In JSON each fault has the name of its field. Durations are in milliseconds there, and
// their names have the suffix `_ms`.
struct platform_faults {
    bool store_down = false;
    bool control_down = false;
    // Delay before the store executes a call.
    absl::Duration slow = absl::ZeroDuration();
    // While set, reads return the data that the store had when this fault was set.
    bool old_data = false;
    // Age of the VM list that is returned.
    absl::Duration vm_list_lag = absl::ZeroDuration();
    // Number of subsequent writes and reboots that take effect but whose response is lost.
    int lose_write_responses = 0;
    int lose_reboot_responses = 0;
};

// Holds the injected faults, which can be changed while the stand-in runs.
// Thread safety: all methods may be called from any thread.
class platform_fault_settings {
public:
    platform_faults current() const;
    // Changes the faults that a JSON object names and returns all faults. If a member is invalid, no fault
    // changes.
    tl::expected<platform_faults, std::string> change(const Json::Value& members);
    // Returns true if the response to the current write or reboot must be lost, and decrements the number of
    // responses to lose.
    bool consume_lost_write_response();
    bool consume_lost_reboot_response();

private:
    mutable absl::Mutex mutex_;
    platform_faults faults_ ABSL_GUARDED_BY(mutex_);
};

// Counts calls and bytes by kind of call.
// Thread safety: all methods may be called from any thread.
class platform_counters {
public:
    void add_call(std::string_view kind, std::size_t bytes_received);
    void add_bytes_sent(std::string_view kind, std::size_t bytes);
    std::int64_t calls(std::string_view kind) const;
    Json::Value to_json() const;

private:
    struct counts {
        std::int64_t calls = 0;
        std::int64_t bytes_received = 0;
        std::int64_t bytes_sent = 0;
    };

    counts& counts_of(std::string_view kind) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    mutable absl::Mutex mutex_;
    std::map<std::string, counts, std::less<>> counts_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace masticpass::standin

#endif
