#ifndef MASTICPASS_PROCESS_CHILD_PROCESS_H
#define MASTICPASS_PROCESS_CHILD_PROCESS_H

#include <string>
#include <vector>

#include <absl/time/time.h>
#include <sys/types.h>

namespace masticpass::process_test {

// Child process of a test or a measurement. The kernel also kills it when the thread that started it ends.
// Thread safety: none.
class child_process {
public:
    // Starts the program with its arguments. Standard output and standard error go to the files `name`.out
    // and `name`.err in `folder`. Throws std::system_error if the program cannot be started.
    child_process(const std::string& name, const std::string& folder, std::vector<std::string> command);
    // Kills the child if it still runs.
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    pid_t id() const { return pid_; }
    // Does nothing once the child has ended.
    void send_signal(int signal);
    // Returns false if the child has not ended within `timeout`.
    bool wait_for_end(absl::Duration timeout);
    // Returns true if the child has ended with exit status 0.
    bool has_succeeded() const { return has_ended_ && status_ == 0; }

    std::string output() const;
    std::string errors() const;

private:
    const std::string path_;
    pid_t pid_ = 0;
    bool has_ended_ = false;
    int status_ = 0;
};

// Returns an unused port of 127.0.0.1. It is below the range of ports that the kernel uses for outgoing
// connections, so that none of them can occupy it before the child listens on it.
int take_free_port();

}  // namespace masticpass::process_test

#endif
