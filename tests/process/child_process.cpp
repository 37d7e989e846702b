#include "process/child_process.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iterator>
#include <system_error>

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "fakes/wait_until.h"

namespace masticpass::process_test {

namespace {

std::string read_file(const std::string& path) {
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

// Runs between fork and exec, so it may call only async-signal-safe functions.
[[noreturn]] void run_child(const char* output, const char* errors, char* const* arguments) {
    constexpr int flags = O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC;
    constexpr int status_cannot_execute = 127;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::dup2(::open(output, flags, 0600), STDOUT_FILENO);
    ::dup2(::open(errors, flags, 0600), STDERR_FILENO);
    ::execv(arguments[0], arguments);
    ::_exit(status_cannot_execute);
}

bool is_free(int port) {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool is_bound =
        ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    ::close(descriptor);
    return is_bound;
}

}  // namespace

child_process::child_process(const std::string& name, const std::string& folder,
                             std::vector<std::string> command)
    : path_(folder + "/" + name) {
    std::vector<char*> arguments(command.size() + 1, nullptr);
    std::transform(command.begin(), command.end(), arguments.begin(),
                   [](std::string& argument) { return argument.data(); });
    const std::string output = path_ + ".out";
    const std::string errors = path_ + ".err";
    // A missing program is reported here, because a failure of execv in the child would be noticed much
    // later.
    const pid_t pid = ::access(command.front().c_str(), X_OK) == 0 ? ::fork() : -1;
    if (pid < 0) {
        throw std::system_error(errno, std::generic_category(), "cannot start " + command.front());
    }
    if (pid == 0) {
        run_child(output.c_str(), errors.c_str(), arguments.data());
    }
    // Not initialized in the initializer list, because the child needs the file names that are built above.
    pid_ = pid;  // NOLINT(cppcoreguidelines-prefer-member-initializer)
}

child_process::~child_process() {
    send_signal(SIGKILL);
    wait_for_end(absl::Seconds(5));
}

void child_process::send_signal(int signal) {
    // The kernel does not reuse the process id until the child has been waited for.
    if (!wait_for_end(absl::ZeroDuration())) {
        ::kill(pid_, signal);
    }
}

bool child_process::wait_for_end(absl::Duration timeout) {
    const auto has_ended = [this] {
        has_ended_ = has_ended_ || ::waitpid(pid_, &status_, WNOHANG) == pid_;
        return has_ended_;
    };
    return fakes::wait_until(has_ended, timeout);
}

std::string child_process::output() const {
    return read_file(path_ + ".out");
}

std::string child_process::errors() const {
    return read_file(path_ + ".err");
}

int take_free_port() {
    constexpr int first_port = 20000;
    constexpr int port_count = 10000;
    // Each test process starts at a different port, because the ports of an earlier process may still be in
    // TIME_WAIT.
    static int next = static_cast<int>(::getpid() * 97LL % port_count);
    do {
        next = (next + 1) % port_count;
    } while (!is_free(first_port + next));
    return first_port + next;
}

}  // namespace masticpass::process_test
