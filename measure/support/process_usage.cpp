#include "support/child_process.h"

#include <fstream>
#include <sstream>

#include <absl/time/clock.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace masticpass::measure {

namespace {

constexpr absl::Duration stop_limit = absl::Seconds(20);
constexpr absl::Duration stop_poll = absl::Milliseconds(20);
constexpr int log_file_mode = 0644;

// The values of /proc/<id>/stat after the name of the program, which may contain spaces.
std::vector<std::string> stat_values(pid_t id) {
    std::ifstream file("/proc/" + std::to_string(id) + "/stat");
    std::string line;
    std::getline(file, line);
    const std::size_t end = line.rfind(')');
    std::istringstream rest(end == std::string::npos ? std::string() : line.substr(end + 1));
    std::vector<std::string> values;
    for (std::string value; rest >> value;) {
        values.push_back(value);
    }
    return values;
}

}  // namespace

std::unique_ptr<child_process> child_process::start(const std::vector<std::string>& arguments,
                                                    const std::string& log_file) {
    std::vector<std::string> copies = arguments;
    std::vector<char*> pointers;
    pointers.reserve(copies.size() + 1);
    for (std::string& copy : copies) {
        pointers.push_back(copy.data());
    }
    pointers.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_file.c_str(), O_WRONLY | O_CREAT | O_TRUNC,
                                     log_file_mode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    pid_t id = 0;
    const int error = posix_spawn(&id, pointers.front(), &actions, nullptr, pointers.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    return error == 0 ? std::unique_ptr<child_process>(new child_process(id)) : nullptr;
}

child_process::~child_process() {
    request_stop();
    const absl::Time end = absl::Now() + stop_limit;
    while (::waitpid(id_, nullptr, WNOHANG) == 0) {
        if (absl::Now() > end) {
            ::kill(id_, SIGKILL);
            ::waitpid(id_, nullptr, 0);
            return;
        }
        absl::SleepFor(stop_poll);
    }
}

void child_process::request_stop() const {
    ::kill(id_, SIGTERM);
}

process_usage child_process::usage() const {
    // Positions after the program's name, see proc(5): utime 11, stime 12, num_threads 17.
    constexpr std::size_t user_ticks = 11;
    constexpr std::size_t system_ticks = 12;
    constexpr std::size_t threads = 17;
    process_usage result;
    const std::vector<std::string> values = stat_values(id_);
    if (values.size() <= threads) {
        return result;
    }
    const double ticks = std::stod(values[user_ticks]) + std::stod(values[system_ticks]);
    result.processor_time = absl::Seconds(ticks / static_cast<double>(::sysconf(_SC_CLK_TCK)));
    result.threads = std::stoi(values[threads]);
    std::ifstream status("/proc/" + std::to_string(id_) + "/status");
    for (std::string line; std::getline(status, line);) {
        std::istringstream parts(line);
        std::string name;
        double kilobytes = 0.0;
        parts >> name >> kilobytes;
        if (name == "VmRSS:") {
            result.resident_kilobytes = kilobytes;
        } else if (name == "VmHWM:") {
            result.peak_resident_kilobytes = kilobytes;
        }
    }
    return result;
}

}  // namespace masticpass::measure
