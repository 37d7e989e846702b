#include "peer/process_check.h"

#include <cerrno>
#include <cstring>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace masticpass {

namespace {

// A socket that is closed when the object is destroyed.
class socket_handle {
public:
    explicit socket_handle(int family)
        : descriptor_(::socket(family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {}
    socket_handle(const socket_handle&) = delete;
    socket_handle& operator=(const socket_handle&) = delete;
    ~socket_handle() {
        if (descriptor_ >= 0) {
            ::close(descriptor_);
        }
    }
    int descriptor() const { return descriptor_; }

private:
    int descriptor_;
};

struct native_address {
    sockaddr_storage storage{};
    socklen_t size = 0;
};

native_address to_native(const socket_address& address) {
    native_address result;
    auto* const v4 = reinterpret_cast<sockaddr_in*>(&result.storage);
    if (::inet_pton(AF_INET, address.ip.c_str(), &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(address.port);
        result.size = sizeof(sockaddr_in);
        return result;
    }
    auto* const v6 = reinterpret_cast<sockaddr_in6*>(&result.storage);
    if (::inet_pton(AF_INET6, address.ip.c_str(), &v6->sin6_addr) == 1) {
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(address.port);
        result.size = sizeof(sockaddr_in6);
    }
    return result;
}

// Returns the error with which a connection attempt ended; 0 if it succeeded or did not end in time.
int connect_error(int descriptor, const native_address& target, absl::Duration timeout) {
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&target.storage), target.size) == 0) {
        return 0;
    }
    if (errno != EINPROGRESS) {
        return errno;
    }
    pollfd state{descriptor, POLLOUT, 0};
    if (::poll(&state, 1, static_cast<int>(absl::ToInt64Milliseconds(timeout))) != 1) {
        return 0;
    }
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
    return error;
}

}  // namespace

bool is_process_terminated(const socket_address& address, absl::Duration timeout) {
    const native_address target = to_native(address);
    if (target.size == 0) {
        return false;
    }
    const socket_handle handle(target.storage.ss_family);
    return handle.descriptor() >= 0 && connect_error(handle.descriptor(), target, timeout) == ECONNREFUSED;
}

}  // namespace masticpass
