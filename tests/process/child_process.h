#ifndef MASTICPASS_PROCESS_CHILD_PROCESS_H
#define MASTICPASS_PROCESS_CHILD_PROCESS_H

#include <string>
#include <vector>

#include <absl/time/time.h>
#include <sys/types.h>

namespace masticpass::process_test {

// A program that a test or a measurement runs as a child. It also ends if the thread that started it does.
// Thread safety: none.
class child_process {
public:
    // Output and errors go to files in `folder` that are named after `name`. Throws
    // std::system_error if the program cannot be started.
    child_process(const std::string& name, const std::string& folder, std::vector<std::string> command);
    // Kills the child if it still runs.
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    pid_t id() const { return pid_; }
    // Does nothing once the child has ended.
    void send_signal(int signal);
    // Returns false if the child has not ended within `bound`.
    bool wait_for_end(absl::Duration timeout);
    // True if the child ended by itself with status 0.
    bool has_succeeded() const { return has_ended_ && status_ == 0; }

    std::string output() const;
    std::string errors() const;

private:
    const std::string path_;
    pid_t pid_ = 0;
    bool has_ended_ = false;
    int status_ = 0;
};

// A port of 127.0.0.1 that nothing uses, below the range from which the kernel takes ports for outgoing
// connections, so that none of them occupies it before the child listens.
int take_free_port();

}  // namespace masticpass::process_test

#endif
