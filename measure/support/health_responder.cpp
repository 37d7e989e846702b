#include "support/health_responder.h"

#include <algorithm>
#include <array>
#include <stdexcept>
#include <string_view>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace masticpass::measure {

namespace {

constexpr int backlog = 32;
constexpr int wait_timeout_ms = 100;
constexpr std::string_view response =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Type: text/plain\r\n\r\nok";

int listen_on(int port) {
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    // bind() takes addresses of every family through this type.
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
    const auto* const generic = reinterpret_cast<const sockaddr*>(&address);
    if (::bind(listener, generic, sizeof(address)) != 0 || ::listen(listener, backlog) != 0) {
        ::close(listener);
        throw std::runtime_error("cannot listen on port " + std::to_string(port));
    }
    return listener;
}

void watch_for_input(int epoll, int socket) {
    epoll_event event = {};
    event.events = EPOLLIN;
    event.data.fd = socket;
    ::epoll_ctl(epoll, EPOLL_CTL_ADD, socket, &event);
}

}  // namespace

health_responder::health_responder(int first_port, int count) : epoll_(::epoll_create1(EPOLL_CLOEXEC)) {
    try {
        for (int port = first_port; port < first_port + count; ++port) {
            listeners_.push_back(listen_on(port));
            watch_for_input(epoll_, listeners_.back());
        }
    } catch (...) {
        close_all();
        throw;
    }
    std::sort(listeners_.begin(), listeners_.end());
    thread_ = std::thread([this] { run(); });
}

health_responder::~health_responder() {
    stopping_ = true;
    thread_.join();
    close_all();
}

void health_responder::close_all() {
    for (const auto& [connection, text] : partial_requests_) {
        ::close(connection);
    }
    for (const int listener : listeners_) {
        ::close(listener);
    }
    ::close(epoll_);
}

void health_responder::run() {
    constexpr int maximum_events = 64;
    std::array<epoll_event, maximum_events> ready = {};
    while (!stopping_) {
        const int count = ::epoll_wait(epoll_, ready.data(), maximum_events, wait_timeout_ms);
        for (int index = 0; index < count; ++index) {
            const int socket = ready.at(static_cast<std::size_t>(index)).data.fd;
            if (std::binary_search(listeners_.begin(), listeners_.end(), socket)) {
                accept_from(socket);
            } else {
                read_from(socket);
            }
        }
    }
}

void health_responder::accept_from(int listener) {
    const int connection = ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (connection < 0) {
        return;
    }
    ++connections_;
    partial_requests_[connection].clear();
    watch_for_input(epoll_, connection);
}

void health_responder::read_from(int connection) {
    constexpr std::size_t buffer_bytes = 4096;
    std::array<char, buffer_bytes> buffer = {};
    const ssize_t size = ::recv(connection, buffer.data(), buffer.size(), 0);
    if (size <= 0) {
        close_connection(connection);
        return;
    }
    bytes_received_ += size;
    std::string& request = partial_requests_[connection];
    request.append(buffer.data(), static_cast<std::size_t>(size));
    if (request.find("\r\n\r\n") == std::string::npos) {
        return;
    }
    const bool close_after_response = request.find("Connection: close") != std::string::npos;
    request.clear();
    ++probes_;
    bytes_sent_ += std::max<ssize_t>(0, ::send(connection, response.data(), response.size(), MSG_NOSIGNAL));
    if (close_after_response) {
        close_connection(connection);
    }
}

void health_responder::close_connection(int connection) {
    ::close(connection);
    partial_requests_.erase(connection);
}

}  // namespace masticpass::measure
