#include "support/socket_traffic.h"

#include <array>
#include <cstdio>
#include <memory>
#include <sstream>
#include <stdexcept>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

namespace masticpass::measure {

namespace {

constexpr absl::Duration read_interval = absl::Milliseconds(500);
// IPv4 header and a TCP header with timestamps.
constexpr double segment_header_bytes = 52.0;

std::string output_of(const std::string& command) {
    const std::unique_ptr<std::FILE, int (*)(std::FILE*)> pipe(::popen(command.c_str(), "r"), &::pclose);
    if (!pipe) {
        throw std::runtime_error("cannot run " + command);
    }
    constexpr std::size_t buffer_bytes = 65536;
    std::string text;
    std::array<char, buffer_bytes> buffer = {};
    for (std::size_t size = 0; (size = std::fread(buffer.data(), 1, buffer.size(), pipe.get())) > 0;) {
        text.append(buffer.data(), size);
    }
    return text;
}

// The number after `name:`; 0 if there is none.
double counter(const std::string& text, const std::string& name) {
    const std::size_t begin = text.find(" " + name + ":");
    if (begin == std::string::npos) {
        return 0.0;
    }
    const std::size_t number = begin + name.size() + 2;
    double value = 0.0;
    const std::string digits = text.substr(number, text.find(' ', number) - number);
    return absl::SimpleAtod(digits, &value) ? value : 0.0;
}

void add(traffic& sum, const traffic& more) {
    sum.sent += more.sent;
    sum.received += more.received;
    sum.wire += more.wire;
}

}  // namespace

traffic traffic::operator-(const traffic& earlier) const {
    return {sent - earlier.sent, received - earlier.received, wire - earlier.wire};
}

socket_traffic::socket_traffic(int first_port, int last_port)
    : command_(absl::StrCat("ss -tinHO 'dport >= ", first_port, " and dport <= ", last_port, "'")) {
    thread_ = std::thread([this] {
        while (!stopping_) {
            read();
            absl::SleepFor(read_interval);
        }
    });
}

socket_traffic::~socket_traffic() {
    stopping_ = true;
    thread_.join();
}

void socket_traffic::note(const std::string& ends, const std::string& counters) {
    traffic now;
    now.sent = counter(counters, "bytes_sent");
    now.received = counter(counters, "bytes_received");
    now.wire = now.sent + now.received +
               (counter(counters, "segs_out") + counter(counters, "segs_in")) * segment_header_bytes;
    connection_state& known = connections_[ends];
    // The same pair of ports belongs to a new connection if its counters are lower.
    if (now.wire < known.last.wire) {
        add(closed_[known.port], known.last);
    }
    known.last = now;
    static_cast<void>(absl::SimpleAtoi(ends.substr(ends.rfind(':') + 1), &known.port));
}

void socket_traffic::read() {
    std::istringstream lines(output_of(command_));
    const absl::MutexLock lock(&mutex_);
    for (std::string line; std::getline(lines, line);) {
        std::istringstream parts(line);
        std::string state;
        std::string queued;
        std::string unsent;
        std::string local;
        std::string remote;
        parts >> state >> queued >> unsent >> local >> remote;
        if (state == "ESTAB") {
            note(absl::StrCat(local, " ", remote), line);
        }
    }
}

std::map<int, traffic> socket_traffic::by_port() {
    read();
    const absl::MutexLock lock(&mutex_);
    std::map<int, traffic> result = closed_;
    for (const auto& [ends, known] : connections_) {
        add(result[known.port], known.last);
    }
    return result;
}

}  // namespace masticpass::measure
