#ifndef MASTICPASS_MEASURE_CHILD_PROCESS_H
#define MASTICPASS_MEASURE_CHILD_PROCESS_H

#include <memory>
#include <string>
#include <vector>

#include <absl/time/time.h>
#include <sys/types.h>

namespace masticpass::measure {

// What a process has used since its start.
struct process_usage {
    absl::Duration processor_time = absl::ZeroDuration();
    double resident_kilobytes = 0.0;
    double peak_resident_kilobytes = 0.0;
    int threads = 0;
};

// A process that the measurement starts; its output goes to a file. Not thread-safe.
class child_process {
public:
    // Returns nullptr if the program cannot be started.
    static std::unique_ptr<child_process> start(const std::vector<std::string>& arguments,
                                                const std::string& log_file);
    // Ends the process by SIGTERM and waits for it, or by SIGKILL after 20 s.
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    pid_t id() const { return id_; }
    process_usage usage() const;
    // Asks the process to end without waiting for it, so that several processes end at the same time.
    void request_stop() const;

private:
    explicit child_process(pid_t id) : id_(id) {}

    pid_t id_;
};

}  // namespace masticpass::measure

#endif
