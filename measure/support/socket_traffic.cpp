#include "support/socket_traffic.h"

#include <array>
#include <csignal>
#include <cstdio>
#include <memory>
#include <sstream>
#include <stdexcept>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace masticpass::measure {

namespace {

constexpr absl::Duration read_interval = absl::Milliseconds(500);
// Size of an IPv4 header and a TCP header with timestamps.
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

// The number after `name:` in the text; 0 if there is none.
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
    sum.with_headers += more.with_headers;
}

}  // namespace

traffic traffic::operator-(const traffic& earlier) const {
    return {sent - earlier.sent, received - earlier.received, with_headers - earlier.with_headers};
}

socket_traffic::socket_traffic(int first_port, int last_port)
    : first_port_(first_port),
      last_port_(last_port),
      command_(absl::StrCat("ss -tinHO 'dport >= ", first_port, " and dport <= ", last_port, "'")) {
    std::array<int, 2> pipe_ends = {};
    if (::pipe2(pipe_ends.data(), O_CLOEXEC) != 0) {
        throw std::runtime_error("cannot create a pipe for ss");
    }
    closed_reader_output_ = pipe_ends[0];
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, pipe_ends[1], STDOUT_FILENO);
    // Without stdbuf, ss writes its output only when a buffer of 4 KB is full.
    std::array<std::string, 4> words = {"stdbuf", "-oL", "ss", "-tinHOE"};
    std::array<char*, 5> arguments = {words[0].data(), words[1].data(), words[2].data(), words[3].data(),
                                      nullptr};
    const int failure =
        ::posix_spawnp(&closed_reader_pid_, "stdbuf", &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    ::close(pipe_ends[1]);
    if (failure != 0) {
        ::close(closed_reader_output_);
        throw std::runtime_error("cannot run stdbuf to start ss");
    }
    closed_thread_ = std::thread([this] { read_closed(); });
    thread_ = std::thread([this] {
        while (!stopping_) {
            read_open();
            absl::SleepFor(read_interval);
        }
    });
}

socket_traffic::~socket_traffic() {
    stopping_ = true;
    thread_.join();
    ::kill(closed_reader_pid_, SIGTERM);
    ::waitpid(closed_reader_pid_, nullptr, 0);
    closed_thread_.join();
    ::close(closed_reader_output_);
}

std::optional<socket_traffic::socket_line> socket_traffic::parse(const std::string& line) const {
    std::istringstream parts(line);
    std::string receive_queue;
    std::string send_queue;
    std::string local;
    std::string remote;
    socket_line result;
    parts >> result.state >> receive_queue >> send_queue >> local >> remote;
    const std::size_t colon = remote.rfind(':');
    if (colon == std::string::npos || !absl::SimpleAtoi(remote.substr(colon + 1), &result.port) ||
        result.port < first_port_ || result.port > last_port_) {
        return std::nullopt;
    }
    result.endpoints = absl::StrCat(local, " ", remote);
    result.bytes.sent = counter(line, "bytes_sent");
    result.bytes.received = counter(line, "bytes_received");
    result.bytes.with_headers = result.bytes.sent + result.bytes.received +
                                (counter(line, "segs_out") + counter(line, "segs_in")) * segment_header_bytes;
    return result;
}

void socket_traffic::read_open() {
    std::istringstream lines(output_of(command_));
    const absl::MutexLock lock(&mutex_);
    for (std::string line; std::getline(lines, line);) {
        const auto socket = parse(line);
        if (socket && socket->state == "ESTAB") {
            connections_[socket->endpoints] = {socket->bytes, socket->port};
        }
    }
}

void socket_traffic::read_closed() {
    std::string buffer;
    std::array<char, 65536> bytes = {};
    for (ssize_t size = 0; (size = ::read(closed_reader_output_, bytes.data(), bytes.size())) > 0;) {
        buffer.append(bytes.data(), static_cast<std::size_t>(size));
        std::size_t begin = 0;
        const absl::MutexLock lock(&mutex_);
        for (std::size_t end = 0; (end = buffer.find('\n', begin)) != std::string::npos; begin = end + 1) {
            if (const auto socket = parse(buffer.substr(begin, end - begin))) {
                connections_.erase(socket->endpoints);
                add(closed_traffic_[socket->port], socket->bytes);
            }
        }
        buffer.erase(0, begin);
    }
}

std::map<int, traffic> socket_traffic::by_port() {
    read_open();
    const absl::MutexLock lock(&mutex_);
    std::map<int, traffic> result = closed_traffic_;
    for (const auto& [endpoints, connection] : connections_) {
        add(result[connection.port], connection.last);
    }
    return result;
}

}  // namespace masticpass::measure
