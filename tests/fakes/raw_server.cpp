#include "fakes/raw_server.h"

#include <algorithm>
#include <array>
#include <stdexcept>
#include <utility>

#include <absl/strings/numbers.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace masticpass::fakes {

namespace {

constexpr std::string_view header_end = "\r\n\r\n";

// Removes the first request from `buffer` and returns it; empty if the request is not complete yet.
std::string take_request(std::string& buffer) {
    const std::size_t head = buffer.find(header_end);
    if (head == std::string::npos) {
        return {};
    }
    std::size_t body = 0;
    static_cast<void>(absl::SimpleAtoi(header_of(buffer, "Content-Length"), &body));
    const std::size_t size = head + header_end.size() + body;
    if (buffer.size() < size) {
        return {};
    }
    std::string request = buffer.substr(0, size);
    buffer.erase(0, size);
    return request;
}

}  // namespace

std::string header_of(const std::string& request, const std::string& header) {
    const std::string start = "\r\n" + header + ": ";
    const std::size_t found = request.find(start);
    if (found == std::string::npos) {
        return {};
    }
    const std::size_t value = found + start.size();
    return request.substr(value, request.find("\r\n", value) - value);
}

void raw_connection::send(std::string_view bytes) const {
    while (!bytes.empty()) {
        const auto sent = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
}

raw_server::raw_server(responder respond)
    : respond_(std::move(respond)), listener_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    auto* const native = reinterpret_cast<sockaddr*>(&address);
    constexpr int backlog = 16;
    if (::bind(listener_, native, size) != 0 || ::listen(listener_, backlog) != 0 ||
        ::getsockname(listener_, native, &size) != 0) {
        throw std::runtime_error("cannot listen on a loopback port");
    }
    port_ = ntohs(address.sin_port);
    accept_thread_ = std::thread([this] { accept_all(); });
}

raw_server::~raw_server() {
    stopping_ = true;
    ::shutdown(listener_, SHUT_RDWR);
    accept_thread_.join();
    {
        const absl::MutexLock lock(&mutex_);
        for (const int descriptor : open_descriptors_) {
            ::shutdown(descriptor, SHUT_RDWR);
        }
    }
    for (std::thread& connection_thread : connection_threads_) {
        connection_thread.join();
    }
    ::close(listener_);
}

void raw_server::accept_all() {
    while (!stopping_) {
        const int descriptor = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            return;
        }
        {
            const absl::MutexLock lock(&mutex_);
            open_descriptors_.push_back(descriptor);
        }
        const int number = ++accepted_connections_;
        connection_threads_.emplace_back([this, descriptor, number] { serve(descriptor, number); });
    }
}

void raw_server::serve(int descriptor, int number) {
    raw_connection connection(descriptor, number);
    std::string buffer;
    std::array<char, 4096> bytes{};
    while (!connection.is_closing_) {
        const auto received = ::recv(descriptor, bytes.data(), bytes.size(), 0);
        if (received <= 0) {
            break;
        }
        buffer.append(bytes.data(), static_cast<std::size_t>(received));
        for (std::string request = take_request(buffer); !request.empty() && !connection.is_closing_;
             request = take_request(buffer)) {
            respond_(connection, request);
        }
    }
    const absl::MutexLock lock(&mutex_);
    open_descriptors_.remove(descriptor);
    ::close(descriptor);
    ++closed_connections_;
}

}  // namespace masticpass::fakes
