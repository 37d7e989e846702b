#include "support/process_usage.h"

#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include <unistd.h>

namespace masticpass::measure {

namespace {

// The values in /proc/<id>/stat that follow the program name. The name is skipped because it may contain
// spaces.
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

process_usage usage_of(pid_t id) {
    // Positions of utime, stime and num_threads after the program name; see proc(5).
    constexpr std::size_t user_ticks = 11;
    constexpr std::size_t system_ticks = 12;
    constexpr std::size_t threads = 17;
    process_usage result;
    const std::vector<std::string> values = stat_values(id);
    if (values.size() <= threads) {
        return result;
    }
    const double ticks = std::stod(values[user_ticks]) + std::stod(values[system_ticks]);
    result.cpu_time = absl::Seconds(ticks / static_cast<double>(::sysconf(_SC_CLK_TCK)));
    result.threads = std::stoi(values[threads]);
    std::ifstream status("/proc/" + std::to_string(id) + "/status");
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
